package nodetest_test

import (
	"testing"
	"time"

	"coltsfootward"
	"coltsfootward/core/message"
	"coltsfootward/core/nodetest"
	"coltsfootward/core/record"
)

// missingFields returns which of the named fields are missing in the most complete
// record with the given code and kind of refusal. The second result is false if there
// is no such record.
func missingFields(members []*nodetest.Member, code record.Code, kind coltsfootward.RefusalKind, names ...string) ([]string, bool) {
	var fewest []string
	seen := false
	for _, m := range members {
		for _, r := range m.Records {
			values := make(map[string]string)
			for _, f := range r.Fields {
				values[f.Name] = f.Value
			}
			if r.Code != code || values["kind"] != string(kind) {
				continue
			}
			var missing []string
			for _, name := range names {
				if values[name] == "" {
					missing = append(missing, name)
				}
			}
			if !seen || len(missing) < len(fewest) {
				fewest = missing
			}
			seen = true
		}
	}
	return fewest, seen
}

// Guards against refusals whose cause cannot be determined from the log.
func TestRefusalRecordsNameTheCause(t *testing.T) {
	tests := []struct {
		name        string
		code        record.Code
		kind        coltsfootward.RefusalKind
		rate        coltsfootward.Rate
		serviceTime time.Duration
		setup       func(members []*nodetest.Member)
		want        []string
	}{
		{"over the rate", record.RequestRefused, coltsfootward.RefusalOverRate, coltsfootward.Rate{PerSecond: 4, Burst: 4}, 0,
			nil, []string{"organisation", "rate", "burst", "revision", "parts", "retry_after"}},
		{"saturated server", record.CallRefused, coltsfootward.RefusalOverloaded, coltsfootward.Rate{PerSecond: 1e4, Burst: 1e4}, 900 * time.Millisecond,
			nil, []string{"running", "queued", "limit", "backlog", "waited", "left", "service"}},
		{"saturated server, at the entry node", record.AttemptFailed, coltsfootward.RefusalOverloaded, coltsfootward.Rate{PerSecond: 1e4, Burst: 1e4}, 900 * time.Millisecond,
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
			r, members := newRoutedRig(1, 2, routedDocument(1, test.rate, "quotes"), "north", "south")
			for _, m := range members {
				if test.serviceTime > 0 {
					m.Backend.ServiceTime = func(message.Call) time.Duration { return test.serviceTime }
				}
			}
			if test.setup != nil {
				test.setup(members)
			}
			for range 600 {
				for _, m := range members {
					get(m)
				}
				r.Run(10 * time.Millisecond)
			}
			r.Run(3 * time.Second)
			missing, ok := missingFields(members, test.code, test.kind, test.want...)
			if !ok {
				t.Fatalf("no refusal of kind %s was reported", test.kind)
			}
			if len(missing) > 0 {
				t.Errorf("the record of the refusal lacks the fields %v", missing)
			}
		})
	}
}

// Guards against records of refusals that don't mention that servers were cold.
func TestRefusalRecordsMentionColdServers(t *testing.T) {
	r, members := newColdRig(1, 2, "north", "south")
	sendLoad(r, members, 1000, time.Second)
	for _, m := range members {
		m.AnnounceCold("quotes", 40, coldTime)
	}
	sendLoad(r, members, 1000, coldTime-time.Second)
	for code, location := range map[record.Code]string{record.RequestRefused: "at the entry node", record.CallRefused: "at the server's node"} {
		missing, ok := missingFields(members, code, coltsfootward.RefusalOverloaded, "cold")
		if !ok || len(missing) > 0 {
			t.Errorf("%s: records of refusals lack the fields %v, seen %v", location, missing, ok)
		}
	}
	admitted, refused := 0, 0
	for _, m := range members {
		cold := m.Node().Cold()
		if cold.Remaining <= 0 || cold.Remaining > coldTime {
			t.Errorf("%s: remaining cold time %v, want more than zero and at most %v", m.Instance.ID, cold.Remaining, coldTime)
		}
		admitted += cold.Admitted
		refused += cold.Refused
	}
	if admitted == 0 || refused == 0 {
		t.Errorf("nodes of cold servers admitted %d requests and refused %d, want some of both", admitted, refused)
	}
}

// Guards against a refusal for lack of an upstream whose record doesn't mention that
// operators have taken domains out of service.
func TestRefusalRecordsNameDomainsOutOfService(t *testing.T) {
	r, members := newColdRig(1, 1, "north", "south")
	members[0].ReadDomains(outOfService(3, "north", "south"))
	r.Run(time.Second)
	get(members[1])
	r.Run(time.Second)
	if missing, ok := missingFields(members, record.RequestRefused, coltsfootward.RefusalNoUpstream, "out_of_service"); !ok || len(missing) > 0 {
		t.Errorf("the record of the refusal lacks the fields %v, seen %v", missing, ok)
	}
}
