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

// Guards against refusals that don't tell that servers were cold.
func TestRefusalsSayThatServersAreCold(t *testing.T) {
	r, members := newCold(1, 2, "north", "south")
	load(r, members, 1000, time.Second)
	for _, m := range members {
		m.AnnounceCold("quotes", 40, coldTime)
	}
	load(r, members, 1000, coldTime-time.Second)
	for code, kind := range map[record.Code]string{record.RequestRefused: "at the entry", record.CallRefused: "at the server's node"} {
		missing, ok := lacking(members, code, coltsfootward.RefusalOverloaded, "cold")
		if !ok || len(missing) > 0 {
			t.Errorf("%s: refusals lack %v, seen %v", kind, missing, ok)
		}
	}
	passed, refused := 0, 0
	for _, m := range members {
		cold := m.Node().Cold()
		if cold.Remaining <= 0 || cold.Remaining > coldTime {
			t.Errorf("%s: cold for another %v, want up to %v", m.Instance.ID, cold.Remaining, coldTime)
		}
		passed += cold.Passed
		refused += cold.Refused
	}
	if passed == 0 || refused == 0 {
		t.Errorf("cold servers got %d requests and were spared %d, want some of both", passed, refused)
	}
}

// Guards against "no backend server takes work" that doesn't name the operators' doing.
func TestRefusalsNameDomainsOutOfService(t *testing.T) {
	r, members := newCold(1, 1, "north", "south")
	members[0].ReadDomains(outOfService(3, "north", "south"))
	r.Run(time.Second)
	get(members[1])
	r.Run(time.Second)
	if missing, ok := lacking(members, record.RequestRefused, coltsfootward.RefusalNoUpstream, "out_of_service"); !ok || len(missing) > 0 {
		t.Errorf("the refusal lacks %v, seen %v", missing, ok)
	}
}
