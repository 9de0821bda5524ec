package nodetest_test

import (
	"testing"
	"time"

	"coltsfootward"
	"coltsfootward/core/message"
	"coltsfootward/core/nodetest"
	"coltsfootward/core/record"
)

// lacking returns the fields that the refusals of that code and kind lack, those of
// the one that lacks least, and whether there is one.
func lacking(members []*nodetest.Member, code record.Code, kind coltsfootward.RefusalKind, names ...string) ([]string, bool) {
	var least []string
	seen := false
	for _, m := range members {
		for _, r := range m.Records {
			found := make(map[string]string)
			for _, f := range r.Fields {
				found[f.Name] = f.Value
			}
			if r.Code != code || found["kind"] != string(kind) {
				continue
			}
			var missing []string
			for _, name := range names {
				if found[name] == "" {
					missing = append(missing, name)
				}
			}
			if !seen || len(missing) < len(least) {
				least = missing
			}
			seen = true
		}
	}
	return least, seen
}

// Guards against refusals whose cause cannot be told from the log.
func TestRefusalsSayWhatDecidedThem(t *testing.T) {
	tests := []struct {
		name  string
		code  record.Code
		kind  coltsfootward.RefusalKind
		rate  coltsfootward.Rate
		slow  time.Duration
		spoil func(members []*nodetest.Member)
		want  []string
	}{
		{"over the rate", record.RequestRefused, coltsfootward.RefusalOverRate, coltsfootward.Rate{PerSecond: 4, Burst: 4}, 0,
			nil, []string{"organisation", "rate", "burst", "revision", "parts", "retry_after"}},
		{"full server", record.CallRefused, coltsfootward.RefusalOverloaded, coltsfootward.Rate{PerSecond: 1e4, Burst: 1e4}, 900 * time.Millisecond,
			nil, []string{"running", "queued", "limit", "backlog", "waited", "left", "service"}},
		{"full server, at the entry", record.AttemptFailed, coltsfootward.RefusalOverloaded, coltsfootward.Rate{PerSecond: 1e4, Burst: 1e4}, 900 * time.Millisecond,
			nil, []string{"instance", "hop", "took", "detail", "service"}},
		{"gate", record.RequestRefused, coltsfootward.RefusalOverloaded, coltsfootward.Rate{PerSecond: 1e4, Burst: 1e4}, 400 * time.Millisecond,
			nil, []string{"full", "excess", "age", "rank", "limit"}},
		{"no server", record.RequestRefused, coltsfootward.RefusalNoUpstream, coltsfootward.Rate{PerSecond: 1e4, Burst: 1e4}, 0,
			func(members []*nodetest.Member) {
				for _, m := range members {
					m.DrainBackend()
				}
			}, []string{"known", "tried", "ejected", "suspected", "unreachable", "service"}},
		{"timeout", record.RequestRefused, coltsfootward.RefusalTimeout, coltsfootward.Rate{PerSecond: 1e4, Burst: 1e4}, 10 * time.Second,
			nil, []string{"instance", "hops", "waited", "detail"}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			r, members := newRouted(1, 2, routedDocument(1, test.rate, "quotes"), "north", "south")
			for _, m := range members {
				if test.slow > 0 {
					m.Backend.ServiceTime = func(message.Call) time.Duration { return test.slow }
				}
			}
			if test.spoil != nil {
				test.spoil(members)
			}
			for range 600 {
				for _, m := range members {
					get(m)
				}
				r.Run(10 * time.Millisecond)
			}
			r.Run(3 * time.Second)
			missing, ok := lacking(members, test.code, test.kind, test.want...)
			if !ok {
				t.Fatalf("no refusal as %s was reported", test.kind)
			}
			if len(missing) > 0 {
				t.Errorf("the refusal lacks %v", missing)
			}
		})
	}
}
