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

// source counts the calls of its methods. Its document has the given revision; with
// revision zero there is no document.
type source struct {
	mu           sync.Mutex
	revision     coltsfootward.Revision
	reads, waits int
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

func (s *source) WaitForChange(ctx context.Context, last coltsfootward.Document) (coltsfootward.Document, error) {
	s.mu.Lock()
	s.waits++
	s.mu.Unlock()
	<-ctx.Done()
	return last, ctx.Err()
}

func (s *source) calls() (reads, changes int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reads, s.waits
}

func watch(t *testing.T, s *source, task node.DocumentTask, d time.Duration) (reads, changes, found int) {
	t.Helper()
	var mu sync.Mutex
	w := document.New(document.Options{
		Source: s,
		Task:   func() node.DocumentTask { return task },
		OnDocument: func(d coltsfootward.Document) {
			mu.Lock()
			defer mu.Unlock()
			if d.Configuration.Revision() > 0 {
				found++
			}
		},
		OnError:    func(error) {},
		OnResponse: func() {},
	})
	time.Sleep(d)
	w.Close()
	reads, changes = s.calls()
	mu.Lock()
	defer mu.Unlock()
	return reads, changes, found
}

func TestNoCallsWithoutTask(t *testing.T) {
	if reads, changes, _ := watch(t, &source{revision: 1}, node.DocumentNone, 300*time.Millisecond); reads+changes > 0 {
		t.Errorf("got %d reads and %d waits for a change, want none", reads, changes)
	}
}

func TestFollowerReadsOnce(t *testing.T) {
	reads, changes, found := watch(t, &source{revision: 1}, node.DocumentFollow, 300*time.Millisecond)
	if reads != 1 || changes != 1 || found != 1 {
		t.Errorf("got %d reads, %d waits for a change and %d documents, want one of each", reads, changes, found)
	}
}

// Guards against nodes that read the document in a tight loop while operators have
// stored none.
func TestReadOfMissingDocumentIsDelayed(t *testing.T) {
	if reads, changes, _ := watch(t, &source{}, node.DocumentRead, 500*time.Millisecond); reads != 1 || changes != 0 {
		t.Errorf("got %d reads and %d waits for a change in half a second, want one read", reads, changes)
	}
}
