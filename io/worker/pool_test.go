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

// Guards against a deadlock of tasks that wait for earlier tasks of the same pool.
func TestTasksMayWaitForEachOther(_ *testing.T) {
	p := worker.NewPool()
	var last chan struct{}
	for range 300 {
		previous, own := last, make(chan struct{})
		last = own
		p.Go(func() {
			if previous != nil {
				<-previous
			}
			close(own)
		})
	}
	<-last
	p.Close()
}
