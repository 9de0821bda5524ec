package upstream_test

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"coltsfootward/io/upstream"
	"coltsfootward/io/wire"
)

// Guards against a load field with more than three figures that is read as "no slots":
// a node that restarts while its server runs then does not find the server.
func TestHealthWithFurtherFigures(t *testing.T) {
	for _, load := range []string{"3,0,88", "3,0,88,250", "3, 0, 88, 250, 7", "3,0,88,slow", "x,-1,88"} {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Load", load)
			w.Header().Set("Backend", "b-1")
		}))
		health, err := upstream.CheckHealth(server.Listener.Addr().String(), "", wire.Fields{Load: "Load", Backend: "Backend"})
		server.Close()
		if err != nil || health.Slots != 88 || !health.Ready {
			t.Errorf("load %q: got %d slots, ready: %t, error %v; want 88 slots, ready", load, health.Slots, health.Ready, err)
		}
	}
}
