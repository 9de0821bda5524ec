package hosting

import (
	"net/http"
	"net/http/httptest"
	"testing"
)

// Guards against a server that loses what it is made to state while it is down: checks
// would then expect nodes to keep a limit that no response names.
func TestConditionSetWhileDownHoldsForNextStart(t *testing.T) {
	set := func(b *Backend) {
		b.SetLimit(0.5)
		b.SetLeaving(true)
		b.SetSlowdown("250")
	}
	crash := func(b *Backend) { b.Crash() }
	restart := func(b *Backend) { b.Restart() }
	for _, test := range []struct {
		name  string
		steps []func(*Backend)
		want  [3]string
	}{
		{"before the crash", []func(*Backend){set, crash, restart}, [3]string{"", "", "0,0,8"}},
		{"while down", []func(*Backend){crash, set, restart}, [3]string{"0.5", "1", "0,0,8,250"}},
		{"after the restart", []func(*Backend){crash, restart, set}, [3]string{"0.5", "1", "0,0,8,250"}},
	} {
		b := NewBackend("i-0", "quotes", "", "", 8)
		for _, step := range test.steps {
			step(b)
		}
		response := httptest.NewRecorder()
		b.ServeHTTP(response, httptest.NewRequest(http.MethodGet, "/health", nil))
		h := response.Header()
		if got := [3]string{h.Get("Server-Limit"), h.Get("Server-Leaving"), h.Get("Coltsfootward-Server-Load")}; got != test.want {
			t.Errorf("%s: the next start states %q, want %q", test.name, got, test.want)
		}
	}
}
