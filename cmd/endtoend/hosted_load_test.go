package endtoend

import (
	"context"
	"net/http"
	"slices"
	"testing"
	"time"

	coltsfootwardv1 "coltsfootward/schema/coltsfootward/v1"
	"coltsfootward/schema/coltsfootward/v1/coltsfootwardv1connect"

	"connectrpc.com/connect"
)

// Guards against a stated slowdown that is lost between the response of a server and the
// operators of another node, and against bad figures that fill the log.
func TestHostedServerStatesItsLoad(t *testing.T) {
	_, nodes := startHosted(t, 3) // the first and the last are in the same domain
	operators := func(n *hostedNode) coltsfootwardv1connect.OperatorServiceClient {
		return coltsfootwardv1connect.NewOperatorServiceClient(http.DefaultClient, "http://"+n.daemon.Addresses().Operators)
	}
	var upstreams []*coltsfootwardv1.Upstream
	t.Cleanup(func() {
		if t.Failed() {
			t.Logf("the servers ran %d, %d and %d requests; as node 0 sees them: %v",
				len(nodes[0].backend.Runs()), len(nodes[1].backend.Runs()), len(nodes[2].backend.Runs()), upstreams)
		}
	})
	nodes[2].backend.SetSlowdown("250")
	waitUntil(t, "the other node shows the slowdown", func() bool {
		sendSteadily(nodes, 5*time.Millisecond, 200*time.Millisecond)
		status, err := operators(nodes[0]).Status(context.Background(), connect.NewRequest(&coltsfootwardv1.StatusRequest{}))
		if err != nil {
			return false
		}
		upstreams = status.Msg.Upstreams
		return slices.ContainsFunc(upstreams, func(u *coltsfootwardv1.Upstream) bool {
			return u.Slowdown == 2.5 && u.SlowdownAgeMilliseconds < 10_000
		})
	})
	countBad := func() (bad int) {
		timeline, err := operators(nodes[2]).Timeline(context.Background(), connect.NewRequest(&coltsfootwardv1.TimelineRequest{}))
		if err != nil {
			t.Fatal(err)
		}
		for _, event := range timeline.Msg.Events {
			if event.Name == "backend_load_unusable" {
				bad++
			}
		}
		return bad
	}
	nodes[2].backend.SetSlowdown("very slow")
	// A slow server gets few requests; it may get none in a second.
	waitUntil(t, "a bad figure is reported", func() bool {
		sendSteadily(nodes, 5*time.Millisecond, 200*time.Millisecond)
		return countBad() > 0
	})
	sendSteadily(nodes, 5*time.Millisecond, time.Second)
	bad := countBad()
	if bad != 1 {
		t.Errorf("got %d events backend_load_unusable, want one a minute", bad)
	}
}
