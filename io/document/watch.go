// Package document follows the platform's configuration document and hands each
// new one to the node.
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
	// firstWait and longestWait bound the pause after a failed call. The longest
	// one is short beside the seconds within which a change is to be in force;
	// one call a second from each node that watches is far below what the
	// platform serves.
	firstWait   = 100 * time.Millisecond
	longestWait = 800 * time.Millisecond
	// awaitWait and idleWait are the pauses of a node that has nothing to do about the
	// document, before it asks again: while there is none yet, and later.
	awaitWait = 100 * time.Millisecond
	idleWait  = time.Second
	// readWait is the pause after a read that found no document. Whoever follows
	// the document brings the first one to the others.
	readWait = 2 * time.Second
	// readTimeout bounds one read of the whole document.
	readTimeout = 2 * time.Second
)

// Options say what a Watcher does with what it reads.
type Options struct {
	// Source is where the document is.
	Source coltsfootward.Documents
	// Duty says what is to be done now.
	Duty func() node.DocumentDuty
	// Found is given each document that was read.
	Found func(coltsfootward.Document)
	// Failed is told of each call that failed, and of documents that can't be used.
	Failed func(error)
	// Answered is told of each call that was answered.
	Answered func()
}

// Watcher follows the document until Close. Create it with New.
type Watcher struct {
	options Options
	ctx     context.Context
	cancel  context.CancelFunc
	wait    sync.WaitGroup
}

// New returns a watcher that runs.
func New(options Options) *Watcher {
	w := &Watcher{options: options}
	w.ctx, w.cancel = context.WithCancel(context.Background())
	w.wait.Go(w.run)
	return w
}

// Close stops the watcher and waits for it.
func (w *Watcher) Close() {
	w.cancel()
	w.wait.Wait()
}

// run reads the document whole, then follows its changes. After a failure it
// follows on from the same place: the platform keeps some history, and reading
// everything again from all nodes at once is what a platform that has just come
// back can least bear.
func (w *Watcher) run() {
	known := false
	var last coltsfootward.Document
	pause := firstWait
	for w.ctx.Err() == nil {
		duty := w.options.Duty()
		switch duty {
		case node.DocumentAwaited:
			w.sleep(awaitWait)
			continue
		case node.DocumentNone:
			w.sleep(idleWait)
			continue
		}
		var next coltsfootward.Document
		var err error
		if known && duty == node.DocumentFollow {
			next, err = w.options.Source.Changed(w.ctx, last)
		} else {
			next, err = w.read()
		}
		if err != nil && w.ctx.Err() == nil {
			w.options.Failed(err)
		}
		if !usable(err) {
			known = known && !errors.Is(err, coltsfootward.ErrHistoryLost)
			w.sleep(pause)
			pause = min(2*pause, longestWait)
			continue
		}
		pause = firstWait
		known = true
		last = next
		w.options.Answered()
		w.options.Found(next)
		if next.Configuration.Revision() == 0 && duty == node.DocumentRead {
			w.sleep(readWait)
		}
	}
}

// usable reports whether the platform answered, be it that there is no document or
// that it can't be used.
func usable(err error) bool {
	var invalid *coltsfootward.DocumentError
	return err == nil || errors.Is(err, coltsfootward.ErrNoDocument) || errors.As(err, &invalid)
}

func (w *Watcher) read() (coltsfootward.Document, error) {
	ctx, cancel := context.WithTimeout(w.ctx, readTimeout)
	defer cancel()
	return w.options.Source.Read(ctx)
}

// sleep waits for about d, spread so that nodes that failed together do not
// call together again.
func (w *Watcher) sleep(d time.Duration) {
	d = d/2 + time.Duration(rand.Int64N(int64(d)))
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-w.ctx.Done():
	}
}
