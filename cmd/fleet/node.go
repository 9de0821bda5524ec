package fleet

import (
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/pelletier/go-toml/v2"
)

// Options say which node is run. All must be set.
type Options struct {
	// Program is the node's executable, Directory where its settings and log go.
	Program, Directory string
	Number             int
	Domain             string
	// Domains are all failure domains of the deployment.
	Domains []string
	Ports   Ports
	// Backend is the address of the backend server beside the node, Service its
	// service.
	Backend, Service string
	// Store is the address of the platform's store.
	Store string
	// Grace is how long after SIGTERM the node may run, Notice how long callers go
	// on coming after it said that it is not ready any more.
	Grace, Notice time.Duration
	// RetryShare and RetryCapacity bound the node's own repeats.
	RetryShare, RetryCapacity float64
}

// readyTimeout bounds one question whether a node is ready.
const readyTimeout = 500 * time.Millisecond

// Node is one node as a process. Create it with NewNode. It is safe for concurrent
// use.
type Node struct {
	options Options
	file    string
	log     *os.File

	mu      sync.Mutex
	command *exec.Cmd
	ended   chan struct{}
}

// NewNode writes the settings of a node that does not run yet.
func NewNode(o Options) (*Node, error) {
	type table = map[string]any
	text, err := toml.Marshal(table{
		"deployment": table{"kind": "hosted"},
		"instance":   table{"id": fmt.Sprintf("node-%d", o.Number), "domain": o.Domain, "domains": o.Domains},
		"listen": table{
			"callers": o.Ports.Callers, "backend": o.Ports.Backend, "peers": o.Ports.Peers,
			"operators": o.Ports.Operators, "ready": o.Ports.Ready,
		},
		"backend":  table{"address": o.Backend, "service": o.Service},
		"platform": table{"url": "http://" + o.Store},
		"stop":     table{"grace": o.Grace.String(), "notice": o.Notice.String()},
		"retries":  table{"share": o.RetryShare, "capacity": o.RetryCapacity},
	})
	if err != nil {
		return nil, fmt.Errorf("fleet: settings of node %d: %w", o.Number, err)
	}
	n := &Node{options: o, file: filepath.Join(o.Directory, fmt.Sprintf("node-%d.toml", o.Number))}
	if err := os.WriteFile(n.file, text, 0o600); err != nil {
		return nil, fmt.Errorf("fleet: settings of node %d: %w", o.Number, err)
	}
	if n.log, err = os.Create(filepath.Join(o.Directory, fmt.Sprintf("node-%d.log", o.Number))); err != nil {
		return nil, fmt.Errorf("fleet: log of node %d: %w", o.Number, err)
	}
	return n, nil
}

// Number returns which node of its fleet it is.
func (n *Node) Number() int { return n.options.Number }

// Ports returns where it listens.
func (n *Node) Ports() Ports { return n.options.Ports }

// Start starts the process unless it runs.
func (n *Node) Start() error {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.command != nil {
		return nil
	}
	command := exec.Command(n.options.Program, "run", n.file)
	command.Stdout, command.Stderr = n.log, n.log
	if err := command.Start(); err != nil {
		return fmt.Errorf("fleet: start node %d: %w", n.options.Number, err)
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

// Signal sends the process a signal, if it runs, and returns what is closed at its
// end; nil if it does not run.
func (n *Node) Signal(s syscall.Signal) <-chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.command == nil {
		return nil
	}
	_ = n.command.Process.Signal(s) // it may just have ended
	return n.ended
}

// Process returns the process's id, zero if it does not run.
func (n *Node) Process() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.command == nil {
		return 0
	}
	return n.command.Process.Pid
}

// Ready reports whether the node says that callers may come.
func (n *Node) Ready() bool {
	client := http.Client{Timeout: readyTimeout}
	response, err := client.Get("http://" + n.options.Ports.Ready + "/ready")
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// Close kills the process, if it runs, and waits for its end.
func (n *Node) Close() {
	if ended := n.Signal(syscall.SIGKILL); ended != nil {
		<-ended
	}
	n.log.Close()
}
