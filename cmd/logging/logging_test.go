package logging_test

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"coltsfootward/cmd/logging"

	"go.uber.org/zap"
)

// blockedOutput is an output that blocks until it is released.
type blockedOutput struct {
	release chan struct{}
	written bytes.Buffer
}

func (s *blockedOutput) Write(p []byte) (int, error) {
	<-s.release
	return s.written.Write(p)
}

// A node logs to a pipe that no process reads. Logging must not block, the memory for
// queued lines must stay bounded, and the dropped lines must be counted.
func TestBlockedOutputDoesNotBlockLogging(t *testing.T) {
	output := &blockedOutput{release: make(chan struct{})}
	w := logging.NewWriter(output)
	logger := logging.New(w)
	const lines = 5000
	finished := make(chan struct{})
	go func() {
		defer close(finished)
		for i := range lines {
			logger.Info("line", zap.Int("number", i))
		}
	}()
	select {
	case <-finished:
	case <-time.After(10 * time.Second):
		t.Fatal("logging blocks on the output")
	}
	close(output.release)
	w.Close()
	written := strings.Count(output.written.String(), "\n")
	if written+int(w.Dropped()) != lines || written > 1100 {
		t.Errorf("%d lines written and %d dropped of %d, want about 1024 written and the rest dropped", written, w.Dropped(), lines)
	}
}
