// Package worker runs short tasks on goroutines that are used again. A goroutine of
// its own for each task begins with a small stack and grows it by copying, task by
// task, which is a measurable part of what a task costs.
package worker

import (
	"sync"
	"sync/atomic"
)

// maximumIdle bounds the goroutines that wait for a task, and so their stacks.
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

// Go runs a task, on a goroutine that waits for one or on a new one.
func (p *Pool) Go(task func()) {
	select {
	case p.tasks <- task:
	default:
		p.wait.Go(func() { p.run(task) })
	}
}

// run runs a task and those that follow while few others wait for one.
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

// Close ends the goroutines that wait and returns once all tasks have ended. Tasks
// may still be given to the pool meanwhile; each then has a goroutine of its own.
func (p *Pool) Close() {
	p.once.Do(func() { close(p.done) })
	p.wait.Wait()
}
