package soak

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"time"
)

// Options are the settings of a run. Program and Directory must be set.
type Options struct {
	// Program is the node's executable, Directory where settings and logs go.
	Program, Directory string
	// Seed decides which faults come when.
	Seed uint64
	// Nodes is how many node processes there are; zero means 4.
	Nodes int
	// Callers is how many callers send requests; zero means 12.
	Callers int
	// Duration is how long faults come; zero means 15 s.
	Duration time.Duration
}

// Report is what a run gave.
type Report struct {
	Seed uint64
	// Planned is set if the run had planned work only, which may cut off nobody.
	Planned bool
	// Faults counts the faults by what they were.
	Faults map[string]int
	// Requests counts callers' requests in all, CalmRequests those after the
	// faults and CalmServed how many of these were served.
	Requests, CalmRequests, CalmServed int
	// Findings are the promises that were broken.
	Findings []string
}

const (
	// startWait bounds the start of the fleet and the wait for its recovery.
	startWait = 20 * time.Second
	// calm is how long requests are counted after the recovery, and calmShare the
	// part of them that must be served.
	calm      = 2 * time.Second
	calmShare = 0.95
	// settle is how long after the last request what has begun may still run.
	settle = callerDeadline + 500*time.Millisecond
)

// run is a soak under way.
type run struct {
	options Options
	source  *rand.Rand
	fleet   *nodes
	ledger  *ledger
	wait    sync.WaitGroup

	mu       sync.Mutex
	faults   map[string]int
	planned  []window
	findings []string
	version  int
}

// Run plays one seed and returns what it found. The error says that the run could
// not be played.
func Run(options Options) (Report, error) {
	if options.Nodes == 0 {
		options.Nodes = 4
	}
	if options.Callers == 0 {
		options.Callers = 12
	}
	if options.Duration == 0 {
		options.Duration = 15 * time.Second
	}
	r := &run{options: options, source: rand.New(rand.NewPCG(options.Seed, 1)), ledger: newLedger(), faults: make(map[string]int), version: 3}
	all, err := newNodes(options.Program, options.Directory, options.Nodes, r.ledger.ran)
	if err != nil {
		return Report{}, fmt.Errorf("soak: start the fleet: %w", err)
	}
	defer all.close()
	r.fleet = all
	if !r.awaitReady() {
		return Report{}, errors.New("soak: the nodes were not ready in time: see their logs in the run's directory")
	}
	return r.play(), nil
}

func (r *run) play() Report {
	callers := startCallers(r.fleet, r.ledger, r.options.Callers, r.options.Seed)
	planned := r.options.Seed%4 == 0
	for end := r.ledger.now() + r.options.Duration; r.ledger.now() < end; {
		time.Sleep(200*time.Millisecond + time.Duration(r.source.Int64N(int64(700*time.Millisecond))))
		if planned {
			r.planOne()
			continue
		}
		r.harmOne()
	}
	r.wait.Wait()
	if !r.awaitReady() {
		r.find("not all nodes were ready %v after the last fault", startWait)
	}
	since := r.ledger.now()
	time.Sleep(calm)
	callers.close()
	time.Sleep(settle)
	served, all, byStatus := r.ledger.counts(since)
	if float64(served) < calmShare*float64(all) {
		r.find("%d of %d requests served after the faults: %v", served, all, byStatus)
	}
	_, requests, _ := r.ledger.counts(0)
	return Report{
		Seed: r.options.Seed, Planned: planned, Faults: r.faults, Requests: requests, CalmRequests: all, CalmServed: served,
		Findings: append(r.ledger.check(r.planned), r.findings...),
	}
}

// awaitReady waits until every node is ready and a request through each is served.
func (r *run) awaitReady() bool {
	client := &http.Client{Timeout: time.Second}
	for deadline := time.Now().Add(startWait); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		if !slices.ContainsFunc(r.fleet.all, func(n *node) bool { return !r.serves(client, n) }) {
			return true
		}
	}
	return false
}

// serves reports whether a node is ready and a request through it is served.
func (r *run) serves(client *http.Client, n *node) bool {
	if !n.Ready() {
		return false
	}
	id := fmt.Sprintf("farm-urea-first%d-%d", n.Number(), time.Now().UnixNano())
	ask(client, n, r.ledger, id)
	return r.ledger.served(id)
}

func (r *run) find(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.findings = append(r.findings, fmt.Sprintf(format, args...))
}

func (r *run) count(fault string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.faults[fault]++
}

// between draws a time.
func (r *run) between(from, to time.Duration) time.Duration {
	return from + time.Duration(r.source.Int64N(int64(to-from)))
}

func (r *run) anyNode() *node { return r.fleet.all[r.source.IntN(len(r.fleet.all))] }

// planOne does one piece of planned work: stops come one after the other, each
// with everything else in order.
func (r *run) planOne() {
	if r.source.IntN(3) == 0 {
		r.configure()
		return
	}
	n := r.anyNode()
	if !r.awaitReady() {
		r.find("not all nodes were ready before a planned stop")
		return
	}
	from := r.ledger.now()
	if !r.stop(n, grace+time.Second) {
		r.find("node %d still ran %v after SIGTERM", n.Number(), grace+time.Second)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.planned = append(r.planned, window{node: n.Number(), from: from, to: r.ledger.now()})
}

func (r *run) configure() {
	r.count("configuration")
	r.version += 1 + r.source.IntN(3)
	if err := r.fleet.configure(r.version); err != nil {
		r.find("%v", err)
	}
}

// stop ends a node by SIGTERM and starts it anew. It reports whether the node ended
// by itself within that time; one that did not is killed.
func (r *run) stop(n *node, within time.Duration) bool {
	ended := n.Signal(syscall.SIGTERM)
	if ended == nil {
		return true
	}
	r.count("term")
	inTime := true
	select {
	case <-ended:
	case <-time.After(within):
		inTime = false
		n.Signal(syscall.SIGKILL)
		<-ended
	}
	r.restart(n)
	return inTime
}

func (r *run) restart(n *node) {
	if err := n.Start(); err != nil {
		r.find("node %d did not start: %v", n.Number(), err)
	}
}

// harmOne begins one fault, which ends by itself while others come.
func (r *run) harmOne() {
	n := r.anyNode()
	away := r.between(100*time.Millisecond, 2500*time.Millisecond)
	later := func(f func()) {
		r.wait.Go(func() {
			time.Sleep(away)
			f()
		})
	}
	harms := []Harm{HarmDelay, HarmSilence, HarmOneWay, HarmReset}
	harm := harms[r.source.IntN(len(harms))]
	switch r.source.IntN(9) {
	case 0, 1:
		if ended := n.Signal(syscall.SIGKILL); ended != nil {
			r.count("kill")
			later(func() {
				<-ended
				r.restart(n)
			})
		}
	case 2:
		if n.Signal(syscall.SIGSTOP) != nil {
			r.count("pause")
			later(func() { n.Signal(syscall.SIGCONT) })
		}
	case 3:
		// It may be paused meanwhile, so only that it comes back is asked.
		r.wait.Go(func() { r.stop(n, 2*grace) })
	case 4, 5:
		r.count("backend server: " + string(harm))
		n.toBackend.set(harm)
		later(func() { n.toBackend.set(HarmNone) })
	case 6:
		r.count("store of one node: " + string(harm))
		n.toStore.set(harm)
		later(func() { n.toStore.set(HarmNone) })
	case 7:
		r.count("store away")
		r.fleet.store.Fail(http.StatusServiceUnavailable)
		later(func() { r.fleet.store.Fail(0) })
	default:
		r.configure()
		if r.source.IntN(3) == 0 {
			r.count("store forgets its history")
			r.fleet.store.Forget()
		}
	}
}
