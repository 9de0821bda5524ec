//go:build review

// Command 3 plays case 3: one tenant sends many times its usual. Its requests have bodies
// within max_body_bytes. The nodes that its clients use exceed their memory and are killed,
// with the requests of other tenants. It exits with 1 if a node passed more than three
// requests of kept connections on to an upstream and its end closed these connections
// without an answer.
package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"coltsfootward/review/stand"
)

const (
	host     = "loja.example"
	hotKey   = "key-of-filial"
	otherKey = "key-of-balcao"
	// The disruption, hot_tenant: x times the usual, for_s, two times.
	hotFactor = 7.5
	hotTime   = 6500 * time.Millisecond
	hotSpells = 1
	hotGap    = 5 * time.Second
	// usualPerSecond is what the tenant usually sends to each of the hotMachines.
	usualPerSecond = 1.0
	hotMachines    = 2
	// bodyBytes is the size of its requests, and linkBytes what a client sends in a
	// second: 56 Mbit/s.
	bodyBytes = 14 << 20
	linkBytes = 7 << 20
	// otherClients of another tenant at each machine send small requests, each on a
	// connection that it keeps, with pauses of otherPause on average.
	otherClients = 8
	otherPause   = 50 * time.Millisecond
	work         = 150 * time.Millisecond
	deadline     = 6 * time.Second
	// routeTimeout is the timeout of the route of the small requests.
	routeTimeout = 1500 * time.Millisecond
	// allowed is how many requests a machine may lose so.
	allowed = 3
)

func main() { os.Exit(play()) }

// play returns the exit status.
func play() int {
	trouble := os.Getenv("TROUBLE") != "0"
	record, err := stand.NewRecord("review/3/record.txt")
	if err != nil {
		return failed(err)
	}
	defer record.Close()
	limit := usualPerSecond * hotMachines * 1.6
	configuration := stand.Configuration("r7", host, map[string]int{"caixa": 400, "estoque": 400},
		[]stand.Object{
			{"name": "filial", "api_keys": []string{hotKey}, "priority": 2, "rate_per_s": limit, "burst": limit + 1},
			{"name": "balcao", "api_keys": []string{otherKey}, "priority": 1, "rate_per_s": 1000, "burst": 1000},
		},
		stand.Route("card-hold", "/hold/", "non_idempotent", "caixa", "5000ms", "2500ms", 0),
		stand.Route("skis-free", "/free/", "idempotent", "estoque", "1500ms", "1500ms", 1))
	var places []stand.Place
	for _, zone := range []string{"zona-um", "zona-dois", "zona-tres"} {
		places = append(places, stand.Place{Zone: zone, Service: "caixa", Slots: 60}, stand.Place{Zone: zone, Service: "estoque", Slots: 60})
	}
	f, err := stand.NewFleet(record, configuration, places, func(_ *stand.Upstream, run *stand.Run) {
		time.Sleep(work)
		run.Answer(200, "held "+run.ID)
	})
	if err != nil {
		return failed(err)
	}
	defer f.Close()
	if err := f.WaitReady(); err != nil {
		return failed(err)
	}
	watch := stand.WatchMemory(f)
	c := &clients{record: record, answers: make(map[string]map[string]int)}
	c.factor.Store(1.0)
	stop := make(chan struct{})
	var wait sync.WaitGroup
	for i, m := range f.Machines {
		if i < hotMachines {
			wait.Go(func() { c.upload(m, stop) })
		}
		for range otherClients {
			wait.Go(func() { c.read(m, stop) })
		}
	}
	time.Sleep(5 * time.Second)
	for range hotSpells {
		if trouble {
			record.Add("trouble  the tenant filial sends %v times its usual for %v", hotFactor, hotTime)
			c.factor.Store(hotFactor)
		}
		time.Sleep(hotTime)
		c.factor.Store(1.0)
		time.Sleep(hotGap)
	}
	close(stop)
	wait.Wait()
	ends, peaks := watch.Close()
	lost, most := c.lost(f), 0
	for _, n := range lost {
		most = max(most, n)
	}
	result := fmt.Sprintf("lost %v; processes killed for their memory: %v; most memory in MB: %v; answers %v", lost, ends, peaks, c.answers)
	record.Add("result   %s", result)
	fmt.Println(result)
	if most > allowed {
		return 1
	}
	return 0
}

// lost counts, by machine, the small requests of kept connections that the node passed on
// to an upstream and whose connection it closed without an answer.
func (c *clients) lost(f *stand.Fleet) map[string]int {
	runs := make(map[string]int)
	for _, m := range f.Machines {
		for id, n := range m.Upstream.Runs() {
			runs[id] += n
		}
	}
	lost := make(map[string]int)
	for _, r := range c.closed {
		if r.kept && runs[r.id] > 0 && r.took < routeTimeout {
			lost[r.machine]++
			c.record.Add("LOST     %s of balcao, on a kept connection to %s: passed on to an upstream, closed without an answer after %.3f s", r.id, r.machine, r.took.Seconds())
		}
	}
	return lost
}

func failed(err error) int {
	fmt.Println("the case could not run:", err)
	return 2
}

// clients sends requests and counts the answers by tenant.
type clients struct {
	record *stand.Record
	factor atomic.Value

	mu      sync.Mutex
	answers map[string]map[string]int
	closed  []closedRequest
}

// closedRequest is a small request whose connection ended without an answer. kept is set
// if an earlier request of the connection was answered.
type closedRequest struct {
	id, machine string
	kept        bool
	took        time.Duration
}

func (c *clients) count(tenant string, answer stand.Answer) {
	text := answer.String()
	if answer.Status == 0 {
		text = "none"
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.answers[tenant] == nil {
		c.answers[tenant] = make(map[string]int)
	}
	c.answers[tenant][text]++
}

// upload sends the tenant's requests to a machine.
func (c *clients) upload(m *stand.Machine, stop chan struct{}) {
	var wait sync.WaitGroup
	defer wait.Wait()
	for {
		perSecond := usualPerSecond * c.factor.Load().(float64)
		select {
		case <-stop:
			return
		case <-time.After(time.Duration((0.8 + 0.4*rand.Float64()) / perSecond * float64(time.Second))):
		}
		wait.Go(func() {
			id := stand.NewID()
			c.record.Add("sent     %s to %s by filial: POST /hold/%s, %d bytes", id, m.Name, id, bodyBytes)
			answer := stand.SendBody(m, id, "POST", host, "/hold/"+id, hotKey, &slowReader{remaining: bodyBytes, started: time.Now()}, bodyBytes, deadline)
			c.record.Add("answered %s: %s", id, answer)
			c.count("filial", answer)
		})
	}
}

// read sends small requests of the other tenant to a machine, one after the other on a kept
// connection.
func (c *clients) read(m *stand.Machine, stop chan struct{}) {
	var kept stand.Kept
	defer kept.Close()
	for {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(rand.ExpFloat64() * float64(otherPause))):
		}
		if kept.Connect(m) != nil {
			continue
		}
		used, sent, id := kept.Used, time.Now(), stand.NewID()
		c.record.Add("sent     %s to %s by balcao: GET /free/%s, request %d of its connection", id, m.Name, id, used+1)
		answer := kept.Get(id, host, "/free/"+id, otherKey, deadline)
		c.record.Add("answered %s: %s", id, answer)
		c.count("balcao", answer)
		if answer.Status == 0 {
			c.mu.Lock()
			c.closed = append(c.closed, closedRequest{id: id, machine: m.Name, kept: used > 0, took: time.Since(sent)})
			c.mu.Unlock()
		}
	}
}

// slowReader is a body that a client sends over its link.
type slowReader struct {
	remaining, sent int
	started         time.Time
}

func (r *slowReader) Read(p []byte) (int, error) {
	if r.remaining == 0 {
		return 0, io.EOF
	}
	n := min(len(p), r.remaining, 64<<10)
	r.remaining -= n
	r.sent += n
	time.Sleep(time.Until(r.started.Add(time.Duration(float64(r.sent) / linkBytes * float64(time.Second)))))
	return n, nil
}
