package soak

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"coltsfootward/standin/hosting"
)

const (
	host = "soak.example"
	// poorRate and poorBurst are the limit of the organisation poor; that of farm
	// is never reached.
	poorRate  = 20
	poorBurst = 20
	slots     = 8
	grace     = 4 * time.Second
)

// document is the operators' configuration.
const document = `{"version":"r%d","services":[{"name":"quotes","health_path":"/health","max_connections":64}],
"tenants":[{"name":"farm","api_keys":["key-of-farm"],"rate_per_s":5000,"burst":5000},{"name":"poor","api_keys":["key-of-poor"],"rate_per_s":%d,"burst":%d}],
"virtual_hosts":[{"host":"soak.example","paths":[
{"name":"urea","prefix":"/urea/","kind":"idempotent","timeout":"2s","target_latency":"500ms","priority":1,"max_attempts":2,"service":"quotes"},
{"name":"order","prefix":"/order/","kind":"non_idempotent","timeout":"2s","target_latency":"500ms","priority":0,"max_attempts":2,"service":"quotes"}]}]}`

// fleet is the nodes with what they stand beside.
type fleet struct {
	store    *hosting.Store
	platform *httptest.Server
	nodes    []*node
}

// node is one node process, its backend server and the proxies around it.
type node struct {
	number             int
	program, file      string
	callers, ready     string
	backend            *hosting.Backend
	server             *httptest.Server
	toBackend, toStore *proxy
	log                *os.File
	mu                 sync.Mutex
	command            *exec.Cmd
	ended              chan struct{}
}

// newFleet starts count nodes of the program, in two failure domains, with their
// files in directory. seen is told of every run at a backend server.
func newFleet(program, directory string, count int, seen func(*http.Request)) (*fleet, error) {
	f := &fleet{store: hosting.NewStore()}
	f.platform = httptest.NewServer(f.store)
	f.configure(3)
	ports, err := freePorts(count, lowestPort, highestPort)
	if err != nil {
		f.close()
		return nil, err
	}
	for i := range count {
		n, err := f.newNode(program, directory, i, ports[i], seen)
		if err != nil {
			f.close()
			return nil, err
		}
		f.nodes = append(f.nodes, n)
		if err := n.start(); err != nil {
			f.close()
			return nil, err
		}
		n.backend.Start()
	}
	return f, nil
}

func (f *fleet) configure(version int) {
	f.store.Write("op", "config", fmt.Appendf(nil, document, version, poorRate, poorBurst))
}

func (f *fleet) newNode(program, directory string, i int, ports nodePorts, seen func(*http.Request)) (*node, error) {
	n := &node{number: i, program: program, callers: ports.callers, ready: "http://" + ports.ready + "/ready"}
	n.backend = hosting.NewBackend(fmt.Sprintf("i-%d", i), "quotes", "", ports.backend, slots)
	n.backend.Serve = func(w http.ResponseWriter, r *http.Request) {
		seen(r)
		time.Sleep(5 * time.Millisecond)
		fmt.Fprintf(w, "answer to %s", r.Header.Get("Coltsfootward-Request-Id"))
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
	n.file = filepath.Join(directory, fmt.Sprintf("node-%d.toml", i))
	text := fmt.Sprintf(`
[deployment]
kind = "hosted"
[instance]
id = "node-%d"
domain = %q
domains = ["north", "south"]
[listen]
callers = %q
backend = %q
peers = %q
operators = %q
ready = %q
[backend]
address = %q
service = "quotes"
[platform]
url = "http://%s"
[stop]
grace = %q
notice = "1500ms"
[retries]
share = 0.2
capacity = 48
`, i, []string{"north", "south"}[i%2], ports.callers, ports.backend, ports.peers, ports.operators, ports.ready, n.toBackend.address(), n.toStore.address(), grace)
	if err := os.WriteFile(n.file, []byte(text), 0o600); err != nil {
		return nil, err
	}
	n.log, err = os.Create(filepath.Join(directory, fmt.Sprintf("node-%d.log", i)))
	return n, err
}

// The ports of nodes lie below those that the machine hands out by itself: a node's
// own port would else be taken by some connection while the node is down.
const (
	lowestPort  = 12000
	highestPort = 32000
	portTries   = 1000
)

// nodePorts are the addresses at which a node listens.
type nodePorts struct {
	callers, backend, peers, operators, ready string
}

// freePorts returns addresses for count nodes, from lowest up to but not including
// highest, at which nothing listens. They are taken all at once, since a node that
// is starting doesn't hold its own yet.
func freePorts(count, lowest, highest int) ([]nodePorts, error) {
	nodes := make([]nodePorts, count)
	var wanted []*string
	for i := range nodes {
		n := &nodes[i]
		wanted = append(wanted, &n.callers, &n.backend, &n.peers, &n.operators, &n.ready)
	}
	for range portTries {
		if len(wanted) == 0 {
			return nodes, nil
		}
		address := fmt.Sprintf("127.0.0.1:%d", lowest+rand.IntN(highest-lowest))
		listener, err := net.Listen("tcp", address)
		if err != nil {
			continue // taken; there are others
		}
		defer listener.Close()
		*wanted[0], wanted = address, wanted[1:]
	}
	return nil, fmt.Errorf("%d nodes find no free ports between %d and %d", count, lowest, highest)
}

// start starts the process unless it runs.
func (n *node) start() error {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.command != nil {
		return nil
	}
	command := exec.Command(n.program, "run", n.file)
	command.Stdout, command.Stderr = n.log, n.log
	if err := command.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	n.command, n.ended = command, ended
	go func() {
		_ = command.Wait() // how it ended stands in its log
		n.mu.Lock()
		defer n.mu.Unlock()
		n.command = nil
		close(ended)
	}()
	return nil
}

// signal sends the process a signal, if it runs, and returns what is closed at its
// end; nil if it does not run.
func (n *node) signal(s syscall.Signal) <-chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.command == nil {
		return nil
	}
	_ = n.command.Process.Signal(s) // it may just have ended
	return n.ended
}

// isReady reports whether the node says that callers may come.
func (n *node) isReady() bool {
	client := http.Client{Timeout: 500 * time.Millisecond}
	response, err := client.Get(n.ready)
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// close ends every process that the fleet started, and the stand-ins.
func (f *fleet) close() {
	for _, n := range f.nodes {
		if ended := n.signal(syscall.SIGKILL); ended != nil {
			<-ended
		}
		n.backend.Close()
		n.server.CloseClientConnections()
		n.toBackend.close()
		n.toStore.close()
		n.server.Close()
		n.log.Close()
	}
	f.platform.CloseClientConnections()
	f.platform.Close()
}
