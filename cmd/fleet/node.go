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

// Options configure a node. Every field must be set, except that RetryShare and
// RetryBurst may be zero.
type Options struct {
	// Program is the path of the node's executable. Directory is where its settings and
	// log are written.
	Program, Directory string
	Number             int
	Domain             string
	// Domains lists all failure domains of the deployment.
	Domains []string
	Ports   Ports
	// Backend is the address of the backend server beside the node, and Service the
	// service that it provides.
	Backend, Service string
	// Store is the address of the platform's store.
	Store string
	// Grace is how long the node may run after SIGTERM. Notice is how long it still
	// accepts callers after it has reported that it is no longer ready.
	Grace, Notice time.Duration
	// RetryShare and RetryBurst limit the node's own retries.
	RetryShare, RetryBurst float64
	// Contended turns on what a node decides for contended services: retry grants,
	// attribution of calls, shares over the fleet and crossing by room.
	Contended bool
}

// readyTimeout bounds one readiness check.
const readyTimeout = 500 * time.Millisecond

// Node is one node process. Create it with NewNode. It is safe for concurrent use.
type Node struct {
	options      Options
	settingsFile string
	log          *os.File

	mu      sync.Mutex
	command *exec.Cmd
	ended   chan struct{}
}

// NewNode writes a node's settings file and creates its log. It does not start the
// process.
func NewNode(o Options) (*Node, error) {
	type table = map[string]any
	settings := table{
		"deployment": table{"kind": "hosted"},
		"instance":   table{"id": fmt.Sprintf("node-%d", o.Number), "domain": o.Domain, "domains": o.Domains},
		"listen": table{
			"callers": o.Ports.Callers, "backend": o.Ports.Backend, "peers": o.Ports.Peers,
			"operators": o.Ports.Operators, "ready": o.Ports.Ready,
		},
		"backend":  table{"address": o.Backend, "service": o.Service},
		"platform": table{"url": "http://" + o.Store},
		"stop":     table{"grace": o.Grace.String(), "notice": o.Notice.String()},
		"retries":  table{"share": o.RetryShare, "capacity": o.RetryBurst, "grants": o.Contended},
	}
	if o.Contended {
		settings["calls"] = table{"attribution": "deadline"}
		settings["shares"] = table{"scope": "fleet"}
		settings["placement"] = table{"crossing": "room"}
	}
	text, err := toml.Marshal(settings)
	if err != nil {
		return nil, fmt.Errorf("fleet: settings of node %d: %w", o.Number, err)
	}
	n := &Node{options: o, settingsFile: filepath.Join(o.Directory, fmt.Sprintf("node-%d.toml", o.Number))}
	if err := os.WriteFile(n.settingsFile, text, 0o600); err != nil {
		return nil, fmt.Errorf("fleet: settings of node %d: %w", o.Number, err)
	}
	if n.log, err = os.Create(filepath.Join(o.Directory, fmt.Sprintf("node-%d.log", o.Number))); err != nil {
		return nil, fmt.Errorf("fleet: log of node %d: %w", o.Number, err)
	}
	return n, nil
}

// Number returns the node's index in its fleet.
func (n *Node) Number() int { return n.options.Number }

// Ports returns the addresses at which the node listens.
func (n *Node) Ports() Ports { return n.options.Ports }

// Start starts the process unless it is running.
func (n *Node) Start() error {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.command != nil {
		return nil
	}
	command := exec.Command(n.options.Program, "run", n.settingsFile)
	command.Stdout, command.Stderr = n.log, n.log
	if err := command.Start(); err != nil {
		return fmt.Errorf("fleet: start node %d: %w", n.options.Number, err)
	}
	ended := make(chan struct{})
	n.command, n.ended = command, ended
	go func() {
		_ = command.Wait() // the node's log shows how it ended
		n.mu.Lock()
		defer n.mu.Unlock()
		n.command = nil
		close(ended)
	}()
	return nil
}

// Signal sends a signal to the process and returns a channel that is closed when the
// process ends. It returns nil if the process is not running.
func (n *Node) Signal(s syscall.Signal) <-chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.command == nil {
		return nil
	}
	_ = n.command.Process.Signal(s) // the process may have ended meanwhile
	return n.ended
}

// PID returns the process id, or zero if the process is not running.
func (n *Node) PID() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.command == nil {
		return 0
	}
	return n.command.Process.Pid
}

// Ready reports whether the node's readiness endpoint returns 200 OK.
func (n *Node) Ready() bool {
	client := http.Client{Timeout: readyTimeout}
	response, err := client.Get("http://" + n.options.Ports.Ready + "/ready")
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// Close kills the process if it is running, waits for its end and closes its log.
func (n *Node) Close() {
	if ended := n.Signal(syscall.SIGKILL); ended != nil {
		<-ended
	}
	n.log.Close()
}
