// Package worker runs short tasks on reused goroutines. A new goroutine for each task
// would start with a small stack that grows by copying, which is a measurable part of
// the cost of a task.
package worker

import (
	"sync"
	"sync/atomic"
)

// maximumIdle is the maximum number of idle goroutines. It bounds the memory that their
// stacks take.
const maximumIdle = 64

// Pool runs tasks. Create it with NewPool. It is safe for concurrent use.
type Pool struct {
	tasks chan func()
	idle  atomic.Int32
	done  chan struct{}
	once  sync.Once
	wait  sync.WaitGroup
}

// NewPool returns a pool that runs tasks until Close.
func NewPool() *Pool {
	return &Pool{tasks: make(chan func()), done: make(chan struct{})}
}

// Go runs a task on an idle goroutine, or on a new one if none is idle. It does not wait
// for the task.
func (p *Pool) Go(task func()) {
	select {
	case p.tasks <- task:
	default:
		p.wait.Go(func() { p.run(task) })
	}
}

// run runs task and then further tasks, until the pool is closed or has enough idle
// goroutines.
func (p *Pool) run(task func()) {
	for {
		task()
		if p.idle.Add(1) > maximumIdle {
			p.idle.Add(-1)
			return
		}
		select {
		case task = <-p.tasks:
			p.idle.Add(-1)
		case <-p.done:
			p.idle.Add(-1)
			return
		}
	}
}

// Close ends the idle goroutines and returns once all tasks have ended. Tasks that are
// passed to Go meanwhile each run on a goroutine of their own.
func (p *Pool) Close() {
	p.once.Do(func() { close(p.done) })
	p.wait.Wait()
}
