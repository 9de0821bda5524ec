package main

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strconv"
	"time"

	"coltsfootward/cmd/fleet"
	hostingplatform "coltsfootward/platform"
	"coltsfootward/standin/hosting"

	"github.com/google/uuid"
)

const (
	costHost        = "quotes.example"
	costSlots       = 64
	costConnections = 256
	costRate        = 1_000_000
	// costDeadline is how long a caller waits.
	costDeadline = 2 * time.Second
	costGrace    = 4 * time.Second
	costNotice   = 300 * time.Millisecond
)

// costFleet is node processes, with the stand-ins around them in this process.
type costFleet struct {
	store    *hosting.Store
	platform *httptest.Server
	nodes    []*fleet.Node
	backends []*hosting.Backend
	servers  []*httptest.Server
}

// startCostFleet starts nodes that are ready and serve.
func startCostFleet(program, directory string, count int) (*costFleet, error) {
	f := &costFleet{store: hosting.NewStore()}
	f.platform = httptest.NewServer(f.store)
	if err := f.start(program, directory, count); err != nil {
		f.close()
		return nil, err
	}
	return f, nil
}

func (f *costFleet) start(program, directory string, count int) error {
	err := f.store.Configure(hosting.Document{
		Version:       1,
		Services:      []hosting.Service{{Name: service, MaxConnections: costConnections}},
		Organisations: []hosting.Organisation{{Name: "load", Key: key, Rate: costRate, Burst: costRate}},
		Routes:        []hosting.Route{{Host: costHost, Name: "urea", Service: service, Idempotent: true}},
	})
	if err != nil {
		return err
	}
	ports, err := fleet.FreePorts(count)
	if err != nil {
		return err
	}
	for i := range count {
		if err := f.startNode(program, directory, i, ports[i]); err != nil {
			return err
		}
	}
	return f.awaitReady()
}

func (f *costFleet) startNode(program, directory string, i int, ports fleet.Ports) error {
	b := hosting.NewBackend(fmt.Sprintf("i-%d", i), service, "", ports.Backend, costSlots)
	b.Forget = true
	server := httptest.NewServer(b)
	f.servers = append(f.servers, server)
	b.Address = server.Listener.Addr().String()
	domains := []string{"north", "south"}
	n, err := fleet.NewNode(fleet.Options{
		Program: program, Directory: directory, Number: i, Domain: domains[i%2], Domains: domains, Ports: ports,
		Backend: b.Address, Service: service, Store: f.platform.Listener.Addr().String(),
		Grace: costGrace, Notice: costNotice,
	})
	if err != nil {
		return err
	}
	f.nodes = append(f.nodes, n)
	if err := n.Start(); err != nil {
		return err
	}
	b.Start()
	f.backends = append(f.backends, b)
	return nil
}

// awaitReady waits until every node is ready and serves.
func (f *costFleet) awaitReady() error {
	callers := f.callers(false)
	defer callers.close()
	for deadline := time.Now().Add(readyTimeout); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		ready := true
		for i, n := range f.nodes {
			ready = ready && n.Ready() && callers.call(i) == ""
		}
		if ready {
			return nil
		}
	}
	return errors.New("coltsload: the nodes were not ready in time: is --program a coltsfootward of this version?")
}

// used returns what all nodes have used since their start.
func (f *costFleet) used() (costUnits, error) {
	var sum costUnits
	for _, n := range f.nodes {
		u, err := usedBy(n.Process(), n.Ports().Operators)
		if err != nil {
			return sum, err
		}
		sum = sum.plus(u)
	}
	return sum, nil
}

func (f *costFleet) close() {
	for _, n := range f.nodes {
		n.Close()
	}
	for _, b := range f.backends {
		b.Close()
	}
	for _, server := range f.servers {
		server.CloseClientConnections()
		server.Close()
	}
	f.platform.CloseClientConnections()
	f.platform.Close()
}

// costCallers call the nodes in turn.
type costCallers struct {
	fleet  *costFleet
	client *http.Client
	// key is the callers' key, wanted the status that counts as no failure.
	key    string
	wanted int
}

func (f *costFleet) callers(refused bool) *costCallers {
	c := &costCallers{fleet: f, client: newClient(), key: key, wanted: http.StatusOK}
	if refused {
		c.key, c.wanted = "key-of-nobody", http.StatusUnauthorized
	}
	return c
}

func (c *costCallers) close() { c.client.CloseIdleConnections() }

// hold makes the calls of a plan.
func (c *costCallers) hold(p plan) measurement { return openLoop(p, c.call) }

// call makes a call and returns what went wrong with it, or "".
func (c *costCallers) call(number int) string {
	n := c.fleet.nodes[number%len(c.fleet.nodes)]
	id := uuid.NewString()
	request, err := http.NewRequestWithContext(context.Background(), http.MethodGet, "http://"+n.Ports().Callers+"/urea/"+id, nil)
	if err != nil {
		return "request"
	}
	fields := hostingplatform.Fields()
	request.Host = costHost
	request.Header.Set(fields.Request, id)
	request.Header.Set(fields.Deadline, strconv.FormatInt(costDeadline.Milliseconds(), 10))
	request.Header.Set("Authorization", "Bearer "+c.key)
	return failure(c.client, request, c.wanted)
}
