package document_test

import (
	"context"
	"errors"
	"fmt"
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

func (s *source) WaitForChange(ctx context.Context, last coltsfootward.Document, _ time.Duration) (coltsfootward.Document, error) {
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
		OnConfirmed: func(time.Time) {},
		OnPollLost:  func(error) {},
		OnError:     func(error) {},
		OnResponse:  func() {},
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

// lossySource answers no long poll. Checks fail while it is silent.
type lossySource struct {
	source
	silent bool
}

func (s *lossySource) WaitForChange(ctx context.Context, last coltsfootward.Document, wait time.Duration) (coltsfootward.Document, error) {
	s.mu.Lock()
	silent, revision := s.silent, s.revision
	s.waits++
	s.mu.Unlock()
	if wait > 0 || silent {
		<-ctx.Done()
		return last, fmt.Errorf("%w: %w", coltsfootward.ErrUnavailable, ctx.Err())
	}
	next := coltsfootward.Document{Cursor: coltsfootward.Cursor(revision)}
	if next.Cursor > last.Cursor {
		next.Configuration = coltsfootward.NewConfiguration(revision, nil, nil, nil)
	}
	return next, nil
}

func (s *lossySource) set(silent bool, revision coltsfootward.Revision) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silent, s.revision = silent, revision
}

// Guards against a follower that misses a change because its long poll was lost, and
// against one that waits in that poll after a check has failed.
func TestCheckReplacesLostPoll(t *testing.T) {
	const bound = 5 * time.Second
	s := &lossySource{source: source{revision: 1}}
	checks := make(chan struct{}, 1)
	revisions, confirmations, lost := make(chan coltsfootward.Revision, 100), make(chan time.Time, 100), make(chan error, 100)
	w := document.New(document.Options{
		Source: s,
		Task:   func() node.DocumentTask { return node.DocumentFollow },
		Checks: checks,
		OnDocument: func(d coltsfootward.Document) {
			if d.Configuration.Revision() > 0 {
				revisions <- d.Configuration.Revision()
			}
		},
		OnConfirmed: func(at time.Time) { confirmations <- at },
		OnPollLost:  func(err error) { lost <- err },
		OnError:     func(error) {},
		OnResponse:  func() {},
	})
	defer w.Close()
	awaitRevision := func(want coltsfootward.Revision) {
		t.Helper()
		select {
		case got := <-revisions:
			if got != want {
				t.Errorf("got revision %v, want %v", got, want)
			}
		case <-time.After(bound):
			t.Fatalf("no revision within %v, want %v", bound, want)
		}
	}
	awaitPoll := func(waits int) {
		t.Helper()
		for end := time.Now().Add(bound); time.Now().Before(end); time.Sleep(time.Millisecond) {
			if _, got := s.calls(); got >= waits {
				return
			}
		}
		t.Fatalf("the long poll is not made again within %v", bound)
	}
	awaitRevision(1)
	awaitPoll(1)
	s.set(false, 2)
	checks <- struct{}{}
	awaitRevision(2)
	if err := <-lost; err == nil {
		t.Error("the lost poll was ended without a reason")
	}
	awaitPoll(3) // the lost poll, the check and the new poll
	for len(confirmations) > 0 {
		<-confirmations
	}
	s.set(true, 3)
	checks <- struct{}{}
	if err := <-lost; !errors.Is(err, coltsfootward.ErrUnavailable) {
		t.Errorf("the check without an answer: got %v, want ErrUnavailable", err)
	}
	s.set(false, 3)
	awaitRevision(3)
	select {
	case <-confirmations:
	case <-time.After(bound):
		t.Error("the answered check confirmed nothing")
	}
}
