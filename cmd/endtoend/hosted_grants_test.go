package endtoend

import (
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// Guards against a grant that is lost between the node that gives it and the entry node:
// a request that all backend servers reject is sent to them 12 times, and its caller is
// told that nothing ran.
func TestHostedRetriesAreGranted(t *testing.T) {
	_, nodes := startHosted(t, 2, "[retries]\nshare = 1.0\ncapacity = 400\ngrants = true\n")
	sendSteadily(nodes, 5*time.Millisecond, time.Second)
	var arrivals atomic.Int64
	for _, n := range nodes {
		n.replaced = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if strings.HasSuffix(r.URL.Path, "/rejected") {
				arrivals.Add(1)
			}
			w.Header().Set("Coltsfootward-Not-Executed", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
		})
		n.closeServer()
		listener, err := net.Listen("tcp", n.backend.Address)
		if err != nil {
			t.Fatal(err)
		}
		n.serve(listener)
	}
	response := sendHosted(nodes[0], "GET", "/urea/rejected", "farm-key")
	if got := arrivals.Load(); got != 12 {
		t.Errorf("got %d arrivals at the servers, want 12", got)
	}
	if response.status != http.StatusServiceUnavailable || response.header.Get("Retry-After") == "" {
		t.Errorf("got %+v, want 503 with Retry-After", response)
	}
}
