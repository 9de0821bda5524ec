package endtoend

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"
)

// Guards against a key that keeps working after it was taken away because the store has
// lost the calls with which all nodes wait for a change, and none of them notices.
func TestHostedKeyIsTakenAwayAfterLostFeeds(t *testing.T) {
	// The target for a change to be in force everywhere.
	const bound = 13 * time.Second
	for _, silence := range []time.Duration{0, 1500 * time.Millisecond} {
		t.Run(silence.String(), func(t *testing.T) {
			t.Parallel()
			store, nodes := startHosted(t, 4, "[rate]", `configuration_spread = "2s"`)
			time.Sleep(4 * time.Second) // by then the nodes that follow the document wait for a change
			store.SetSilent(silence > 0)
			store.LoseFeeds()
			time.Sleep(silence)
			store.DropHistory()
			store.SetSilent(false)
			store.Write("op", "config", []byte(strings.Replace(fmt.Sprintf(hostedDocument, 7), "farm-key", "other-key", 1)))
			time.Sleep(bound)
			for i, n := range nodes {
				if got := sendHosted(n, "GET", "/urea/late", "farm-key").status; got != http.StatusUnauthorized {
					t.Errorf("node %d: got status %d for a key taken away %v ago, want 401", i, got, bound)
				}
			}
		})
	}
}
