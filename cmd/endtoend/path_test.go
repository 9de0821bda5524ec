package endtoend_test

import (
	"net/http"
	"strings"
	"testing"
)

func TestRequestPath(t *testing.T) {
	platform := startPlatform(t)
	north := startNode(t, "north-1", "north", platform)
	south := startNode(t, "south-1", "south", platform)
	start(t, "standin", "backend", "--node", south.backend, "--service", "quotes")
	ctl(t, north.operators, "service", "set", "quotes")
	ctl(t, north.operators, "organisation", "set", "traders", "--rate", "0.001", "--burst", "40")
	key := ctl(t, north.operators, "key", "issue", "traders-1", "--organisation", "traders")

	var first callerResponse
	eventually(t, "the request is answered", func() bool {
		first = get(t, north.callers, "/quotes/urea?x=1", key)
		return first.status == http.StatusOK
	})
	if want := "GET /urea "; !strings.HasPrefix(first.body, want) {
		t.Errorf("got body %q, want prefix %q", first.body, want)
	}

	wrong := get(t, north.callers, "/quotes/urea", "wrong")
	if wrong.status != http.StatusUnauthorized || wrong.header.Get("Coltsfootward-Execution") != "not_run" {
		t.Errorf("wrong key: got %d %v, want 401 and not_run", wrong.status, wrong.header)
	}

	eventually(t, "the rate refuses", func() bool {
		return get(t, north.callers, "/quotes/urea", key).status == http.StatusTooManyRequests
	})

	ctl(t, south.operators, "key", "withdraw", "traders-1")
	eventually(t, "the withdrawn key stops working", func() bool {
		return get(t, north.callers, "/quotes/urea", key).status == http.StatusUnauthorized
	})
}
