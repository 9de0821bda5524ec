// Package logging writes log lines asynchronously, so that logging never blocks.
package logging

import (
	"io"
	"sync"
	"sync/atomic"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// maximumQueuedLines is how many lines may wait for the output: the lines of a few
// seconds under load. At 300 bytes per line they use about 300 KB.
const maximumQueuedLines = 1024

// Writer writes lines to an output through a bounded queue. When the queue is full, new
// lines are dropped and counted: otherwise an output that blocks, such as a pipe that no
// process reads, would stop the node. Create it with NewWriter. It is safe for
// concurrent use.
type Writer struct {
	output  io.Writer
	lines   chan []byte
	done    chan struct{}
	once    sync.Once
	wait    sync.WaitGroup
	dropped atomic.Uint64
}

// NewWriter returns a writer that runs until Close.
func NewWriter(output io.Writer) *Writer {
	w := &Writer{output: output, lines: make(chan []byte, maximumQueuedLines), done: make(chan struct{})}
	w.wait.Go(w.run)
	return w
}

// Write implements io.Writer. It never blocks and never fails.
func (w *Writer) Write(p []byte) (int, error) {
	line := append([]byte(nil), p...)
	select {
	case w.lines <- line:
	default:
		w.dropped.Add(1)
	}
	return len(p), nil
}

// Sync implements zapcore.WriteSyncer. It does nothing; Close writes the queued lines.
func (w *Writer) Sync() error { return nil }

// Dropped returns how many lines have been dropped so far, including lines that the
// output failed to write.
func (w *Writer) Dropped() uint64 { return w.dropped.Load() }

// Close writes the queued lines and stops the writer.
func (w *Writer) Close() {
	w.once.Do(func() { close(w.done) })
	w.wait.Wait()
}

func (w *Writer) run() {
	for {
		select {
		case line := <-w.lines:
			w.write(line)
		case <-w.done:
			w.drain()
			return
		}
	}
}

func (w *Writer) drain() {
	for {
		select {
		case line := <-w.lines:
			w.write(line)
		default:
			return
		}
	}
}

// write counts a line as dropped if the output returns an error, since there is no other
// place to report it.
func (w *Writer) write(line []byte) {
	if _, err := w.output.Write(line); err != nil {
		w.dropped.Add(1)
	}
}

// New returns a logger that writes JSON lines of all levels to w. The daemon restricts
// it to the level in the settings.
func New(w *Writer) *zap.Logger {
	encoder := zapcore.NewJSONEncoder(zap.NewProductionEncoderConfig())
	return zap.New(zapcore.NewCore(encoder, w, zap.DebugLevel))
}
