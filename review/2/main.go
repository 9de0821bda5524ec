//go:build review

// Command 2 plays case 2: one tenant sends many times its usual. Its requests have bodies
// within max_body_bytes. The nodes that its clients use exceed their memory and are killed,
// with all requests of other tenants. It exits with 1 if on two machines or more the
// process ended three times.
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
	hotSpells = 2
	hotGap    = 5 * time.Second
	// usualPerSecond is what the tenant usually sends to each of the hotMachines.
	usualPerSecond = 1.0
	hotMachines    = 2
	// bodyBytes is the size of its requests, and linkBytes what a client sends in a
	// second: 64 Mbit/s.
	bodyBytes = 16 << 20
	linkBytes = 8 << 20
	// otherPerSecond are the small requests of another tenant at each machine.
	otherPerSecond = 20
	work           = 150 * time.Millisecond
	deadline       = 6 * time.Second
)

func main() { os.Exit(play()) }

// play returns the exit status.
func play() int {
	trouble := os.Getenv("TROUBLE") != "0"
	record, err := stand.NewRecord("review/2/record.txt")
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
		wait.Go(func() { c.read(m, stop) })
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
	machines := 0
	for _, n := range ends {
		if n >= 3 {
			machines++
		}
	}
	result := fmt.Sprintf("processes killed for their memory: %v; most memory in MB: %v; answers %v", ends, peaks, c.answers)
	record.Add("result   %s", result)
	fmt.Println(result)
	if machines >= 2 {
		return 1
	}
	return 0
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

// read sends the small requests of the other tenant to a machine.
func (c *clients) read(m *stand.Machine, stop chan struct{}) {
	var wait sync.WaitGroup
	defer wait.Wait()
	for {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(rand.ExpFloat64() / otherPerSecond * float64(time.Second))):
		}
		wait.Go(func() {
			id := stand.NewID()
			c.record.Add("sent     %s to %s by balcao: GET /free/%s", id, m.Name, id)
			answer := stand.Send(m, id, "GET", host, "/free/"+id, otherKey, nil, deadline)
			c.record.Add("answered %s: %s", id, answer)
			c.count("balcao", answer)
		})
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
