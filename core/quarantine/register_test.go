package quarantine_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"coltsfootward/core/message"
	"coltsfootward/core/quarantine"
)

const lifetime = time.Hour

func report(id uint64, age time.Duration, suspects ...uint64) message.CrashReport {
	return message.CrashReport{ID: id, Age: age, Suspects: suspects}
}

func Example() {
	register := quarantine.NewRegister(time.Hour)
	for crash := range uint64(3) {
		register.Add(time.Duration(crash)*time.Second, message.CrashReport{ID: crash, Suspects: []uint64{1, 10 + crash}})
	}
	verdict, withheld := register.Withheld(3*time.Second, 1)
	fmt.Println(withheld, verdict.Crashes(), verdict.Until())
	// Output: true 3 1h0m0s
}

func TestRegister(t *testing.T) {
	for _, c := range []struct {
		name    string
		reports []message.CrashReport
		want    []quarantine.Fingerprint
	}{
		{"two crashes", []message.CrashReport{report(1, 0, 7), report(2, 0, 7)}, nil},
		{"one crash reported three times", []message.CrashReport{report(1, 0, 7), report(1, 0, 7), report(1, 0, 7)}, nil},
		{"three crashes", []message.CrashReport{report(1, 0, 7, 8), report(2, 0, 7), report(3, 0, 7, 9)}, []quarantine.Fingerprint{7}},
		{"a crash that is too old", []message.CrashReport{report(1, lifetime, 7), report(2, 0, 7), report(3, 0, 7)}, nil},
		{
			"an answer in between",
			[]message.CrashReport{report(1, 0, 7), report(2, 0, 7), {ID: 2, Acquitted: []uint64{7}}, report(3, 0, 7)}, nil,
		},
		{
			"an answer that is reported before the crash",
			[]message.CrashReport{{ID: 1, Acquitted: []uint64{7}}, report(1, 0, 7), report(2, 0, 7), report(3, 0, 7)}, nil,
		},
		{
			"another request in service at three of four crashes",
			[]message.CrashReport{report(1, 4, 7, 8), report(2, 3, 7, 8), report(3, 2, 7, 8), report(4, 1, 7)}, []quarantine.Fingerprint{7},
		},
		{
			"two requests in service at the same crashes",
			[]message.CrashReport{report(1, 3, 7, 8), report(2, 2, 7, 8), report(3, 1, 7, 8)}, []quarantine.Fingerprint{7, 8},
		},
		{
			"another request in service at later crashes",
			[]message.CrashReport{
				report(1, 9*time.Second, 7), report(2, 8*time.Second, 7), report(3, 7*time.Second, 7),
				report(4, 3*time.Second, 7, 8), report(5, 2*time.Second, 7, 8), report(6, time.Second, 7, 8),
			},
			[]quarantine.Fingerprint{7},
		},
		{
			"a second request that crashes servers after the first is withheld",
			[]message.CrashReport{
				report(1, 9*time.Second, 7, 8), report(2, 9*time.Second, 7, 8), report(3, 9*time.Second, 7, 8), report(4, 9*time.Second, 7),
				report(5, 3*time.Second, 8), report(6, 2*time.Second, 8), report(7, time.Second, 8), report(8, 0, 8),
			},
			[]quarantine.Fingerprint{7, 8},
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := quarantine.NewRegister(lifetime)
			r.Add(lifetime, c.reports...)
			if got := r.All(); !slices.Equal(got, c.want) {
				t.Errorf("got %v withheld, want %v", got, c.want)
			}
		})
	}
}

// Guards against nodes that withhold different requests because reports reached them
// in different orders.
func TestRegisterIgnoresTheOrderOfReports(t *testing.T) {
	for seed := range uint64(50) {
		source := rand.New(rand.NewPCG(seed, seed))
		var reports []message.CrashReport
		for id := range uint64(12) {
			c := report(id, time.Duration(source.IntN(5000))*time.Millisecond)
			for range 1 + source.IntN(6) {
				c.Suspects = append(c.Suspects, source.Uint64N(8))
			}
			if source.IntN(3) == 0 {
				c.Acquitted = append(c.Acquitted, source.Uint64N(8))
			}
			reports = append(reports, c)
		}
		first := quarantine.NewRegister(lifetime)
		first.Add(lifetime, reports...)
		source.Shuffle(len(reports), func(i, j int) { reports[i], reports[j] = reports[j], reports[i] })
		second := quarantine.NewRegister(lifetime)
		for _, c := range reports {
			second.Add(lifetime, c)
		}
		if !slices.Equal(first.All(), second.All()) || first.Digest() != second.Digest() {
			t.Errorf("seed %d: got %v and %v withheld, want the same", seed, first.All(), second.All())
		}
		third := quarantine.NewRegister(lifetime)
		for next := -1; next != 0; {
			var page []message.CrashReport
			page, next = first.Page(lifetime, max(next, 0), 5)
			third.Add(lifetime, page...)
		}
		if !slices.Equal(first.All(), third.All()) || first.Digest() != third.Digest() {
			t.Errorf("seed %d: got %v from the reports of a node that withholds %v", seed, third.All(), first.All())
		}
	}
}

// Guards against a request that is withheld for good.
func TestRegisterReleasesRequests(t *testing.T) {
	r := quarantine.NewRegister(lifetime)
	r.Add(0, report(1, 0, 7), report(2, 0, 7), report(3, 0, 7))
	r.Expire(lifetime - 1)
	if _, ok := r.Withheld(lifetime-1, 7); !ok {
		t.Error("released before the lifetime has passed")
	}
	r.Expire(lifetime)
	if got := r.All(); len(got) > 0 || r.Digest() != 0 {
		t.Errorf("got %v withheld after the lifetime, want none", got)
	}
	r.Add(lifetime, report(4, 0, 7), report(5, 0, 7), report(6, 0, 7))
	if got := r.Answered(lifetime, 7); len(got) != 3 || len(r.All()) > 0 {
		t.Errorf("got %v and %v withheld after an answer, want three acquittals and none withheld", got, r.All())
	}
}

// Guards against memory that grows with the number of crashes and suspects.
func TestRegisterIsBounded(t *testing.T) {
	r := quarantine.NewRegister(lifetime)
	id := uint64(0)
	for range 200 {
		var suspects []uint64
		for range 2 * quarantine.MaxSuspects {
			id++
			suspects = append(suspects, id)
		}
		r.Add(0, report(id, 0, suspects...))
	}
	total := 0
	all, _ := r.Page(0, 0, 1<<20)
	for _, c := range all {
		total += len(c.Suspects)
	}
	if total > 4<<10 {
		t.Errorf("got %d suspects, want at most %d", total, 4<<10)
	}
}

// Guards against nodes that send an old report to each other for ever because none of
// them has room for it, and against verdicts that are lost under many crashes.
func TestFullRegisterKeepsVerdictsAndRefusesOldReports(t *testing.T) {
	r := quarantine.NewRegister(lifetime)
	r.Add(0, report(1, time.Minute, 7), report(2, time.Minute, 7), report(3, time.Minute, 7))
	suspect := uint64(100)
	for id := range uint64(50) {
		c := report(1000+id, 0)
		for range quarantine.MaxSuspects {
			suspect++
			c.Suspects = append(c.Suspects, suspect)
		}
		r.Add(0, c)
	}
	if got := r.All(); !slices.Equal(got, []quarantine.Fingerprint{7}) {
		t.Errorf("got %v withheld, want 7", got)
	}
	old := report(4, time.Minute)
	for range quarantine.MaxSuspects {
		suspect++
		old.Suspects = append(old.Suspects, suspect)
	}
	if added := r.Add(0, old); len(added) > 0 {
		t.Errorf("got %v, want an old report to be dropped", added)
	}
}

func BenchmarkAnswered(b *testing.B) {
	r := fullRegister()
	for b.Loop() {
		r.Answered(0, 1<<40)
	}
}

func BenchmarkAdd(b *testing.B) {
	r := fullRegister()
	for id := uint64(1 << 40); b.Loop(); id++ {
		r.Add(0, report(id, 0, id, 1, 2))
	}
}

// fullRegister returns a register with as many crashes as it holds, of 30 suspects each.
func fullRegister() *quarantine.Register {
	r := quarantine.NewRegister(lifetime)
	for id := range uint64(140) {
		c := report(id, 0)
		for i := range uint64(30) {
			c.Suspects = append(c.Suspects, id*30+i)
		}
		r.Add(0, c)
	}
	return r
}

func BenchmarkFingerprint(b *testing.B) {
	head := message.Call{Organisation: "traders", Host: "quotes.example", Method: "GET", Path: "/quotes/urea/2026-12-03?page=2"}
	for b.Loop() {
		quarantine.FingerprintOf(head, 1)
	}
}
