package scenario

import (
	"math/rand/v2"
	"time"

	"coltsfootward"
	"coltsfootward/core/message"
	"coltsfootward/core/node"
	"coltsfootward/core/nodetest"
)

// mesh is the system of node state machines.
type mesh struct {
	scenario   Scenario
	deployment Deployment
	rig        *nodetest.Rig
	hosts      []host
	members    []*nodetest.Member
	source     *rand.Rand
}

func newMesh(s Scenario, d Deployment, seed uint64) *mesh {
	m := &mesh{scenario: s, deployment: d, rig: nodetest.New(seed), hosts: d.hosts(), source: rand.New(rand.NewPCG(seed, 2))}
	m.rig.Delay = domainDelay
	m.configure()
	for i, h := range m.hosts {
		member := m.rig.Add(node.Options{Self: h.instance, Domains: d.Domains})
		m.members = append(m.members, member)
		m.configureBackend(member, h, m.indexInService(i))
		member.Announce(h.service.Name, h.service.Slots)
	}
	return m
}

func (m *mesh) configure() {
	for o, organisation := range m.deployment.Organisations {
		m.rig.Submit(
			coltsfootward.Change{Organisation: &coltsfootward.Organisation{Name: organisation.Name, Rate: m.scenario.rate(m.deployment, o)}},
			coltsfootward.Change{Key: &coltsfootward.Key{ID: string(organisation.Name), Digest: organisation.Key(), Organisation: organisation.Name}},
		)
	}
	for _, s := range m.deployment.Services {
		m.rig.Submit(coltsfootward.Change{Service: &coltsfootward.Service{Name: s.Name, Marks: marks()}})
	}
}

// configureBackend sets the service time and the child calls of a backend
// server.
func (m *mesh) configureBackend(member *nodetest.Member, h host, index int) {
	member.Backend.ServiceTime = func(call message.Call) time.Duration {
		return m.scenario.serviceTime(m.deployment, h, index, call.Path, m.rig.Now(), m.source)
	}
	if h.service.Next == "" {
		return
	}
	member.Backend.Children = func(call message.Call) []nodetest.Request {
		return []nodetest.Request{{Service: h.service.Next, Path: call.Path, Timeout: attemptTimeout}}
	}
}

// indexInService returns the index of a host within its service.
func (m *mesh) indexInService(host int) int {
	index := 0
	for _, h := range m.hosts[:host] {
		if h.service.Name == m.hosts[host].service.Name {
			index++
		}
	}
	return index
}

func (m *mesh) now() time.Duration              { return m.rig.Now() }
func (m *mesh) after(d time.Duration, f func()) { m.rig.After(d, f) }
func (m *mesh) run(d time.Duration)             { m.rig.Run(d) }
func (m *mesh) entryCount() int                 { return len(m.members) }

func (m *mesh) send(entry int, r request, done func(reply)) func() {
	o := m.members[entry].Send(nodetest.Request{
		Key: r.organisation.Key(), Service: r.service, Path: r.path, Attempt: r.attempt, Timeout: r.timeout,
	})
	o.OnDone(func() {
		got := reply{answered: o.Answered}
		if o.Refusal != nil {
			got.retryAfter = o.Refusal.RetryAfter
		}
		done(got)
	})
	return o.Cancel
}

func (m *mesh) startDisturbance() {
	if m.scenario.Partition {
		m.rig.PartitionDomain(m.deployment.Domains[0], true)
	}
	m.forEachBottleneckServer(func(member *nodetest.Member, index int) {
		service := m.deployment.Service(m.deployment.Bottleneck)
		if m.scenario.ColdStart && isColdStarted(index) {
			member.Kill()
			m.rig.After(restartDelay, func() {
				member.Restart()
				member.Announce(service.Name, service.Slots)
			})
		}
		if m.scenario.SlotsFactor > 1 && index == 0 {
			m.announceSlots(member, service, service.Slots*m.scenario.SlotsFactor)
		}
	})
}

func (m *mesh) endDisturbance() {
	if m.scenario.Partition {
		m.rig.HealDomain(m.deployment.Domains[0])
	}
	m.forEachBottleneckServer(func(member *nodetest.Member, index int) {
		if m.scenario.SlotsFactor > 1 && index == 0 {
			service := m.deployment.Service(m.deployment.Bottleneck)
			m.announceSlots(member, service, service.Slots)
		}
	})
}

// executionsStarted counts the requests that reached a backend server, including
// those that are still queued there.
func (m *mesh) executionsStarted() int {
	started := 0
	for _, member := range m.members {
		for _, run := range member.Backend.Runs {
			if run.Arrived >= disturbanceStart {
				started++
			}
		}
	}
	return started
}

// announceSlots announces a number of slots that may differ from the backend
// server's actual slots, which stay as they are.
func (m *mesh) announceSlots(member *nodetest.Member, service Service, slots int) {
	member.Announce(service.Name, slots)
	member.Backend.Slots = service.Slots
}

func (m *mesh) forEachBottleneckServer(f func(member *nodetest.Member, index int)) {
	for i, h := range m.hosts {
		if h.service.Name == m.deployment.Bottleneck {
			f(m.members[i], m.indexInService(i))
		}
	}
}

// domainDelay returns the one-way network delay between two instances.
func domainDelay(from, to coltsfootward.Instance) time.Duration {
	if from.Domain == to.Domain {
		return 200 * time.Microsecond
	}
	return 1500 * time.Microsecond
}
