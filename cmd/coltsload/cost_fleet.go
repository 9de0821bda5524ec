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
	// costDeadline is the deadline that callers send with each request.
	costDeadline = 2 * time.Second
	costGrace    = 4 * time.Second
	costNotice   = 300 * time.Millisecond
)

// costFleet is a set of node processes, with the stand-ins for the platform and the
// backend servers in this process.
type costFleet struct {
	store    *hosting.Store
	platform *httptest.Server
	nodes    []*fleet.Node
	backends []*hosting.Backend
	servers  []*httptest.Server
}

// startCostFleet starts count nodes and waits until all are ready and serve requests.
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
	b.DiscardRuns = true
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

// awaitReady waits until every node is ready and serves requests.
func (f *costFleet) awaitReady() error {
	callers := f.newCallers(false)
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

// usage returns the resources that all nodes together have used since their start.
func (f *costFleet) usage() (resourceUsage, error) {
	var sum resourceUsage
	for _, n := range f.nodes {
		u, err := nodeUsage(n.PID(), n.Ports().Operators)
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

// costCallers calls the nodes round-robin.
type costCallers struct {
	fleet  *costFleet
	client *http.Client
	// key is the callers' API key. Responses with any status but wantedStatus count as
	// failures.
	key          string
	wantedStatus int
}

func (f *costFleet) newCallers(refused bool) *costCallers {
	c := &costCallers{fleet: f, client: newClient(), key: key, wantedStatus: http.StatusOK}
	if refused {
		c.key, c.wantedStatus = "key-of-nobody", http.StatusUnauthorized
	}
	return c
}

func (c *costCallers) close() { c.client.CloseIdleConnections() }

// run makes the calls of a plan.
func (c *costCallers) run(p plan) measurement { return openLoop(p, c.call) }

// call sends one request and returns a label for its failure, or "" if it succeeded.
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
	return sendRequest(c.client, request, c.wantedStatus)
}
