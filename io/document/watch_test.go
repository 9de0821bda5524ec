package document_test

import (
	"context"
	"sync"
	"testing"
	"time"

	"coltsfootward"
	"coltsfootward/core/node"
	"coltsfootward/io/document"
)

// source counts calls and holds a document of that revision; zero is none.
type source struct {
	mu             sync.Mutex
	revision       coltsfootward.Revision
	reads, changes int
}

func (s *source) Read(context.Context) (coltsfootward.Document, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reads++
	if s.revision == 0 {
		return coltsfootward.Document{Cursor: 1}, coltsfootward.ErrNoDocument
	}
	return coltsfootward.Document{Configuration: coltsfootward.NewConfiguration(s.revision, nil, nil, nil), Cursor: 1}, nil
}

func (s *source) Changed(ctx context.Context, last coltsfootward.Document) (coltsfootward.Document, error) {
	s.mu.Lock()
	s.changes++
	s.mu.Unlock()
	<-ctx.Done()
	return last, ctx.Err()
}

func (s *source) calls() (reads, changes int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reads, s.changes
}

func watch(t *testing.T, s *source, duty node.DocumentDuty, d time.Duration) (reads, changes, found int) {
	t.Helper()
	var mu sync.Mutex
	w := document.New(document.Options{
		Source: s,
		Duty:   func() node.DocumentDuty { return duty },
		Found: func(d coltsfootward.Document) {
			mu.Lock()
			defer mu.Unlock()
			if d.Configuration.Revision() > 0 {
				found++
			}
		},
		Failed:   func(error) {},
		Answered: func() {},
	})
	time.Sleep(d)
	w.Close()
	reads, changes = s.calls()
	mu.Lock()
	defer mu.Unlock()
	return reads, changes, found
}

func TestNodeWithoutDutyCallsNobody(t *testing.T) {
	if reads, changes, _ := watch(t, &source{revision: 1}, node.DocumentNone, 300*time.Millisecond); reads+changes > 0 {
		t.Errorf("got %d reads and %d follows, want none", reads, changes)
	}
}

func TestReaderFollowsAfterOneRead(t *testing.T) {
	reads, changes, found := watch(t, &source{revision: 1}, node.DocumentFollow, 300*time.Millisecond)
	if reads != 1 || changes != 1 || found != 1 {
		t.Errorf("got %d reads, %d follows and %d documents, want one of each", reads, changes, found)
	}
}

// Guards against nodes that read ever again while operators have stored nothing.
func TestMissingDocumentIsNotReadAtOnceAgain(t *testing.T) {
	if reads, changes, _ := watch(t, &source{}, node.DocumentRead, 500*time.Millisecond); reads != 1 || changes != 0 {
		t.Errorf("got %d reads and %d follows in half a second, want one read", reads, changes)
	}
}
