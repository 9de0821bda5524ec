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

// steppedTable calls step before each operation with its number, and lets the
// answer of one transaction be lost.
type steppedTable struct {
	coltsfootward.Table
	count int
	step  func(number int)
	// lose is how many transactions take effect and then go unanswered.
	lose int
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
	if s.lose > 0 {
		s.lose--
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

// Two operators change the same organisation, then different ones, at the same
// moment: one's whole change falls before each step of the other's in turn. Of
// two changes to one object based on the same state, one must win and the other
// be told; changes to different objects both hold.
func TestRacingOperators(t *testing.T) {
	for at := 1; at <= 4; at++ {
		for _, other := range []string{"traders", "importers"} {
			t.Run(fmt.Sprintf("step %d against %s", at, other), func(t *testing.T) {
				table := nodetest.New(1).Table
				stepped := &steppedTable{Table: table}
				var second error
				stepped.step = func(number int) {
					if number == at {
						_, second = submit(t, table, organisation("b", other, 2), 0)
					}
				}
				_, first := submit(t, stepped, organisation("a", "traders", 1), 0)
				if second != nil {
					t.Errorf("the change that came first: got %v, want it stored", second)
				}
				var conflict *configuration.ConflictError
				if lost := errors.As(first, &conflict); lost != (other == "traders") {
					t.Errorf("the change that came second against %s: got %v", other, first)
				}
				rows, _ := table.Scan(context.Background(), node.ChangePrefix, "", 10)
				if want := map[bool]int{true: 1, false: 2}[other == "traders"]; len(rows) != want {
					t.Errorf("got %d changes stored and %v, want %d", len(rows), first, want)
				}
			})
		}
	}
}

// The platform stores a change and its answer is lost, once or every time. The
// change must be stored once, and the operator who sends it again must get its
// revision, not a conflict with himself.
func TestLostAnswers(t *testing.T) {
	for _, lose := range []int{1, 100} {
		table := nodetest.New(1).Table
		stepped := &steppedTable{Table: table, lose: lose}
		revision, err := submit(t, stepped, organisation("a", "traders", 1), 0)
		if err != nil || revision != 1 {
			t.Errorf("with %d lost: got revision %d and %v, want 1", lose, revision, err)
		}
		read := organisation("a", "traders", 1)
		read.Organisation.Revision = 1
		if again, err := submit(t, table, read, 0); again != 1 || err != nil {
			t.Errorf("sent again: got revision %d and %v, want 1", again, err)
		}
		if rows, _ := table.Scan(context.Background(), node.ChangePrefix, "", 10); len(rows) != 1 {
			t.Errorf("got %d changes stored, want 1", len(rows))
		}
	}
}

// The platform does not answer at all. The operator must be told that the
// change may or may not be stored, and how to find out.
func TestDoubtIsSaid(t *testing.T) {
	table := nodetest.New(1).Table
	table.Outage = true
	var doubt *configuration.DoubtError
	if _, err := submit(t, table, organisation("a", "traders", 1), 0); !errors.As(err, &doubt) {
		t.Errorf("got %v, want a DoubtError", err)
	}
}

func TestRefusedChanges(t *testing.T) {
	table := nodetest.New(1).Table
	for _, c := range []struct {
		change  coltsfootward.Change
		basedOn coltsfootward.Revision
	}{{organisation("a", "traders", 1), 0}, {key("k1", "traders", false), 0}, {key("k2", "traders", true), 2}} {
		if _, err := submit(t, table, c.change, c.basedOn); err != nil {
			t.Fatal(err)
		}
	}
	strangersKey := key("k3", "nobody", false)
	strangersKey.Key.ID, strangersKey.Key.Digest = "stranger", "another"
	sameSecret := key("k5", "traders", false)
	sameSecret.Key.ID = "second"
	sameID := key("k6", "traders", true)
	sameID.Key.Digest = "new secret"
	tests := []struct {
		story   string
		change  coltsfootward.Change
		basedOn coltsfootward.Revision
		kind    any
	}{
		{"an id that belongs to another change would make the second one vanish", organisation("a", "traders", 2), 1, new(*configuration.ChangeIDError)},
		{"a key of an organisation that does not exist would have no rate", strangersKey, 0, new(*configuration.UnknownOrganisationError)},
		{"a withdrawn key may still be in somebody's hands", key("k4", "traders", false), 3, new(*configuration.WithdrawnError)},
		{"withdrawing one key must not withdraw another", sameSecret, 0, new(*configuration.KeyReusedError)},
		{"a key under an old id would take that key's place in the table", sameID, 3, new(*configuration.KeyReusedError)},
		{"a change based on an older state would undo another operator's", organisation("c", "traders", 3), 0, new(*configuration.ConflictError)},
	}
	for _, test := range tests {
		if _, err := submit(t, table, test.change, test.basedOn); err == nil || !errors.As(err, test.kind) {
			t.Errorf("%s: got %v, want %T", test.story, err, test.kind)
		}
	}
}

// The table keeps only the latest changes. A node that starts with no peer needs
// the configuration as it stands all the same, while operators go on.
func TestNodeRestoresWhatTheTableDropped(t *testing.T) {
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
