package nodetest_test

import (
	"fmt"
	"sort"
	"strings"
	"testing"
	"time"

	"coltsfootward"
	"coltsfootward/core/message"
	"coltsfootward/core/node"
	"coltsfootward/core/nodetest"
)

const (
	// attemptBudget is the attempt budget of one request over all services.
	attemptBudget = 5
	// callerTimeout is the timeout of each request.
	callerTimeout = 2 * time.Second
	// leaseTerm is short, so that slots change their holders during the faults.
	leaseTerm = 10 * time.Second
	// faultPeriod is the time during which faults are injected.
	faultPeriod = 40 * time.Second
)

// tenant is an organisation with its key and its rate.
type tenant struct {
	name coltsfootward.OrganisationName
	key  coltsfootward.KeyDigest
	rate coltsfootward.Rate
}

var tenants = []tenant{
	{"traders", "key-traders", coltsfootward.Rate{PerSecond: 60, Burst: 60}},
	{"ministry", "key-ministry", coltsfootward.Rate{PerSecond: 20, Burst: 10}},
	{"crews", "key-crews", coltsfootward.Rate{PerSecond: 10, Burst: 4}},
}

// sentRequest is a request that was sent, with its organisation and its outcome.
type sentRequest struct {
	path    string
	tenant  tenant
	order   string
	outcome *nodetest.Outcome
}

// workload is a rig with three failure domains and a chain of services, the requests
// sent to it and the faults injected.
type workload struct {
	rig     *nodetest.Rig
	members []*nodetest.Member
	sent    []sentRequest
	faults  []string
}

// services lists the service of each instance of a domain.
var services = []coltsfootward.ServiceName{"front", "middle", "orders", "front"}

func newWorkload(seed uint64) *workload {
	w := &workload{rig: nodetest.New(seed)}
	domains := []coltsfootward.FailureDomain{"north", "south", "west"}
	for _, t := range tenants {
		w.rig.Submit(
			coltsfootward.Change{Organisation: &coltsfootward.Organisation{Name: t.name, Rate: t.rate}},
			coltsfootward.Change{Key: &coltsfootward.Key{ID: string(t.key), Digest: t.key, Organisation: t.name}},
		)
	}
	for _, s := range []coltsfootward.ServiceName{"front", "middle", "orders"} {
		w.rig.Submit(coltsfootward.Change{Service: &coltsfootward.Service{Name: s, Attempts: attemptBudget}})
	}
	for _, domain := range domains {
		for i := range services {
			id := coltsfootward.InstanceID(fmt.Sprintf("%s-%d", domain, i))
			m := w.rig.Add(node.Options{Self: nodetest.Instance(id, domain), Domains: domains, LeaseTerm: leaseTerm})
			w.members = append(w.members, m)
			w.serve(i, m)
		}
	}
	return w
}

func (w *workload) serve(index int, m *nodetest.Member) {
	service := services[index%len(services)]
	if service == "front" {
		m.Backend.Children = func(h message.Call) []nodetest.Request {
			return []nodetest.Request{{Service: "middle", Path: h.Path, Timeout: callerTimeout}}
		}
	}
	m.Announce(service, 4)
}

// send sends one request to a random node, dead or alive.
func (w *workload) send(t tenant, service coltsfootward.ServiceName, order string) {
	m := w.members[w.rig.Source().IntN(len(w.members))]
	path := fmt.Sprintf("/%d", len(w.sent))
	request := nodetest.Request{Key: t.key, Service: service, Path: path, Timeout: callerTimeout}
	if service == "orders" {
		request.Method = "POST"
		request.IdempotencyKey = order
		request.Path = "/" + order
		path = request.Path
	}
	w.sent = append(w.sent, sentRequest{path: path, tenant: t, order: order, outcome: m.Send(request)})
}

// scheduleLoad schedules one request or order every 10 ms for d, each for a random
// organisation. Each organisation sends about 40 requests a second with its repeated
// orders, which is at least twice the two smaller rates.
func (w *workload) scheduleLoad(d time.Duration) {
	const interval = 10 * time.Millisecond
	for elapsed := time.Duration(0); elapsed < d; elapsed += interval {
		w.rig.After(elapsed, func() {
			t := tenants[w.rig.Source().IntN(len(tenants))]
			switch w.rig.Source().IntN(4) {
			case 0:
				w.order(t)
			default:
				w.send(t, "front", "")
			}
		})
	}
}

// order sends an unrepeatable request and repeats it within 3 s through a random
// node, as a caller without a response does.
func (w *workload) order(t tenant) {
	order := fmt.Sprintf("%s-order-%d", t.name, len(w.sent))
	w.send(t, "orders", order)
	w.rig.After(time.Duration(w.rig.Source().Int64N(int64(3*time.Second))), func() { w.send(t, "orders", order) })
}

// scheduleFaults schedules one fault a second for d, at a random time within the
// second. Each fault ends after a random time of up to about 6 s.
func (w *workload) scheduleFaults(d time.Duration) {
	for at := 500 * time.Millisecond; at < d; at += time.Second {
		w.rig.After(at+time.Duration(w.rig.Source().Int64N(int64(time.Second))), w.injectFault)
	}
}

func (w *workload) injectFault() {
	source := w.rig.Source()
	index := source.IntN(len(w.members))
	m := w.members[index]
	other := w.members[source.IntN(len(w.members))]
	duration := 50*time.Millisecond + time.Duration(source.Int64N(int64(6*time.Second)))
	switch source.IntN(8) {
	case 0:
		w.noteFault("kill %s", m)
		m.Kill()
		w.rig.After(duration, func() {
			if !m.Alive() {
				m.Restart()
				w.serve(index, m)
			}
		})
	case 1:
		w.noteFault("pause %s", m)
		m.Pause()
		w.rig.After(duration, m.Resume)
	case 2:
		w.noteFault("suspend %s", m)
		m.Suspend()
		w.rig.After(duration, m.Resume)
	case 3:
		if m != other {
			w.noteFault("partition %s from "+string(other.Instance.ID), m)
			w.rig.Partition(m.Instance.ID, other.Instance.ID)
			w.rig.After(duration, func() { w.rig.Heal(m.Instance.ID, other.Instance.ID) })
		}
	case 4:
		w.noteFault("partition the domain of %s", m)
		w.rig.PartitionDomain(m.Instance.Domain, true)
		w.rig.After(duration, func() { w.rig.HealDomain(m.Instance.Domain) })
	case 5:
		w.noteFault("outage", m)
		w.rig.Table.Outage = true
		w.rig.After(duration, func() { w.rig.Table.Outage = false })
	case 6:
		w.noteFault("lost responses", m)
		w.rig.Table.LoseResponses = true
		w.rig.After(duration, func() { w.rig.Table.LoseResponses = false })
	case 7:
		w.noteFault("slow backend server %s", m)
		m.Backend.ServiceTime = func(message.Call) time.Duration { return 300 * time.Millisecond }
		w.rig.After(duration, func() { m.Backend.ServiceTime = nil })
	}
}

func (w *workload) noteFault(format string, m *nodetest.Member) {
	text := format
	if strings.Contains(format, "%s") {
		text = fmt.Sprintf(format, m.Instance.ID)
	}
	w.faults = append(w.faults, fmt.Sprintf("%v %s", w.rig.Now(), text))
}

// runsByPath returns the runs on all backend servers, grouped by the request's path.
func (w *workload) runsByPath() map[string][]*nodetest.Run {
	runs := make(map[string][]*nodetest.Run)
	for _, m := range w.members {
		for _, run := range m.Backend.Runs {
			runs[run.Head.Path] = append(runs[run.Head.Path], run)
		}
	}
	return runs
}

// checkServed verifies that the guarantees were not met by refusing everything: a
// third of all requests and a fifth of the orders must have been answered despite
// the faults.
func (w *workload) checkServed(t *testing.T) {
	var sent, answered, orders, ordersAnswered int
	for _, s := range w.sent {
		sent++
		if s.order != "" {
			orders++
		}
		if s.outcome.Answered {
			answered++
			if s.order != "" {
				ordersAnswered++
			}
		}
	}
	t.Logf("answered %d of %d requests, among them %d of %d orders (repeated requests included)", answered, sent, ordersAnswered, orders)
	if answered < sent/3 || ordersAnswered < orders/5 {
		t.Errorf("got %d of %d requests and %d of %d orders answered, want a third and a fifth", answered, sent, ordersAnswered, orders)
	}
}

// checkRequests compares the runs of every request with the outcome that its caller
// received.
func (w *workload) checkRequests(t *testing.T) {
	runs := w.runsByPath()
	mayHaveRun := make(map[string]bool)
	for _, s := range w.sent {
		if !s.outcome.Done {
			t.Errorf("%s: has not ended", s.path)
		}
		outcomeMayHaveRun := s.outcome.Refusal == nil || s.outcome.Refusal.Execution != coltsfootward.ExecutionNotRun
		mayHaveRun[s.path] = mayHaveRun[s.path] || outcomeMayHaveRun
		for _, run := range runs[s.path] {
			if run.Head.Organisation != s.tenant.name {
				t.Errorf("%s: ran for %s, want %s", s.path, run.Head.Organisation, s.tenant.name)
			}
		}
		if s.order != "" && len(runs[s.path]) > 1 {
			t.Errorf("%s: got %d runs of an unrepeatable request, want at most 1", s.path, len(runs[s.path]))
		}
		if s.order == "" && len(runs[s.path]) > attemptBudget {
			t.Errorf("%s: got %d attempts, want at most %d", s.path, len(runs[s.path]), attemptBudget)
		}
	}
	for path, pathRuns := range runs {
		if len(pathRuns) > 0 && !mayHaveRun[path] {
			t.Errorf("%s: ran %d times, but the caller was told not_run", path, len(pathRuns))
		}
	}
}

// checkRates verifies that the root requests of each organisation that reached backend
// servers stay within its rate and burst over every time window. Child calls don't
// count, because the root request's token covers them.
func (w *workload) checkRates(t *testing.T) {
	for _, tenant := range tenants {
		var arrivals []time.Duration
		for _, m := range w.members {
			for _, run := range m.Backend.Runs {
				if run.Head.Organisation == tenant.name && run.Head.Depth == 0 {
					arrivals = append(arrivals, run.Arrived)
				}
			}
		}
		sort.Slice(arrivals, func(i, j int) bool { return arrivals[i] < arrivals[j] })
		// A token bucket that admits every arrival: its debt after an arrival is the
		// largest excess over the rate in any time window that ends there.
		debt, last := 0.0, time.Duration(0)
		for _, at := range arrivals {
			debt = max(debt-tenant.rate.PerSecond*(at-last).Seconds(), 0) + 1
			last = at
			if debt > float64(tenant.rate.Burst)+1e-6 {
				t.Errorf("%s: got %.2f arrivals over the rate at %v, want at most the burst of %d", tenant.name, debt, at, tenant.rate.Burst)
				return
			}
		}
	}
}

// Guards against guarantees that are broken only when faults coincide, for example
// when a node is paused while its domain is partitioned, or killed while responses
// of the table are lost. Faults of every kind are injected at random, several at a
// time, under load and with repeated requests. Afterwards every guarantee is checked
// against the runs on the backend servers.
func TestGuaranteesUnderRandomFaults(t *testing.T) {
	t.Parallel()
	for seed := uint64(1); seed <= 8; seed++ {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			w := newWorkload(seed)
			w.rig.Run(15 * time.Second)
			w.scheduleLoad(faultPeriod)
			w.scheduleFaults(faultPeriod)
			w.rig.Run(faultPeriod + 20*time.Second)
			w.checkServed(t)
			w.checkRequests(t)
			w.checkRates(t)
			w.checkRecovered(t)
			w.checkWithdrawal(t)
			if t.Failed() {
				t.Logf("faults:\n%s", strings.Join(w.faults, "\n"))
			}
		})
	}
}

// checkRecovered sends a light load after the faults and requires that every request
// is answered.
func (w *workload) checkRecovered(t *testing.T) {
	first := len(w.sent)
	for range 20 {
		w.send(tenants[0], "front", "")
		w.rig.Run(100 * time.Millisecond)
	}
	w.rig.Run(callerTimeout)
	for _, s := range w.sent[first:] {
		if !s.outcome.Answered {
			t.Errorf("%s: got %v after the faults were over, want an answer", s.path, s.outcome.Refusal)
		}
	}
}

// checkWithdrawal withdraws a key and verifies 5 s later that every node refuses it.
func (w *workload) checkWithdrawal(t *testing.T) {
	withdrawn := tenants[1]
	w.rig.Submit(coltsfootward.Change{Key: &coltsfootward.Key{
		ID: string(withdrawn.key), Digest: withdrawn.key, Organisation: withdrawn.name, Withdrawn: true,
	}})
	w.rig.Run(5 * time.Second)
	for _, m := range w.members {
		o := m.Send(nodetest.Request{Key: withdrawn.key, Service: "front", Timeout: callerTimeout})
		w.rig.Run(time.Second)
		if o.Refusal == nil || o.Refusal.Kind != coltsfootward.RefusalUnauthenticated {
			t.Errorf("%s: got %+v for a key withdrawn 5 s ago, want %s", m.Instance.ID, o, coltsfootward.RefusalUnauthenticated)
		}
	}
}
