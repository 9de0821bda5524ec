// Package document watches the platform's configuration document and passes each new
// version to the node.
package document

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"coltsfootward"
	"coltsfootward/core/node"
)

const (
	// minimumBackoff and maximumBackoff limit the backoff after a failed call. The
	// maximum is short compared with the seconds within which a change must be in
	// force. The resulting load of about one call per second from each node that
	// watches is far below the platform's capacity.
	minimumBackoff = 100 * time.Millisecond
	maximumBackoff = 800 * time.Millisecond
	// awaitInterval and idleInterval are the intervals at which a node without a task
	// checks for one: awaitInterval while it expects its first document from other
	// nodes, idleInterval after that.
	awaitInterval = 100 * time.Millisecond
	idleInterval  = time.Second
	// missingDocumentDelay is the delay after a read that found no document. The nodes
	// that follow the document send the first document to the others.
	missingDocumentDelay = 2 * time.Second
	// readTimeout is the timeout of one read of the full document, checkTimeout that of
	// a call that asks for changes without waiting for any.
	readTimeout  = 2 * time.Second
	checkTimeout = time.Second
	// pollWait is how long one long poll waits for a change.
	pollWait = 28 * time.Second
)

// errPollOvertaken ends a long poll that has not delivered a change which a check has
// found.
var errPollOvertaken = errors.New("document: a check found a change that the long poll has not delivered")

// Options are the parameters of a Watcher. All of them are required.
type Options struct {
	// Source provides the document.
	Source coltsfootward.Documents
	// Task returns the node's present task.
	Task func() node.DocumentTask
	// Checks requests a check of the document with each value.
	Checks <-chan struct{}
	// OnDocument is called with each document that was read.
	OnDocument func(coltsfootward.Document)
	// OnConfirmed is called after OnDocument if the platform has confirmed that there
	// was no newer document at the given time.
	OnConfirmed func(at time.Time)
	// OnPollLost is called when a check has shown that a long poll is not to be relied
	// on, with the reason.
	OnPollLost func(error)
	// OnError is called with the error of each call that failed or returned an
	// invalid document.
	OnError func(error)
	// OnResponse is called after each call that the platform responded to.
	OnResponse func()
}

// Watcher watches the document until Close. Create it with New.
//
// A long poll that waits for a change shows nothing if the platform has lost the call.
// The node therefore requests checks: calls that the platform answers at once. A check
// that fails or finds a change ends the long poll.
type Watcher struct {
	options Options
	ctx     context.Context
	cancel  context.CancelFunc
	wait    sync.WaitGroup

	mu sync.Mutex
	// last is the last document, if haveLast is set.
	last     coltsfootward.Document
	haveLast bool
	// endPoll ends the long poll with a cause; nil while there is none.
	endPoll context.CancelCauseFunc
}

// New starts a watcher.
func New(options Options) *Watcher {
	w := &Watcher{options: options}
	w.ctx, w.cancel = context.WithCancel(context.Background())
	w.wait.Go(w.run)
	w.wait.Go(w.runChecks)
	return w
}

// Close stops the watcher and waits until it has stopped.
func (w *Watcher) Close() {
	w.cancel()
	w.wait.Wait()
}

// run reads the full document, then follows its changes. After a failure it continues
// from the last cursor, as the platform keeps some history. If all nodes read the full
// document again instead, they would overload a platform that has just recovered.
func (w *Watcher) run() {
	backoff := minimumBackoff
	failed := false
	for w.ctx.Err() == nil {
		task := w.options.Task()
		switch task {
		case node.DocumentAwaited:
			w.sleep(awaitInterval)
			continue
		case node.DocumentNone:
			w.sleep(idleInterval)
			continue
		}
		err := w.call(task, failed)
		if errors.Is(err, errPollOvertaken) {
			continue
		}
		if err != nil && w.ctx.Err() == nil {
			w.options.OnError(err)
		}
		failed = !responded(err)
		if failed {
			w.sleep(backoff)
			backoff = min(2*backoff, maximumBackoff)
			continue
		}
		backoff = minimumBackoff
		w.options.OnResponse()
		if last, _ := w.lastDocument(); last.Configuration.Revision() == 0 && task == node.DocumentRead {
			w.sleep(missingDocumentDelay)
		}
	}
}

// call makes the call that is due. After a failed call the next one does not wait for
// a change: a platform that does not respond may never answer a call made meanwhile,
// and a long poll would show that only at its end.
func (w *Watcher) call(task node.DocumentTask, failed bool) error {
	last, haveLast := w.lastDocument()
	switch {
	case !haveLast || task != node.DocumentFollow:
		return w.read()
	case failed:
		_, err := w.check(last)
		return err
	default:
		return w.poll(last)
	}
}

// responded reports whether the platform responded, even if no document is stored or the
// document is invalid.
func responded(err error) bool {
	var invalid *coltsfootward.DocumentError
	return err == nil || errors.Is(err, coltsfootward.ErrNoDocument) || errors.As(err, &invalid)
}

func (w *Watcher) read() error {
	ctx, cancel := context.WithTimeout(w.ctx, readTimeout)
	defer cancel()
	began := time.Now()
	next, err := w.options.Source.Read(ctx)
	if responded(err) {
		w.adopt(next)
		w.options.OnConfirmed(began)
	}
	return err
}

// poll waits for a change. A check may end it meanwhile; the error is then the cause.
func (w *Watcher) poll(last coltsfootward.Document) error {
	ctx, end := context.WithCancelCause(w.ctx)
	defer end(nil)
	w.setEndPoll(end)
	next, err := w.options.Source.WaitForChange(ctx, last, pollWait)
	w.setEndPoll(nil)
	if cause := context.Cause(ctx); err != nil && cause != nil {
		err = cause
	}
	if responded(err) {
		w.adopt(next)
	}
	w.forgetLostHistory(err)
	return err
}

// check asks for changes without waiting for any, and reports whether there are some.
func (w *Watcher) check(last coltsfootward.Document) (bool, error) {
	ctx, cancel := context.WithTimeout(w.ctx, checkTimeout)
	defer cancel()
	began := time.Now()
	next, err := w.options.Source.WaitForChange(ctx, last, 0)
	if responded(err) {
		w.adopt(next)
		w.options.OnConfirmed(began)
	}
	w.forgetLostHistory(err)
	return next.Configuration.Revision() > 0 || !next.OutOfService.SameDomains(last.OutOfService), err
}

// runChecks makes the checks that the node requests. While no long poll waits, the
// watcher is calling the platform anyway.
func (w *Watcher) runChecks() {
	for {
		select {
		case <-w.options.Checks:
		case <-w.ctx.Done():
			return
		}
		last, end := w.pollInProgress()
		if end == nil {
			continue
		}
		changed, err := w.check(last)
		switch {
		case w.ctx.Err() != nil:
			return
		case !responded(err):
			w.options.OnPollLost(err)
			end(err)
		case changed:
			w.options.OnPollLost(errPollOvertaken)
			end(errPollOvertaken)
		}
	}
}

// adopt passes a document on unless a later one has been read meanwhile.
func (w *Watcher) adopt(next coltsfootward.Document) {
	w.mu.Lock()
	if w.haveLast && next.Cursor < w.last.Cursor {
		w.mu.Unlock()
		return
	}
	w.last, w.haveLast = next, true
	w.mu.Unlock()
	w.options.OnDocument(next)
}

func (w *Watcher) forgetLostHistory(err error) {
	if !errors.Is(err, coltsfootward.ErrHistoryLost) {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.haveLast = false
}

func (w *Watcher) lastDocument() (coltsfootward.Document, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.last, w.haveLast
}

func (w *Watcher) setEndPoll(end context.CancelCauseFunc) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.endPoll = end
}

// pollInProgress returns the last document and the function that ends the long poll,
// which is nil if there is none.
func (w *Watcher) pollInProgress() (coltsfootward.Document, context.CancelCauseFunc) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.haveLast {
		return coltsfootward.Document{}, nil
	}
	return w.last, w.endPoll
}

// sleep waits for a random time from d/2 to 3d/2, or until the watcher is closed. The
// jitter prevents that nodes whose calls failed together retry together.
func (w *Watcher) sleep(d time.Duration) {
	d = d/2 + time.Duration(rand.Int64N(int64(d)))
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-w.ctx.Done():
	}
}
