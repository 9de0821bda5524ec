package endtoend

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"
)

// Guards against requests being sent to a failure domain that the operator has
// evacuated.
func TestHostedDomainOutOfService(t *testing.T) {
	store, nodes := startHosted(t, 3)
	evacuated := nodes[1].backend // the only backend server in the domain south
	store.Write("op", "evacuate/south", []byte("{}"))
	waitUntil(t, "south gets nothing", func() bool {
		before := len(evacuated.Runs())
		for i := range 30 {
			sendHosted(nodes[i%3], "GET", fmt.Sprintf("/urea/probe-%d", i), "farm-key")
		}
		return len(evacuated.Runs()) == before
	})
	before := len(evacuated.Runs())
	for i := range 60 {
		if response := sendHosted(nodes[i%3], "GET", fmt.Sprintf("/urea/%d", i), "farm-key"); response.status != http.StatusOK {
			t.Errorf("request %d: got %+v, want 200", i, response)
		}
	}
	if got := len(evacuated.Runs()) - before; got > 0 {
		t.Errorf("%d requests reached the evacuated domain", got)
	}
	store.Remove("op", "evacuate/south")
	waitUntil(t, "south gets work again", func() bool {
		sendHosted(nodes[1], "GET", "/urea/again", "farm-key")
		return len(evacuated.Runs()) > before
	})
}

// Guards against a cold backend server receiving its full share of the demand at once.
func TestHostedColdServer(t *testing.T) {
	const perSecond, coldTime = 10, 1500 * time.Millisecond
	store, nodes := startHosted(t, 2)
	document := fmt.Sprintf(hostedDocument, 4)
	store.Write("op", "config", []byte(strings.Replace(document, `"max_connections":20`, fmt.Sprintf(`"max_connections":20,"cold_start":"%s","cold_per_s":%d`, coldTime, perSecond), 1)))
	waitUntil(t, "the cold rate is in force", func() bool {
		return sendHosted(nodes[0], "GET", "/urea/first", "farm-key").status == http.StatusOK
	})
	time.Sleep(500 * time.Millisecond)
	for _, n := range nodes {
		n.backend.SetCold(coldTime)
		if err := n.backend.SendHeartbeat(); err != nil {
			t.Fatal(err)
		}
	}
	before := len(nodes[0].backend.Runs())
	began := time.Now()
	for i := 0; time.Since(began) < time.Second; i++ {
		response := sendHosted(nodes[0], "GET", fmt.Sprintf("/urea/%d", i), "farm-key")
		if response.status != http.StatusOK && (response.status != http.StatusServiceUnavailable || response.header.Get("Retry-After") == "") {
			t.Fatalf("got %+v, want 200, or 503 with Retry-After", response)
		}
	}
	if got := len(nodes[0].backend.Runs()) - before; got > perSecond+2 {
		t.Errorf("%d requests reached a cold server within a second, want at most %d", got, perSecond)
	}
	waitUntil(t, "the servers are warm", func() bool {
		before := len(nodes[0].backend.Runs())
		for i := range 3 * perSecond {
			sendHosted(nodes[0], "GET", fmt.Sprintf("/urea/warm-%d", i), "farm-key")
		}
		return len(nodes[0].backend.Runs())-before > perSecond
	})
}
