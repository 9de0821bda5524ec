package scenario

import (
	"math/rand/v2"
	"time"

	"coltsfootward"
	"coltsfootward/core/nodetest"
)

const (
	// naiveTries is how often each layer of the naive system tries.
	naiveTries = 3
	// naiveBackoff is the wait before a layer's repeat.
	naiveBackoff = 10 * time.Millisecond
	// cutDelay is how long a layer takes to notice a connection across a cut.
	cutDelay = 200 * time.Millisecond
)

// naive is the world of the system for comparison. It borrows the rig's clock
// and has no nodes in it.
type naive struct {
	scenario   Scenario
	deployment Deployment
	clock      *nodetest.Rig
	source     *rand.Rand
	servers    []*naiveServer
	cut        bool
	begun      int
}

// naiveServer is a backend server with slots and a queue without bound.
type naiveServer struct {
	host    host
	index   int
	alive   bool
	starts  int
	running int
	queue   []func()
	// next is where the instance's round robin stands.
	next int
}

func newNaive(s Scenario, d Deployment, seed uint64) *naive {
	n := &naive{scenario: s, deployment: d, clock: nodetest.New(seed), source: rand.New(rand.NewPCG(seed, 2))}
	count := make(map[coltsfootward.ServiceName]int)
	for _, h := range d.hosts() {
		n.servers = append(n.servers, &naiveServer{host: h, index: count[h.service.Name], alive: true})
		count[h.service.Name]++
	}
	return n
}

func (n *naive) now() time.Duration              { return n.clock.Now() }
func (n *naive) after(d time.Duration, f func()) { n.clock.After(d, f) }
func (n *naive) run(d time.Duration)             { n.clock.Run(d) }
func (n *naive) entries() int                    { return len(n.servers) }

func (n *naive) send(entry int, r request, done func(reply)) func() {
	from := n.servers[entry]
	if !from.alive {
		done(reply{})
		return func() {}
	}
	n.layer(from, r.service, r.path, 1, func(ok bool) { done(reply{answered: ok}) })
	return func() {}
}

// layer calls a service from an instance, up to three times.
func (n *naive) layer(from *naiveServer, service coltsfootward.ServiceName, path string, try int, done func(bool)) {
	over := false
	end := func(ok bool) {
		if over {
			return
		}
		over = true
		if ok || try >= naiveTries {
			done(ok)
			return
		}
		n.after(naiveBackoff, func() { n.layer(from, service, path, try+1, done) })
	}
	n.after(callerTimeout, func() { end(false) })
	n.call(from, n.pick(from, service), path, end)
}

// pick is round robin over all backend servers of a service, dead ones too.
func (n *naive) pick(from *naiveServer, service coltsfootward.ServiceName) *naiveServer {
	for {
		from.next = (from.next + 1) % len(n.servers)
		if s := n.servers[from.next]; s.host.service.Name == service {
			return s
		}
	}
}

func (n *naive) call(from, to *naiveServer, path string, done func(bool)) {
	first := n.deployment.Domains[0]
	if n.cut && (from.host.instance.Domain == first) != (to.host.instance.Domain == first) {
		n.after(cutDelay, func() { done(false) })
		return
	}
	delay := domainDelay(from.host.instance, to.host.instance)
	if !to.alive {
		n.after(delay, func() { done(false) })
		return
	}
	start := to.starts
	n.after(delay, func() {
		to.queue = append(to.queue, func() {
			n.serve(to, path, func(ok bool) { n.after(delay, func() { done(ok && to.starts == start) }) })
		})
		n.fill(to)
	})
}

func (n *naive) fill(s *naiveServer) {
	for s.alive && len(s.queue) > 0 && s.running < s.host.service.Slots {
		job := s.queue[0]
		s.queue = s.queue[1:]
		s.running++
		job()
	}
}

// serve makes the further call, then takes the service time, all in one slot.
func (n *naive) serve(s *naiveServer, path string, done func(bool)) {
	start := s.starts
	if n.now() >= began {
		n.begun++
	}
	end := func(ok bool) {
		if s.starts != start {
			done(false)
			return
		}
		s.running--
		done(ok)
		n.fill(s)
	}
	work := func() {
		n.after(n.scenario.serviceTime(n.deployment, s.host, s.index, path, n.now(), n.source), func() { end(true) })
	}
	if s.host.service.Next == "" {
		work()
		return
	}
	n.layer(s, s.host.service.Next, path, 1, func(ok bool) {
		if !ok {
			end(false)
			return
		}
		work()
	})
}

func (n *naive) begin() {
	n.cut = n.scenario.Cut
	if !n.scenario.ColdStart {
		return
	}
	for _, s := range n.servers {
		if s.host.service.Name == n.deployment.Focus && isColdStarted(s.index) {
			n.restart(s)
		}
	}
}

func (n *naive) restart(s *naiveServer) {
	s.alive = false
	s.starts++
	s.queue = nil
	s.running = 0
	n.after(restartAfter, func() { s.alive = true })
}

func (n *naive) end() { n.cut = false }

func (n *naive) work() int { return n.begun }
