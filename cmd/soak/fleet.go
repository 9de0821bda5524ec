package soak

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"time"

	"coltsfootward/cmd/fleet"
	hostingplatform "coltsfootward/platform"
	"coltsfootward/standin/hosting"
)

// fields names the header fields that callers and backend servers use.
var fields = hostingplatform.Fields()

const (
	host    = "soak.example"
	service = "quotes"
	// poorRate and poorBurst are the limit of the organisation poor; that of farm
	// is never reached.
	poorRate  = 20
	poorBurst = 20
	farmRate  = 5000
	slots     = 8
	grace     = 4 * time.Second
	notice    = 1500 * time.Millisecond
	// maxConnections bounds the connections to one backend server.
	maxConnections = 64
	retryShare     = 0.2
	retryCapacity  = 48
)

// nodes is the nodes with what they stand beside.
type nodes struct {
	store    *hosting.Store
	platform *httptest.Server
	all      []*node
}

// node is one node process, its backend server and the proxies around it.
type node struct {
	*fleet.Node
	backend            *hosting.Backend
	server             *httptest.Server
	toBackend, toStore *proxy
}

// newNodes starts count nodes of the program, in two failure domains, with their
// files in directory. seen is told of every run at a backend server.
func newNodes(program, directory string, count int, seen func(*http.Request)) (*nodes, error) {
	f := &nodes{store: hosting.NewStore()}
	f.platform = httptest.NewServer(f.store)
	if err := f.start(program, directory, count, seen); err != nil {
		f.close()
		return nil, err
	}
	return f, nil
}

func (f *nodes) start(program, directory string, count int, seen func(*http.Request)) error {
	if err := f.configure(3); err != nil {
		return err
	}
	ports, err := fleet.FreePorts(count)
	if err != nil {
		return err
	}
	for i := range count {
		n, err := f.newNode(program, directory, i, ports[i], seen)
		if err != nil {
			return err
		}
		f.all = append(f.all, n)
		if err := n.Start(); err != nil {
			return err
		}
		n.backend.Start()
	}
	return nil
}

func (f *nodes) configure(version int) error {
	return f.store.Configure(hosting.Document{
		Version:  version,
		Services: []hosting.Service{{Name: service, MaxConnections: maxConnections}},
		Organisations: []hosting.Organisation{
			{Name: "farm", Key: "key-of-farm", Rate: farmRate, Burst: farmRate},
			{Name: "poor", Key: "key-of-poor", Rate: poorRate, Burst: poorBurst},
		},
		Routes: []hosting.Route{
			{Host: host, Name: "urea", Service: service, Idempotent: true, Importance: 1},
			{Host: host, Name: "order", Service: service},
		},
	})
}

func (f *nodes) newNode(program, directory string, i int, ports fleet.Ports, seen func(*http.Request)) (*node, error) {
	n := &node{backend: hosting.NewBackend(fmt.Sprintf("i-%d", i), service, "", ports.Backend, slots)}
	n.backend.Serve = func(w http.ResponseWriter, r *http.Request) {
		seen(r)
		time.Sleep(5 * time.Millisecond)
		fmt.Fprintf(w, "answer to %s", r.Header.Get(fields.Request))
	}
	n.server = httptest.NewServer(n.backend)
	var err error
	if n.toBackend, err = newProxy(n.server.Listener.Addr().String()); err != nil {
		return nil, err
	}
	if n.toStore, err = newProxy(f.platform.Listener.Addr().String()); err != nil {
		return nil, err
	}
	n.backend.Address = n.toBackend.address()
	domains := []string{"north", "south"}
	n.Node, err = fleet.NewNode(fleet.Options{
		Program: program, Directory: directory, Number: i, Domain: domains[i%2], Domains: domains, Ports: ports,
		Backend: n.toBackend.address(), Service: service, Store: n.toStore.address(),
		Grace: grace, Notice: notice, RetryShare: retryShare, RetryCapacity: retryCapacity,
	})
	return n, err
}

// close ends every process that the fleet started, and the stand-ins.
func (f *nodes) close() {
	for _, n := range f.all {
		n.Close()
		n.backend.Close()
		n.server.CloseClientConnections()
		n.toBackend.close()
		n.toStore.close()
		n.server.Close()
	}
	f.platform.CloseClientConnections()
	f.platform.Close()
}
