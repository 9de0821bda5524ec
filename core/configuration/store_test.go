package configuration_test

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"coltsfootward"
	"coltsfootward/core/configuration"
	"coltsfootward/core/node"
	"coltsfootward/core/nodetest"
)

// steppedTable is a table that calls step with the number of each operation before it
// runs, and that loses the responses to some transactions.
type steppedTable struct {
	coltsfootward.Table
	count int
	step  func(number int)
	// lostResponses is the number of transactions that take effect but return
	// ErrUnavailable.
	lostResponses int
}

func (s *steppedTable) next() {
	s.count++
	if s.step != nil {
		s.step(s.count)
	}
}

func (s *steppedTable) Read(ctx context.Context, key string) (coltsfootward.Row, error) {
	s.next()
	return s.Table.Read(ctx, key)
}

func (s *steppedTable) Transact(ctx context.Context, t coltsfootward.Transaction) error {
	s.next()
	err := s.Table.Transact(ctx, t)
	if s.lostResponses > 0 {
		s.lostResponses--
		return coltsfootward.ErrUnavailable
	}
	return err
}

func organisation(id, name string, rate float64) coltsfootward.Change {
	return coltsfootward.Change{ID: id, Organisation: &coltsfootward.Organisation{
		Name: coltsfootward.OrganisationName(name), Rate: coltsfootward.Rate{PerSecond: rate, Burst: 1}}}
}

func key(id, name string, withdrawn bool) coltsfootward.Change {
	return coltsfootward.Change{ID: id, Key: &coltsfootward.Key{
		ID: "k", Digest: "digest", Organisation: coltsfootward.OrganisationName(name), Withdrawn: withdrawn}}
}

func submit(t *testing.T, table coltsfootward.Table, change coltsfootward.Change, basedOn coltsfootward.Revision) (coltsfootward.Revision, error) {
	t.Helper()
	return configuration.NewStore(table).Submit(context.Background(), change, configuration.Precondition{BasedOn: basedOn})
}

// Two operators change the same organisation, or two different ones, concurrently: the
// second change runs entirely before one table operation of the first, for each
// operation in turn. Of two changes to one object based on the same revision, one must
// be stored and the other return a ConflictError; changes to different objects must
// both be stored.
func TestConcurrentChanges(t *testing.T) {
	for operation := 1; operation <= 4; operation++ {
		for _, other := range []string{"traders", "importers"} {
			t.Run(fmt.Sprintf("step %d against %s", operation, other), func(t *testing.T) {
				table := nodetest.New(1).Table
				stepped := &steppedTable{Table: table}
				var second error
				stepped.step = func(number int) {
					if number == operation {
						_, second = submit(t, table, organisation("b", other, 2), 0)
					}
				}
				_, first := submit(t, stepped, organisation("a", "traders", 1), 0)
				if second != nil {
					t.Errorf("the change that was stored first: got %v, want no error", second)
				}
				var conflict *configuration.ConflictError
				if lost := errors.As(first, &conflict); lost != (other == "traders") {
					t.Errorf("the concurrent change, against %s: got %v", other, first)
				}
				rows, _ := table.Scan(context.Background(), node.ChangePrefix, "", 10)
				if want := map[bool]int{true: 1, false: 2}[other == "traders"]; len(rows) != want {
					t.Errorf("got %d changes stored and error %v, want %d", len(rows), first, want)
				}
			})
		}
	}
}

// The platform stores a change but its response is lost, once or every time. The change
// must be stored once, and sending it again must return its revision, not a conflict
// with the change itself.
func TestLostTransactionResponses(t *testing.T) {
	for _, lost := range []int{1, 100} {
		table := nodetest.New(1).Table
		stepped := &steppedTable{Table: table, lostResponses: lost}
		revision, err := submit(t, stepped, organisation("a", "traders", 1), 0)
		if err != nil || revision != 1 {
			t.Errorf("with %d responses lost: got revision %d and error %v, want 1", lost, revision, err)
		}
		resent := organisation("a", "traders", 1)
		resent.Organisation.Revision = 1
		if again, err := submit(t, table, resent, 0); again != 1 || err != nil {
			t.Errorf("sent again: got revision %d and error %v, want 1", again, err)
		}
		if rows, _ := table.Scan(context.Background(), node.ChangePrefix, "", 10); len(rows) != 1 {
			t.Errorf("got %d changes stored, want 1", len(rows))
		}
	}
}

// The platform does not answer at all. The error must say that the change may or may
// not be stored, and how to find out.
func TestUnavailableTableReturnsUnknownOutcome(t *testing.T) {
	table := nodetest.New(1).Table
	table.Outage = true
	var unknownOutcome *configuration.UnknownOutcomeError
	if _, err := submit(t, table, organisation("a", "traders", 1), 0); !errors.As(err, &unknownOutcome) {
		t.Errorf("got %v, want an UnknownOutcomeError", err)
	}
}

func TestRejectedChanges(t *testing.T) {
	table := nodetest.New(1).Table
	for _, c := range []struct {
		change  coltsfootward.Change
		basedOn coltsfootward.Revision
	}{{organisation("a", "traders", 1), 0}, {key("k1", "traders", false), 0}, {key("k2", "traders", true), 2}} {
		if _, err := submit(t, table, c.change, c.basedOn); err != nil {
			t.Fatal(err)
		}
	}
	unknownOwner := key("k3", "nobody", false)
	unknownOwner.Key.ID, unknownOwner.Key.Digest = "stranger", "another"
	sameSecret := key("k5", "traders", false)
	sameSecret.Key.ID = "second"
	sameID := key("k6", "traders", true)
	sameID.Key.Digest = "new secret"
	tests := []struct {
		name    string
		change  coltsfootward.Change
		basedOn coltsfootward.Revision
		kind    any
	}{
		{"the change id of another change: the new change would be lost", organisation("a", "traders", 2), 1, new(*configuration.ChangeIDError)},
		{"a key of an unknown organisation: it would have no rate", unknownOwner, 0, new(*configuration.UnknownOrganisationError)},
		{"a withdrawn key: somebody may still possess it", key("k4", "traders", false), 3, new(*configuration.KeyWithdrawnError)},
		{"the secret of another key: withdrawing one key would withdraw both", sameSecret, 0, new(*configuration.KeyReusedError)},
		{"the id of another key: the new key would replace it in the table", sameID, 3, new(*configuration.KeyReusedError)},
		{"a change based on an older revision: it would undo another operator's change", organisation("c", "traders", 3), 0, new(*configuration.ConflictError)},
	}
	for _, test := range tests {
		if _, err := submit(t, table, test.change, test.basedOn); err == nil || !errors.As(err, test.kind) {
			t.Errorf("%s: got %v, want %T", test.name, err, test.kind)
		}
	}
}

// The table retains only the latest changes. A node that starts without peers must
// still get the full current configuration, while operators continue to change it.
func TestNodeRestoresPrunedChanges(t *testing.T) {
	rig := nodetest.New(1)
	store := configuration.NewStoreWithOptions(rig.Table, configuration.Options{KeepChanges: 10})
	want := coltsfootward.Configuration{}
	change := func(i int) {
		c := organisation(fmt.Sprintf("id-%d", i), fmt.Sprintf("organisation-%d", i%600), float64(i))
		revision, err := store.Submit(context.Background(), c, configuration.Precondition{Force: true})
		if err != nil {
			t.Fatal(err)
		}
		c.Revision = revision
		want = want.Apply(c)
	}
	for i := range 1300 {
		change(i)
	}
	for _, prefix := range []string{node.ChangePrefix, "change_id/"} {
		if rows, _ := rig.Table.Scan(context.Background(), prefix, "", 2000); len(rows) != 10 {
			t.Errorf("got %d rows under %s, want 10", len(rows), prefix)
		}
	}
	member := rig.Add(node.Options{Self: nodetest.Instance("north-1", "north"), Domains: []coltsfootward.FailureDomain{"north"}})
	for i := range 8 {
		rig.Run(time.Millisecond)
		change(2000 + i*70)
	}
	if !rig.RunUntil(10*time.Second, func() bool { return member.Node().Configuration().Revision() == want.Revision() }) {
		t.Fatalf("got revision %d, want %d", member.Node().Configuration().Revision(), want.Revision())
	}
	if got := member.Node().Configuration().Organisations(); fmt.Sprint(got) != fmt.Sprint(want.Organisations()) {
		t.Error("the restored configuration differs from the replay of all changes")
	}
}
