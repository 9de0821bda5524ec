package endtoend

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"
)

const (
	crashDowntime = 300 * time.Millisecond
	// crashContact is the time that the nodes have to learn which request crashes
	// their servers, and maxLateCrashes how often it may reach servers after that.
	crashContact   = 3 * time.Second
	maxLateCrashes = 3
)

// Guards against a request that ends all backend servers of a service one after the
// other, with real connections: what breaks off, what is refused and who announces
// itself anew must add up to a crash.
func TestHostedRequestThatCrashesServersIsWithheld(t *testing.T) {
	_, nodes := startHosted(t, 4)
	var mu sync.Mutex
	var crashes []time.Time
	for _, n := range nodes {
		n.backend.Serve = func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path != "/urea/crash" {
				time.Sleep(5 * time.Millisecond)
				fmt.Fprint(w, r.URL.Path)
				return
			}
			mu.Lock()
			crashes = append(crashes, time.Now())
			mu.Unlock()
			n.crash(t, crashDowntime)
			panic(http.ErrAbortHandler)
		}
	}
	var wait sync.WaitGroup
	served, sent := 0, 0
	for i := range 80 {
		wait.Go(func() { sendHosted(nodes[i%len(nodes)], "GET", "/urea/crash", "farm-key") })
		response := sendHosted(nodes[(i+1)%len(nodes)], "GET", fmt.Sprintf("/urea/%d", i), "farm-key")
		if i >= 50 {
			sent++
			if response.status == http.StatusOK {
				served++
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	wait.Wait()
	time.Sleep(2 * crashDowntime)
	mu.Lock()
	defer mu.Unlock()
	if len(crashes) < 3 {
		t.Fatalf("the servers crashed %d times, want three or more", len(crashes))
	}
	late := 0
	for _, at := range crashes {
		if at.Sub(crashes[2]) > crashContact {
			late++
		}
	}
	if late > maxLateCrashes {
		t.Errorf("the request crashed servers %d times later than %v after its third crash, want at most %d", late, crashContact, maxLateCrashes)
	}
	if served < sent*95/100 {
		t.Errorf("%d of %d other requests served after five seconds, want 95 in 100", served, sent)
	}
	if response := sendHosted(nodes[0], "GET", "/urea/crash", "farm-key"); response.status != http.StatusServiceUnavailable || response.header.Get("Retry-After") == "" {
		t.Errorf("got %+v, want 503 with Retry-After", response)
	}
	t.Logf("%d crashes, %d late", len(crashes), late)
}
