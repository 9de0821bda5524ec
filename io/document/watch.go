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
	// readTimeout is the timeout of one read of the full document.
	readTimeout = 2 * time.Second
)

// Options are the parameters of a Watcher. All of them are required.
type Options struct {
	// Source provides the document.
	Source coltsfootward.Documents
	// Task returns the node's present task.
	Task func() node.DocumentTask
	// OnDocument is called with each document that was read.
	OnDocument func(coltsfootward.Document)
	// OnError is called with the error of each call that failed or returned an
	// invalid document.
	OnError func(error)
	// OnResponse is called after each call that the platform responded to.
	OnResponse func()
}

// Watcher watches the document until Close. Create it with New.
type Watcher struct {
	options Options
	ctx     context.Context
	cancel  context.CancelFunc
	wait    sync.WaitGroup
}

// New starts a watcher.
func New(options Options) *Watcher {
	w := &Watcher{options: options}
	w.ctx, w.cancel = context.WithCancel(context.Background())
	w.wait.Go(w.run)
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
	haveLast := false
	var last coltsfootward.Document
	backoff := minimumBackoff
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
		var next coltsfootward.Document
		var err error
		if haveLast && task == node.DocumentFollow {
			next, err = w.options.Source.WaitForChange(w.ctx, last)
		} else {
			next, err = w.read()
		}
		if err != nil && w.ctx.Err() == nil {
			w.options.OnError(err)
		}
		if !responded(err) {
			haveLast = haveLast && !errors.Is(err, coltsfootward.ErrHistoryLost)
			w.sleep(backoff)
			backoff = min(2*backoff, maximumBackoff)
			continue
		}
		backoff = minimumBackoff
		haveLast = true
		last = next
		w.options.OnResponse()
		w.options.OnDocument(next)
		if next.Configuration.Revision() == 0 && task == node.DocumentRead {
			w.sleep(missingDocumentDelay)
		}
	}
}

// responded reports whether the platform responded, even if no document is stored or the
// document is invalid.
func responded(err error) bool {
	var invalid *coltsfootward.DocumentError
	return err == nil || errors.Is(err, coltsfootward.ErrNoDocument) || errors.As(err, &invalid)
}

func (w *Watcher) read() (coltsfootward.Document, error) {
	ctx, cancel := context.WithTimeout(w.ctx, readTimeout)
	defer cancel()
	return w.options.Source.Read(ctx)
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
