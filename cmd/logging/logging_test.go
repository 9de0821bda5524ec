package logging_test

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"coltsfootward/cmd/logging"

	"go.uber.org/zap"
)

// stuck is an output that takes nothing until it is released.
type stuck struct {
	release chan struct{}
	taken   bytes.Buffer
}

func (s *stuck) Write(p []byte) (int, error) {
	<-s.release
	return s.taken.Write(p)
}

// Nobody reads the pipe that a node logs to. Whoever logs goes on at once, the
// memory for lines is bounded, and what was dropped is counted.
func TestStuckOutputHoldsNobodyUp(t *testing.T) {
	output := &stuck{release: make(chan struct{})}
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
		t.Fatal("logging waits for the output")
	}
	close(output.release)
	w.Close()
	written := strings.Count(output.taken.String(), "\n")
	if written+int(w.Dropped()) != lines || written > 1100 {
		t.Errorf("%d lines written and %d dropped of %d, want about 1024 written and the rest dropped", written, w.Dropped(), lines)
	}
}
