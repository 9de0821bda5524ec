// Package logging writes log lines without ever holding up whoever logs.
package logging

import (
	"io"
	"sync"
	"sync/atomic"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// ringLines is how many lines may wait for the output: a few seconds' worth under
// load, and at 300 bytes each about 300 KB.
const ringLines = 1024

// Writer hands lines to an output through a bounded ring. A line that finds the
// ring full is dropped and counted: an output that blocks, such as a pipe that
// nobody reads, would else stop the node. Create it with NewWriter. It is safe for
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
	w := &Writer{output: output, lines: make(chan []byte, ringLines), done: make(chan struct{})}
	w.wait.Go(w.run)
	return w
}

// Write implements io.Writer. It never waits and never fails.
func (w *Writer) Write(p []byte) (int, error) {
	line := append([]byte(nil), p...)
	select {
	case w.lines <- line:
	default:
		w.dropped.Add(1)
	}
	return len(p), nil
}

// Sync implements zapcore.WriteSyncer; what waits is written by Close.
func (w *Writer) Sync() error { return nil }

// Dropped returns how many lines were dropped so far.
func (w *Writer) Dropped() uint64 { return w.dropped.Load() }

// Close writes what waits and ends the writer.
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

// write counts a line that the output did not take: there is nowhere else to say so.
func (w *Writer) write(line []byte) {
	if _, err := w.output.Write(line); err != nil {
		w.dropped.Add(1)
	}
}

// New returns a logger of JSON lines to w that passes every level; the daemon holds
// it to the one of the settings.
func New(w *Writer) *zap.Logger {
	encoder := zapcore.NewJSONEncoder(zap.NewProductionEncoderConfig())
	return zap.New(zapcore.NewCore(encoder, w, zap.DebugLevel))
}
