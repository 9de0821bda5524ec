package soak

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"time"

	"coltsfootward/cmd/fleet"
	hostingplatform "coltsfootward/platform"
	"coltsfootward/standin/hosting"
)

// fields holds the names of the header fields that callers and backend servers use.
var fields = hostingplatform.Fields()

const (
	host        = "soak.example"
	serviceName = "quotes"
	// callRoute is the route of the calls that backend servers make.
	callRoute = "call"
	// poorRate and poorBurst are the rate limit, in requests per second, and the burst
	// of the organisation poor. The rate of the organisation farm, farmRate, is never
	// reached.
	poorRate     = 20
	poorBurst    = 20
	farmRate     = 5000
	backendSlots = 8
	grace        = 4 * time.Second
	notice       = 1500 * time.Millisecond
	// maxConnections is the maximum number of connections to one backend server.
	maxConnections = 64
	retryShare     = 0.2
	retryBurst     = 48
)

// soakFleet is a set of node processes with the store that they share.
type soakFleet struct {
	store    *hosting.Store
	platform *httptest.Server
	nodes    []*node
	ledger   *ledger
	// contended is set if servers make calls and nodes have the settings for contended
	// services.
	contended bool
}

// node is one node process with its backend server and the proxies in front of the
// backend server and the store.
type node struct {
	*fleet.Node
	backend                  *hosting.Backend
	server                   *httptest.Server
	backendProxy, storeProxy *proxy
	// slow and rejecting are set while the backend server is slow, or rejects requests, of
	// which arrived counts those that have arrived meanwhile.
	slow, rejecting atomic.Bool
	arrived         atomic.Int64
}

// newSoakFleet starts count nodes of the program in two failure domains, with their
// settings and logs in directory. The ledger records the requests that backend servers
// run.
func newSoakFleet(program, directory string, count int, contended bool, l *ledger) (*soakFleet, error) {
	f := &soakFleet{store: hosting.NewStore(), ledger: l, contended: contended}
	f.platform = httptest.NewServer(f.store)
	if err := f.start(program, directory, count); err != nil {
		f.close()
		return nil, err
	}
	return f, nil
}

func (f *soakFleet) start(program, directory string, count int) error {
	if err := f.configure(3); err != nil {
		return err
	}
	ports, err := fleet.FreePorts(count)
	if err != nil {
		return err
	}
	for i := range count {
		n, err := f.newNode(program, directory, i, ports[i])
		if err != nil {
			return err
		}
		f.nodes = append(f.nodes, n)
		if err := n.Start(); err != nil {
			return err
		}
		n.backend.Start()
	}
	return nil
}

func (f *soakFleet) configure(version int) error {
	routes := []hosting.Route{
		{Host: host, Name: "urea", Service: serviceName, Idempotent: true, Priority: 1},
		{Host: host, Name: "order", Service: serviceName},
	}
	if f.contended {
		routes = append(routes, hosting.Route{Host: host, Name: callRoute, Service: serviceName, Idempotent: true, Public: true, Priority: 1})
	}
	return f.store.Configure(hosting.Document{
		Version:  version,
		Services: []hosting.Service{{Name: serviceName, MaxConnections: maxConnections}},
		Organisations: []hosting.Organisation{
			{Name: "farm", Key: "key-of-farm", Rate: farmRate, Burst: farmRate},
			{Name: "poor", Key: "key-of-poor", Rate: poorRate, Burst: poorBurst},
		},
		Routes: routes,
	})
}

func (f *soakFleet) newNode(program, directory string, i int, ports fleet.Ports) (*node, error) {
	n := &node{backend: hosting.NewBackend(fmt.Sprintf("i-%d", i), serviceName, "", ports.Backend, backendSlots)}
	n.backend.Serve = func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == crashPath {
			f.ledger.recordCrash(i, r.Header.Get(fields.Request))
			f.ledger.endCondition(i)
			n.crash()
			panic(http.ErrAbortHandler)
		}
		if n.rejects() {
			w.Header().Set(fields.NotRun, "1")
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		f.ledger.recordRun(r)
		if f.contended && r.Method == http.MethodPost && !n.callChildren(r) {
			w.WriteHeader(http.StatusInternalServerError)
			return
		}
		n.work()
		fmt.Fprintf(w, "answer to %s", r.Header.Get(fields.Request))
	}
	n.server = httptest.NewServer(f.countArrivals(i, n.backend))
	var err error
	if n.backendProxy, err = newProxy(n.server.Listener.Addr().String()); err != nil {
		return nil, err
	}
	if n.storeProxy, err = newProxy(f.platform.Listener.Addr().String()); err != nil {
		return nil, err
	}
	n.backend.Address = n.backendProxy.address()
	domains := []string{"north", "south"}
	n.Node, err = fleet.NewNode(fleet.Options{
		Program: program, Directory: directory, Number: i, Domain: domains[i%2], Domains: domains, Ports: ports,
		Backend: n.backendProxy.address(), Service: serviceName, Store: n.storeProxy.address(),
		Grace: grace, Notice: notice, RetryShare: retryShare, RetryBurst: retryBurst, Contended: f.contended,
	})
	return n, err
}

// crash ends the backend server without notice. It starts anew after crashDowntime.
func (n *node) crash() {
	if !n.backend.Crash() {
		return
	}
	n.backendProxy.stopListening()
	time.AfterFunc(crashDowntime, func() {
		n.backend.Restart()
		_ = n.backendProxy.listenAgain() // the port may have been taken; the run then reports that the fleet has not recovered
	})
}

// close ends every process that the fleet started and closes the stand-ins.
func (f *soakFleet) close() {
	for _, n := range f.nodes {
		n.Close()
		n.backend.Close()
		n.server.CloseClientConnections()
		n.backendProxy.close()
		n.storeProxy.close()
		n.server.Close()
	}
	f.platform.CloseClientConnections()
	f.platform.Close()
}
