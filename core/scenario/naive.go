package scenario

import (
	"math/rand/v2"
	"time"

	"coltsfootward"
	"coltsfootward/core/nodetest"
)

const (
	// naiveAttempts is the number of attempts of each layer of the naive
	// system.
	naiveAttempts = 3
	// naiveBackoff is the wait before a layer's retry.
	naiveBackoff = 10 * time.Millisecond
	// partitionErrorDelay is how long a call across a network partition takes
	// to fail.
	partitionErrorDelay = 200 * time.Millisecond
)

// naiveSystem is the system for comparison. It uses the rig only for its clock
// and has no nodes.
type naiveSystem struct {
	scenario    Scenario
	deployment  Deployment
	clock       *nodetest.Rig
	source      *rand.Rand
	servers     []*naiveServer
	partitioned bool
	started     int
}

// naiveServer is a backend server with slots and an unbounded queue.
type naiveServer struct {
	host        host
	index       int
	alive       bool
	incarnation int
	running     int
	queue       []func()
	// lastIndex is the index of the server that round robin chose last.
	lastIndex int
}

func newNaive(s Scenario, d Deployment, seed uint64) *naiveSystem {
	n := &naiveSystem{scenario: s, deployment: d, clock: nodetest.New(seed), source: rand.New(rand.NewPCG(seed, 2))}
	count := make(map[coltsfootward.ServiceName]int)
	for _, h := range d.hosts() {
		n.servers = append(n.servers, &naiveServer{host: h, index: count[h.service.Name], alive: true})
		count[h.service.Name]++
	}
	return n
}

func (n *naiveSystem) now() time.Duration              { return n.clock.Now() }
func (n *naiveSystem) after(d time.Duration, f func()) { n.clock.After(d, f) }
func (n *naiveSystem) run(d time.Duration)             { n.clock.Run(d) }
func (n *naiveSystem) entryCount() int                 { return len(n.servers) }

func (n *naiveSystem) send(entry int, r request, done func(reply)) func() {
	from := n.servers[entry]
	if !from.alive {
		done(reply{})
		return func() {}
	}
	n.callService(from, r.service, r.path, 1, func(ok bool) { done(reply{answered: ok}) })
	return func() {}
}

// callService calls a service from an instance, with up to three attempts.
func (n *naiveSystem) callService(from *naiveServer, service coltsfootward.ServiceName, path string, attempt int, done func(bool)) {
	ended := false
	end := func(ok bool) {
		if ended {
			return
		}
		ended = true
		if ok || attempt >= naiveAttempts {
			done(ok)
			return
		}
		n.after(naiveBackoff, func() { n.callService(from, service, path, attempt+1, done) })
	}
	n.after(attemptTimeout, func() { end(false) })
	n.call(from, n.nextServer(from, service), path, end)
}

// nextServer chooses among all backend servers of a service by round robin,
// including those that are down.
func (n *naiveSystem) nextServer(from *naiveServer, service coltsfootward.ServiceName) *naiveServer {
	for {
		from.lastIndex = (from.lastIndex + 1) % len(n.servers)
		if s := n.servers[from.lastIndex]; s.host.service.Name == service {
			return s
		}
	}
}

func (n *naiveSystem) call(from, to *naiveServer, path string, done func(bool)) {
	first := n.deployment.Domains[0]
	if n.partitioned && (from.host.instance.Domain == first) != (to.host.instance.Domain == first) {
		n.after(partitionErrorDelay, func() { done(false) })
		return
	}
	delay := domainDelay(from.host.instance, to.host.instance)
	if !to.alive {
		n.after(delay, func() { done(false) })
		return
	}
	incarnation := to.incarnation
	n.after(delay, func() {
		to.queue = append(to.queue, func() {
			n.serve(to, path, func(ok bool) { n.after(delay, func() { done(ok && to.incarnation == incarnation) }) })
		})
		n.dispatch(to)
	})
}

func (n *naiveSystem) dispatch(s *naiveServer) {
	for s.alive && len(s.queue) > 0 && s.running < s.host.service.Slots {
		job := s.queue[0]
		s.queue = s.queue[1:]
		s.running++
		job()
	}
}

// serve makes the child call and then takes the service time, both in one slot.
func (n *naiveSystem) serve(s *naiveServer, path string, done func(bool)) {
	incarnation := s.incarnation
	if n.now() >= disturbanceStart {
		n.started++
	}
	end := func(ok bool) {
		if s.incarnation != incarnation {
			done(false)
			return
		}
		s.running--
		done(ok)
		n.dispatch(s)
	}
	work := func() {
		n.after(n.scenario.serviceTime(n.deployment, s.host, s.index, path, n.now(), n.source), func() { end(true) })
	}
	if s.host.service.Next == "" {
		work()
		return
	}
	n.callService(s, s.host.service.Next, path, 1, func(ok bool) {
		if !ok {
			end(false)
			return
		}
		work()
	})
}

func (n *naiveSystem) startDisturbance() {
	n.partitioned = n.scenario.Partition
	if !n.scenario.ColdStart {
		return
	}
	for _, s := range n.servers {
		if s.host.service.Name == n.deployment.Bottleneck && isColdStarted(s.index) {
			n.restart(s)
		}
	}
}

func (n *naiveSystem) restart(s *naiveServer) {
	s.alive = false
	s.incarnation++
	s.queue = nil
	s.running = 0
	n.after(restartDelay, func() { s.alive = true })
}

func (n *naiveSystem) endDisturbance() { n.partitioned = false }

func (n *naiveSystem) executionsStarted() int { return n.started }
