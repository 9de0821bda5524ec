package demand_test

import (
	"fmt"
	"math"
	"reflect"
	"testing"
	"time"

	"coltsfootward"
	"coltsfootward/core/demand"

	_ "coltsfootward/core/internal/testseed"

	"github.com/vmihailenco/msgpack/v5"
	"pgregory.net/rapid"
)

func ExampleCollector() {
	var north, south demand.Meter
	for i := range 400 {
		now := time.Duration(i) * 10 * time.Millisecond
		north.Record(now, "quotes", "traders", 4, 0.02)
		south.Record(now, "quotes", "brokers", 4, 0.01)
	}
	now := 4 * time.Second
	var collector demand.Collector
	collector.Report(now, "north-1", "north", north.Report(now, "quotes"))
	collector.Report(now, "south-1", "south", south.Report(now, "quotes"))
	s := collector.Summary(now, "quotes")
	fmt.Printf("%d nodes ask for %.1f slots\n", s.Entries, s.Total.Total())
	for _, o := range s.Organisations {
		fmt.Printf("%s %.1f\n", o.Name, o.Demand[4])
	}
	fmt.Printf("north %.1f\n", s.From("north").Demand)
	// Output:
	// 2 nodes ask for 2.9 slots
	// brokers 1.0
	// traders 1.9
	// north 1.9
}

func drawReport(t *rapid.T) demand.Report {
	var meter demand.Meter
	for range rapid.IntRange(0, 40).Draw(t, "requests") {
		organisation := coltsfootward.OrganisationName(fmt.Sprint(rapid.IntRange(0, 30).Draw(t, "organisation")))
		meter.Record(0, "quotes", organisation, rapid.IntRange(0, demand.Bands-1).Draw(t, "band"), rapid.Float64Range(0.01, 1).Draw(t, "cost"))
	}
	return meter.Report(0, "quotes")
}

// parts returns the sum of what a summary attributes to organisations.
func parts(s demand.Summary) float64 {
	sum := s.Others.Total()
	for _, o := range s.Organisations {
		sum += o.Demand.Total()
	}
	return sum
}

// Guards against demand that is lost or counted twice when sums are exchanged: every
// collector has to name the same totals, and the parts have to add up to them.
func TestCollectorsAgreeOnTotals(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const now = time.Second
		collectors := make([]demand.Collector, rapid.IntRange(1, 4).Draw(t, "collectors"))
		want, entries := 0.0, rapid.IntRange(1, 12).Draw(t, "entries")
		for i := range entries {
			r := drawReport(t)
			want += r.Total.Total()
			at := rapid.IntRange(0, len(collectors)-1).Draw(t, "collector")
			collectors[at].Report(now, coltsfootward.InstanceID(fmt.Sprint(i)), coltsfootward.FailureDomain(fmt.Sprint(i%3)), r)
		}
		for i := range collectors {
			for j := range collectors {
				if i != j {
					collectors[j].Exchange(now, coltsfootward.InstanceID(fmt.Sprint("collector", i)), collectors[i].Sum(now, "quotes"))
				}
			}
		}
		for i := range collectors {
			s := collectors[i].Summary(now, "quotes")
			domains := 0.0
			for _, d := range s.Domains {
				domains += d.Demand
			}
			for name, got := range map[string]float64{"total": s.Total.Total(), "parts": parts(s), "domains": domains} {
				if math.Abs(got-want) > 1e-6*(1+want) {
					t.Fatalf("collector %d: %s is %v, want %v", i, name, got, want)
				}
			}
			if s.Entries != entries {
				t.Fatalf("got %d entry nodes, want %d", s.Entries, entries)
			}
		}
	})
}

// Guards against the demand of nodes that stopped or were cut off counting on.
func TestReportsExpire(t *testing.T) {
	var meter demand.Meter
	meter.Record(0, "quotes", "traders", 0, 1)
	var c demand.Collector
	c.Report(0, "north-1", "north", meter.Report(0, "quotes"))
	if got := c.Summary(1400*time.Millisecond, "quotes").Entries; got != 1 {
		t.Errorf("got %d entry nodes within three intervals, want 1", got)
	}
	if got := c.Summary(1600*time.Millisecond, "quotes").Entries; got != 0 {
		t.Errorf("got %d entry nodes after three intervals, want 0", got)
	}
}

// Guards against a collector that gets more reports than it can process: the interval
// has to keep their rate at 200 a second, and a summary has to be valid until the next.
func TestIntervalBoundsReports(t *testing.T) {
	var c demand.Collector
	for i := range 1000 {
		c.Report(0, coltsfootward.InstanceID(fmt.Sprint(i)), "north", demand.Report{})
	}
	s := c.Summary(0, "quotes")
	if s.Interval != 5*time.Second {
		t.Errorf("got interval %v, want 5s for 1000 nodes", s.Interval)
	}
	if !s.Valid(7*time.Second) || s.Valid(8*time.Second) {
		t.Error("the summary is not valid for one and a half intervals")
	}
}

// Guards against entry nodes that choose different collectors, and against a failure
// domain without one.
func TestCollectorsCoverDomains(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var servers []coltsfootward.Instance
		domains := make(map[coltsfootward.FailureDomain]bool)
		for i := range rapid.IntRange(1, 60).Draw(t, "servers") {
			domain := coltsfootward.FailureDomain(fmt.Sprint(rapid.IntRange(0, 20).Draw(t, "domain")))
			domains[domain] = true
			servers = append(servers, coltsfootward.Instance{ID: coltsfootward.InstanceID(fmt.Sprint("s", i)), Domain: domain})
		}
		shuffled := rapid.Permutation(servers).Draw(t, "shuffled")
		chosen := demand.Collectors("quotes", servers)
		if !reflect.DeepEqual(chosen, demand.Collectors("quotes", shuffled)) {
			t.Fatal("the order of the servers changes the collectors")
		}
		count := make(map[coltsfootward.FailureDomain]int)
		for _, c := range chosen {
			count[c.Domain]++
			if count[c.Domain] > 2 {
				t.Fatalf("domain %s has more than two collectors", c.Domain)
			}
		}
		if len(chosen) > demand.MaxCollectors || len(count) != min(len(domains), demand.MaxCollectors) {
			t.Fatalf("got %d collectors in %d of %d domains", len(chosen), len(count), len(domains))
		}
	})
}

// Guards against an entry node that goes on reporting to a killed collector, or that
// never returns to the nearest one.
func TestReporterSkipsSilentCollector(t *testing.T) {
	nearest := []coltsfootward.Instance{{ID: "near"}, {ID: "far"}}
	var r demand.Reporter
	var sent []coltsfootward.InstanceID
	for now := time.Duration(0); now < 8*time.Second; now += 100 * time.Millisecond {
		r.Seen(now)
		if !r.Due(now) {
			continue
		}
		to, _, _ := r.Choose(now, nearest)
		sent = append(sent, to.ID)
		if to.ID == "far" {
			r.Answered(now, to.ID, demand.Summary{Service: "quotes", Contended: true})
		}
	}
	if len(sent) != 16 || sent[0] != "near" || sent[1] != "near" || sent[2] != "far" || sent[11] != "far" || sent[12] != "near" {
		t.Errorf("reports went to %v, want two to near, then far for five seconds, then near", sent)
	}
}

// Guards against a codec that loses bands, and against peers that state implausible
// demand.
func TestBandsRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var in, out demand.ByBand
		for range rapid.IntRange(0, 5).Draw(t, "bands") {
			in[rapid.IntRange(0, demand.Bands-1).Draw(t, "band")] = float64(rapid.Float32Range(0.001, 1000).Draw(t, "demand"))
		}
		data, err := msgpack.Marshal(&in)
		if err == nil {
			err = msgpack.Unmarshal(data, &out)
		}
		if err != nil || in != out {
			t.Fatalf("got %v and %v, want %v", out, err, in)
		}
	})
	bad, _ := msgpack.Marshal(map[int]float64{-1: 1, 99: 1, 1: math.NaN(), 2: math.Inf(1), 3: -5, 4: 2})
	var out demand.ByBand
	if err := msgpack.Unmarshal(bad, &out); err != nil || out != (demand.ByBand{4: 2}) {
		t.Errorf("got %v and %v, want only band 4", out, err)
	}
}

// Guards against figures of one peer that make the sums of the whole fleet unusable, and
// against a summary that is used for ever.
func TestImplausibleFiguresOfPeers(t *testing.T) {
	bad := demand.Summary{
		Service: "quotes", Admitted: math.NaN(), Interval: math.MaxInt64 / 3,
		Domains: []demand.Domain{{Name: "north", Demand: math.Inf(1), Admitted: math.NaN()}},
	}
	var c demand.Collector
	c.Report(0, "south-1", "south", demand.Report{Service: "quotes", Admitted: math.NaN()})
	c.Exchange(0, "north-1", bad)
	for _, s := range []demand.Summary{c.Summary(0, "quotes"), bad.Received(0)} {
		if s.Admitted != 0 || s.From("north") != (demand.Domain{Name: "north"}) || s.From("south").Admitted != 0 {
			t.Errorf("got %v admitted and domains %v, want zero", s.Admitted, s.Domains)
		}
	}
	if received := bad.Received(0); received.Valid(time.Minute) {
		t.Error("a summary is used for a minute, want 30 s at most")
	}
}
