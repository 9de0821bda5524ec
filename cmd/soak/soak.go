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
	// Program is the path of the node's executable. Directory is where settings and
	// logs are written.
	Program, Directory string
	// Seed determines which faults are injected and when. A multiple of 4 gives a run
	// with only planned stops and configuration changes.
	Seed uint64
	// Nodes is the number of node processes; zero means 4.
	Nodes int
	// Callers is the number of callers that send requests; zero means 12.
	Callers int
	// Duration is how long faults are injected; zero means 15 s.
	Duration time.Duration
	// Contended gives nodes the settings for contended services. Servers then make calls
	// for orders, and are at times slow or reject requests.
	Contended bool
}

// Report is the result of a run.
type Report struct {
	Seed uint64
	// PlannedOnly is set if the run had only planned stops and configuration changes,
	// which must not abort any request.
	PlannedOnly bool
	// Faults counts the injected faults by name.
	Faults map[string]int
	// Requests is the number of requests, without those of the rate-limited
	// organisation. RequestsAfterFaults counts those that were sent once all nodes had
	// recovered from the last fault, and ServedAfterFaults how many of these were
	// served.
	Requests, RequestsAfterFaults, ServedAfterFaults int
	// Findings describe the guarantees that were violated.
	Findings []string
}

const (
	// readyTimeout bounds both the start of the fleet and its recovery from the last
	// fault.
	readyTimeout = 20 * time.Second
	// recoveredWindow is how long requests are counted after the recovery.
	// minServedShare is the fraction of them that must be served.
	recoveredWindow = 2 * time.Second
	minServedShare  = 0.95
	// drainTime is the wait after the last request, in which requests that have
	// started can still complete.
	drainTime = callerDeadline + 500*time.Millisecond
)

// run is a soak run in progress.
type run struct {
	options Options
	source  *rand.Rand
	fleet   *soakFleet
	ledger  *ledger
	wait    sync.WaitGroup

	mu           sync.Mutex
	faults       map[string]int
	plannedStops []stopWindow
	findings     []string
	version      int
}

// Run executes the run of one seed. It returns an error if the run could not take
// place; violated guarantees are in the report's Findings.
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
	log, closeLog, err := newLog(options.Directory)
	if err != nil {
		return Report{}, err
	}
	defer closeLog()
	r := &run{options: options, source: rand.New(rand.NewPCG(options.Seed, 1)), ledger: newLedger(), faults: make(map[string]int), version: 3}
	r.ledger.log = log
	fleet, err := newSoakFleet(options.Program, options.Directory, options.Nodes, options.Contended, r.ledger)
	if err != nil {
		return Report{}, fmt.Errorf("soak: start the fleet: %w", err)
	}
	defer fleet.close()
	r.fleet = fleet
	if !r.awaitReady() {
		return Report{}, errors.New("soak: the nodes were not ready in time: see their logs in the run's directory")
	}
	return r.execute(), nil
}

func (r *run) execute() Report {
	callers := startCallers(r.fleet, r.ledger, r.options.Callers, r.options.Seed)
	plannedOnly := r.options.Seed%4 == 0
	for end := r.ledger.now() + r.options.Duration; r.ledger.now() < end; {
		time.Sleep(200*time.Millisecond + time.Duration(r.source.Int64N(int64(700*time.Millisecond))))
		if plannedOnly {
			r.runPlannedAction()
			continue
		}
		r.injectFault()
	}
	if !plannedOnly {
		r.sendCrashingRequests()
	}
	r.wait.Wait()
	if !r.awaitReady() {
		r.addFinding("not all nodes were ready %v after the last fault", readyTimeout)
	}
	since := r.ledger.now()
	time.Sleep(recoveredWindow)
	callers.close()
	time.Sleep(drainTime)
	served, total, byStatus := r.ledger.statusCounts(since)
	if float64(served) < minServedShare*float64(total) {
		r.addFinding("%d of %d requests served after the faults: %v", served, total, byStatus)
	}
	_, requests, _ := r.ledger.statusCounts(0)
	return Report{
		Seed: r.options.Seed, PlannedOnly: plannedOnly, Faults: r.faults, Requests: requests, RequestsAfterFaults: total, ServedAfterFaults: served,
		Findings: append(r.ledger.check(r.plannedStops), r.findings...),
	}
}

// awaitReady waits until every node is ready and serves a request. It returns false if
// that takes longer than readyTimeout.
func (r *run) awaitReady() bool {
	client := &http.Client{Timeout: time.Second}
	for deadline := time.Now().Add(readyTimeout); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		if !slices.ContainsFunc(r.fleet.nodes, func(n *node) bool { return !r.serves(client, n) }) {
			return true
		}
	}
	return false
}

// serves reports whether a node is ready and serves a request.
func (r *run) serves(client *http.Client, n *node) bool {
	if !n.Ready() {
		return false
	}
	id := fmt.Sprintf("farm-urea-first%d-%d", n.Number(), time.Now().UnixNano())
	sendRequest(client, n, r.ledger, id)
	return r.ledger.served(id)
}

func (r *run) addFinding(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.findings = append(r.findings, fmt.Sprintf(format, args...))
}

// allNodes stands for the node of a fault that hits all nodes.
const allNodes = -1

// countFault counts and logs a fault that begins at a node. duration is zero if its end
// is not known yet.
func (r *run) countFault(fault string, node int, duration time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.faults[fault]++
	r.ledger.logFault(fault, node, duration)
}

// randomDuration returns a random duration of at least from and less than to.
func (r *run) randomDuration(from, to time.Duration) time.Duration {
	return from + time.Duration(r.source.Int64N(int64(to-from)))
}

func (r *run) anyNode() *node { return r.fleet.nodes[r.source.IntN(len(r.fleet.nodes))] }

// runPlannedAction changes the configuration or stops and restarts a node. It stops a
// node only while all nodes are ready, so that planned stops never overlap.
func (r *run) runPlannedAction() {
	if r.source.IntN(3) == 0 {
		r.changeConfiguration()
		return
	}
	n := r.anyNode()
	if !r.awaitReady() {
		r.addFinding("not all nodes were ready before a planned stop")
		return
	}
	from := r.ledger.now()
	if !r.stopAndRestart(n, grace+time.Second) {
		r.addFinding("node %d still ran %v after SIGTERM", n.Number(), grace+time.Second)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.plannedStops = append(r.plannedStops, stopWindow{node: n.Number(), from: from, to: r.ledger.now()})
}

func (r *run) changeConfiguration() {
	r.countFault("configuration", allNodes, 0)
	r.version += 1 + r.source.IntN(3)
	if err := r.fleet.configure(r.version); err != nil {
		r.addFinding("%v", err)
	}
}

// stopAndRestart stops a node by SIGTERM and starts it again. If the node does not exit
// within the given time, it is killed and the result is false. A node that is not
// running is left as it is, and the result is true.
func (r *run) stopAndRestart(n *node, within time.Duration) bool {
	ended := n.Signal(syscall.SIGTERM)
	if ended == nil {
		return true
	}
	r.countFault("term", n.Number(), 0)
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
		r.addFinding("node %d did not start: %v", n.Number(), err)
	}
}

// The numbers of kinds of faults that injectFault chooses from. The kinds of contended runs
// come last, so that a seed without them keeps its faults.
const (
	faultKinds          = 11
	contendedFaultKinds = 14
)

// injectFault injects one fault, which is removed after a random duration. Faults may
// overlap: the end of a pause, of a proxy's fault or of a store failure also ends later
// ones of the same node, proxy or store.
func (r *run) injectFault() {
	n := r.anyNode()
	duration := r.randomDuration(100*time.Millisecond, 2500*time.Millisecond)
	afterDuration := func(f func()) {
		r.wait.Go(func() {
			time.Sleep(duration)
			f()
			r.ledger.faultEnded(n.Number())
		})
	}
	faults := []ConnectionFault{FaultDelay, FaultSilence, FaultOneWay, FaultReset}
	fault := faults[r.source.IntN(len(faults))]
	kinds := faultKinds
	if r.options.Contended {
		kinds = contendedFaultKinds
	}
	switch r.source.IntN(kinds) {
	case 0, 1:
		r.ledger.disturbed(n.Number())
		if ended := n.Signal(syscall.SIGKILL); ended != nil {
			r.countFault("kill", n.Number(), duration)
			afterDuration(func() {
				<-ended
				r.restart(n)
			})
		}
	case 2:
		r.ledger.disturbed(n.Number())
		if n.Signal(syscall.SIGSTOP) != nil {
			r.countFault("pause", n.Number(), duration)
			afterDuration(func() { n.Signal(syscall.SIGCONT) })
		}
	case 3:
		r.ledger.disturbed(n.Number())
		// Another fault may pause the node meanwhile, so an exit within the grace
		// period is not required; the node only has to be restarted.
		r.wait.Go(func() {
			r.stopAndRestart(n, 2*grace)
			r.ledger.faultEnded(n.Number())
		})
	case 4, 5:
		r.ledger.disturbed(n.Number())
		r.countFault("backend server: "+string(fault), n.Number(), duration)
		n.backendProxy.setFault(fault)
		afterDuration(func() { n.backendProxy.setFault(FaultNone) })
	case 6:
		r.countFault("store of one node: "+string(fault), n.Number(), duration)
		n.storeProxy.setFault(fault)
		afterDuration(func() { n.storeProxy.setFault(FaultNone) })
	case 7:
		r.countFault("store away", allNodes, duration)
		r.fleet.store.Fail(http.StatusServiceUnavailable)
		afterDuration(func() { r.fleet.store.Fail(0) })
	case 8:
		r.nameLimit(n)
	case 9:
		r.leave(n)
	case 11, 12:
		r.slow(n, duration, afterDuration)
	case 13:
		r.reject(n, duration, afterDuration)
	default:
		r.changeConfiguration()
		if r.source.IntN(3) == 0 {
			r.countFault("store forgets its history", allNodes, 0)
			r.fleet.store.DropHistory()
		}
	}
}
