package emulation_test

import (
	"testing"
	"time"

	"coltsfootward"
	"coltsfootward/core/emulation"
	"coltsfootward/core/node"
)

// The deepest service loses a server while callers send 1.7 times the usual rate, and
// child calls carry no token. Without attribution, the most important requests got 0.91,
// 0.97 and 0.84 of their worth, because the calls of all requests had equal chances.
// Guards also against calls that are seldom attributed, or to the wrong request.
func TestAttributedCallsKeepImportance(t *testing.T) {
	for _, test := range []struct {
		deployment       emulation.Deployment
		deep             coltsfootward.ServiceName
		important, calls coltsfootward.RouteName
	}{
		{emulation.Consortium(), "sections", "certificate", "tyre"},
		{emulation.Publisher(), "quotes", "order", "feed"},
		{emulation.Fleet(), "quotes", "order", "feed"},
	} {
		o := emulation.Run(test.deployment.WithAttribution(node.AttributionDeadline), emulation.Disturbance{
			Burst: 1.7, BurstSpan: span(300*time.Millisecond, 16*time.Second),
			Service: test.deep, LostServers: 1, LostAt: time.Second,
		}, runLength, 1)
		if got := o.Classes[test.important].Worth(); got < 0.98 {
			t.Errorf("%s: %s got %.3f of its worth, want at least 0.98", test.deployment.Name, test.important, got)
		}
		n := o.Attributions(test.calls)
		right, wrong := float64(n.Right)/float64(n.Calls), float64(n.Wrong)/float64(n.Calls)
		t.Logf("%s: %.4f of %d calls have the right root request, %.4f a wrong one", test.deployment.Name, right, n.Calls, wrong)
		if right < 0.94 || wrong > 0.005 {
			t.Errorf("%s: %.4f of %d calls have the right root request and %.4f a wrong one, want at least 0.94 and at most 0.005", test.deployment.Name, right, n.Calls, wrong)
		}
	}
}
