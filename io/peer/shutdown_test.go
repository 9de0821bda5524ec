package peer_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"coltsfootward/core/message"
	"coltsfootward/io/peer"
)

// A node is replaced under steady traffic. Some callers at its peers received the outcome
// "unknown" for orders that were never executed, because their calls were sent while the
// connection was being closed. Others lost a complete response, because its end frame
// was still queued when the connection was closed. Every call must get a complete
// response, or be known not to have been sent.
func TestShutdownLosesNoCall(t *testing.T) {
	for round := range 20 {
		north, _ := newTransport(t, "north-1")
		leaving, south := newTransport(t, "south-1")
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		var completed atomic.Int64
		var wait sync.WaitGroup
		for caller := range 16 {
			wait.Go(func() {
				for i := 0; ; i++ {
					path := fmt.Sprintf("/%d/%d", caller, i)
					response, err := north.Call(ctx, south, message.Call{Path: path}, nil)
					var failed *peer.CallError
					if errors.As(err, &failed) {
						if failed.Sent {
							t.Errorf("round %d, call %s: got %v, want a response or a call that was not sent", round, path, err)
						}
						return
					}
					body, err := io.ReadAll(response)
					response.Close()
					if err != nil || string(body) != path {
						t.Errorf("round %d, call %s: got body %q and %v, want the path and no error", round, path, body, err)
						return
					}
					completed.Add(1)
				}
			})
		}
		for completed.Load() < 200 && ctx.Err() == nil {
			time.Sleep(time.Millisecond)
		}
		leaving.Shutdown(ctx)
		wait.Wait()
		cancel()
	}
}
