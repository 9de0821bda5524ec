package endtoend

import (
	"encoding/json"
	"net/http"
	"testing"
	"time"
)

// crossingOf returns the services whose demand a node knows, and how many requests it has
// sent to other failure domains because of a surplus.
func crossingOf(t *testing.T, n *hostedNode) (services int, surplus int64) {
	t.Helper()
	response, err := http.Get("http://" + n.daemon.Addresses().Operators + "/debug/vars")
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	var vars struct {
		Coltsfootward struct {
			Node struct {
				Demand   []any
				Crossing []struct{ Requests map[string]int64 }
			}
		}
	}
	if err := json.NewDecoder(response.Body).Decode(&vars); err != nil {
		t.Fatal(err)
	}
	for _, c := range vars.Coltsfootward.Node.Crossing {
		surplus += c.Requests["surplus"]
	}
	return len(vars.Coltsfootward.Node.Demand), surplus
}

// Guards against messages of the demand exchange that do not pass between real nodes, so
// that no surplus of a domain reaches the other one.
func TestHostedSurplusCrosses(t *testing.T) {
	_, nodes := startHosted(t, 4, "[placement]\ncrossing = \"surplus\"\n")
	for _, n := range nodes {
		n.backend.Serve = func(w http.ResponseWriter, _ *http.Request) {
			time.Sleep(40 * time.Millisecond)
			w.WriteHeader(http.StatusOK)
		}
	}
	// The two servers of the domain serve 200 requests a second.
	north := []*hostedNode{nodes[0], nodes[2]}
	sendSteadily(north, 4*time.Millisecond, 6*time.Second)
	served := 0
	results := sendSteadily(north, 4*time.Millisecond, 2*time.Second)
	for _, r := range results {
		if r.status == http.StatusOK {
			served++
		}
	}
	for _, n := range north {
		if services, surplus := crossingOf(t, n); services != 1 || surplus == 0 {
			t.Errorf("got %d services with a demand and %d requests that crossed as surplus, want 1 and some", services, surplus)
		}
	}
	if share := float64(served) / float64(len(results)); share < 0.8 {
		t.Errorf("%.3f of the requests are served, want 0.8: the other domain is idle", share)
	}
}
