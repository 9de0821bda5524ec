//go:build review

// Case 4: clients leave before their deadline while an upstream becomes cold.
package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"coltsfootward/review/stand2"
	"coltsfootward/standin/hosting"
)

const (
	host = "bulletin.example"
	// length is the time in which upstreams become cold and clients leave.
	length = 84 * time.Second
	// The services' figures: slots and work of an upstream of archives, and the work of
	// the one of publications.
	slots       = 20
	work        = 400 * time.Millisecond
	archiveWork = 300 * time.Millisecond
	// coldPerS and coldFor are cold_per_s and cold_start; an upstream becomes cold again
	// every coldEvery.
	coldPerS  = 15
	coldFor   = 3 * time.Second
	coldEvery = 5 * time.Second
	// leaveShare of the clients leave, within leaveWithin.
	leaveShare  = 0.3
	leaveWithin = 1500 * time.Millisecond
	// leaveFor is how long a give_up lasts, and how long the pause until the next one is.
	leaveFor = 5 * time.Second
	// keptClients is the number of clients with kept connections on each machine of
	// archives; lookups is the number of clients of archives.
	keptClients = 8
	lookups     = 340
	deadline    = 5 * time.Second
	// archives is the number of machines of that service, the first ones.
	archives = 4
	// allowed is how often LOST allows that a connection is closed without an answer.
	allowed = 3
)

func route(name, service string) stand2.Object {
	return stand2.Object{"name": name, "prefix": "/" + name + "/", "kind": "idempotent", "timeout": "5s", "target_latency": "2000ms",
		"priority": 0, "max_attempts": 2, "service": service}
}

// arrivals are the requests that the upstream of publications has received.
type arrivals struct {
	mu  sync.Mutex
	ids map[string]bool
}

func (a *arrivals) add(id string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.ids[id] = true
}

func (a *arrivals) has(id string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.ids[id]
}

func main() {
	record := stand2.NewRecord()
	d := stand2.New(stand2.Bounds{ConfigApply: "2500ms", BudgetSlack: 96}, []stand2.Place{
		{Zone: "casa-a", Service: "archives"}, {Zone: "rabat-a", Service: "archives"}, {Zone: "rabat-a", Service: "archives"}, {Zone: "casa-a", Service: "archives"},
		{Zone: "casa-a", Service: "cotations"}, {Zone: "rabat-a", Service: "publications"},
	})
	defer d.Close()
	var services []stand2.Object
	for _, s := range []string{"archives", "cotations", "publications"} {
		services = append(services, stand2.Object{"name": s, "health_path": "/health", "max_connections": 400, "cold_start": "3s", "cold_per_s": coldPerS})
	}
	d.Configure(stand2.Object{
		"version": "r3", "services": services,
		"virtual_hosts": []stand2.Object{{"host": host, "paths": []stand2.Object{route("archive-quote", "archives"), route("bulletin-file", "publications")}}},
	})
	received := &arrivals{ids: make(map[string]bool)}
	var backends []*hosting.Backend
	for i, m := range d.Machines {
		size, takes := slots, work
		if m.Service != "archives" {
			size, takes = 64, archiveWork
		}
		b := hosting.NewBackend(fmt.Sprintf("i-%d", i), m.Service, m.App(), m.Control(), size)
		b.DiscardRuns = true
		b.Serve = func(w http.ResponseWriter, r *http.Request) {
			id := r.Header.Get(stand2.FieldRequest)
			record.Add("upstream %d runs %s", i, id)
			if m.Service == "publications" {
				received.add(id)
			}
			select {
			case <-time.After(takes):
			case <-r.Context().Done():
			}
			fmt.Fprintf(w, "answer to %s", id)
		}
		listener, err := net.Listen("tcp", m.App())
		if err != nil {
			stand2.Fail("upstream: %v", err)
		}
		server := &http.Server{Handler: b}
		go func() { _ = server.Serve(listener) }()
		defer server.Close()
		m.Start()
		defer stand2.Beat(b)()
		backends = append(backends, b)
	}
	d.AwaitReady(20 * time.Second)
	time.Sleep(6 * time.Second) // the upstreams that have just started count as cold until here

	ctx, cancel := context.WithTimeout(context.Background(), length)
	defer cancel()
	ended := func() *stand2.Machine {
		for _, m := range d.Machines {
			if m.HasEnded() {
				return m
			}
		}
		return nil
	}
	running := func() bool { return ctx.Err() == nil && ended() == nil }
	began := time.Now()
	giveUp := func() bool { return stand2.Trouble() && time.Since(began)/leaveFor%2 == 0 }
	var wait sync.WaitGroup
	var mu sync.Mutex
	var lost []string
	var kept, served, left, refused atomic.Int64
	for i, m := range d.Machines[:archives] {
		for k := range keptClients {
			wait.Go(func() {
				c := &stand2.Client{Address: m.Outbound()}
				defer c.Close()
				for n := 0; running(); n++ {
					id := fmt.Sprintf("kept-%d-%d-%d", i, k, n)
					a := c.Send(context.Background(), http.MethodGet, host, "/bulletin-file/"+id, id, deadline, nil, nil)
					kept.Add(1)
					record.Add("%s: %d %v", id, a.Status, a.Err)
					if a.Err != nil && received.has(id) {
						mu.Lock()
						lost = append(lost, id)
						mu.Unlock()
					}
				}
			})
		}
	}
	for i := range lookups {
		wait.Go(func() {
			c := &stand2.Client{Address: d.Machines[archives+i%2].Outbound()}
			defer c.Close()
			for n := 0; running(); n++ {
				id := fmt.Sprintf("lookup-%d-%d", i, n)
				stay, cancel := context.WithCancel(context.Background())
				leaves := giveUp() && rand.Float64() < leaveShare
				if leaves {
					stay, cancel = context.WithTimeout(stay, time.Duration(rand.Int64N(int64(leaveWithin))))
				}
				a := c.Send(stay, http.MethodGet, host, "/archive-quote/"+id, id, deadline, nil, nil)
				cancel()
				record.Add("%s: %d %v, leaves: %t", id, a.Status, a.Err, leaves)
				switch {
				case a.Err != nil && leaves:
					left.Add(1)
				case a.Status == http.StatusOK:
					served.Add(1)
				default:
					refused.Add(1)
					time.Sleep(300 * time.Millisecond)
				}
			}
		})
	}
	if stand2.Trouble() {
		for i, b := range backends[:archives] {
			wait.Go(func() {
				time.Sleep(coldEvery * time.Duration(i) / archives)
				for running() {
					record.Add("upstream %d becomes cold", i)
					b.SetCold(coldFor)
					time.Sleep(coldEvery)
				}
			})
		}
	}
	wait.Wait()
	record.Say("%d requests on kept connections; %d lookups served, %d refused, %d clients left", kept.Load(), served.Load(), refused.Load(), left.Load())
	m := ended()
	if m != nil {
		record.Add("%s ended by itself:\n%s", m.Name, m.Panic())
		record.Say("CRASH: the process on %s ended by itself", m.Name)
	}
	if len(lost) > 0 {
		record.Say("LOST: %d requests that the upstream of publications had received ended with a closed connection: %s", len(lost), strings.Join(lost, " "))
	}
	if served.Load() == 0 {
		d.Close()
		os.Exit(2)
	}
	if m != nil || len(lost) > allowed {
		d.Close()
		os.Exit(1)
	}
}
