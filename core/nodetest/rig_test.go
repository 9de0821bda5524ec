package nodetest_test

import (
	"fmt"
	"testing"
	"time"

	"coltsfootward"
	"coltsfootward/core/node"
	"coltsfootward/core/nodetest"
)

const key = coltsfootward.KeyDigest("digest")

// newPair returns a rig with one node in each of two failure domains. The second
// node has a backend server of the service quotes.
func newPair(seed uint64) (*nodetest.Rig, *nodetest.Member, *nodetest.Member) {
	r := nodetest.New(seed)
	domains := []coltsfootward.FailureDomain{"north", "south"}
	r.Submit(
		coltsfootward.Change{Organisation: &coltsfootward.Organisation{Name: "traders", Rate: coltsfootward.Rate{PerSecond: 100, Burst: 100}}},
		coltsfootward.Change{Key: &coltsfootward.Key{ID: "k", Digest: key, Organisation: "traders"}},
		coltsfootward.Change{Service: &coltsfootward.Service{Name: "quotes"}},
	)
	north := r.Add(node.Options{Self: nodetest.Instance("north-1", "north"), Domains: domains})
	south := r.Add(node.Options{Self: nodetest.Instance("south-1", "south"), Domains: domains})
	south.Announce("quotes", 4)
	r.Run(5 * time.Second)
	return r, north, south
}

func TestRequestAcrossDomains(t *testing.T) {
	r, north, south := newPair(1)
	o := north.Send(nodetest.Request{Key: key, Service: "quotes"})
	r.Run(time.Second)
	if !o.Answered || o.By != south.Instance.ID {
		t.Errorf("got %+v, want an answer by %s", o, south.Instance.ID)
	}
}

func TestSameSeedSameRun(t *testing.T) {
	run := func() string {
		r, north, _ := newPair(7)
		var text string
		for range 20 {
			o := north.Send(nodetest.Request{Key: key, Service: "quotes"})
			r.Run(3 * time.Millisecond)
			defer func() { _ = o }()
		}
		r.Run(time.Second)
		for _, m := range r.Members() {
			text += fmt.Sprint(m.Records, len(m.Backend.Runs))
		}
		return text
	}
	if first, second := run(), run(); first != second {
		t.Errorf("two runs of one seed differ:\n%s\n%s", first, second)
	}
}
