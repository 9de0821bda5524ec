package worker_test

import (
	"sync"
	"sync/atomic"
	"testing"

	"coltsfootward/io/worker"
)

// Guards against tasks that are lost, run twice, or outlive the pool.
func TestPoolRunsEachTaskOnce(t *testing.T) {
	p := worker.NewPool()
	var ran atomic.Int32
	var senders sync.WaitGroup
	for range 8 {
		senders.Go(func() {
			for range 500 {
				p.Go(func() { ran.Add(1) })
			}
		})
	}
	senders.Wait()
	p.Close()
	if got := ran.Load(); got != 4000 {
		t.Errorf("%d tasks ran, want 4000", got)
	}
}

// Guards against a task that waits for another one of the pool for ever.
func TestTasksMayWaitForEachOther(_ *testing.T) {
	p := worker.NewPool()
	var link chan struct{}
	for range 300 {
		ahead, own := link, make(chan struct{})
		link = own
		p.Go(func() {
			if ahead != nil {
				<-ahead
			}
			close(own)
		})
	}
	<-link
	p.Close()
}
