//go:build review

// Package stand holds the stand-ins of the review's scripts: a small deployment of
// node processes with the platform's store, upstreams and clients.
package stand

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"coltsfootward/cmd/fleet"
	"coltsfootward/standin/hosting"
)

// Program is the node's program, as the deploy file's build line makes it.
const Program = "target/coltsfootward"

// Grace is the time between SIGTERM and SIGKILL.
const Grace = 6 * time.Second

// heartbeatInterval is the interval of an upstream's heartbeats.
const heartbeatInterval = 1500 * time.Millisecond

// Machine is a machine with a node process and the upstream beside it.
type Machine struct {
	Name, Zone string
	Ports      fleet.Ports
	Upstream   *Upstream

	settings string
	log      *os.File
	mu       sync.Mutex
	command  *exec.Cmd
	ended    chan struct{}
}

// Fleet is a deployment.
type Fleet struct {
	Store    *hosting.Store
	Machines []*Machine
	Record   *Record

	directory string
	listener  net.Listener
}

// Place says which service runs beside the node of a machine in a zone.
type Place struct {
	Zone, Service string
	Slots         int
}

// NewFleet starts the store, writes the configuration and starts a machine for each place.
func NewFleet(record *Record, configuration any, places []Place, serve func(u *Upstream, run *Run)) (_ *Fleet, err error) {
	directory, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	f := &Fleet{Store: hosting.NewStore(), Record: record, directory: directory}
	defer func() {
		if err != nil {
			f.Close()
		}
	}()
	if f.listener, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
		return nil, err
	}
	go func() { _ = http.Serve(f.listener, f.Store) }()
	text, err := json.Marshal(configuration)
	if err != nil {
		return nil, err
	}
	f.Store.Write("op", "config", text)
	template, err := os.ReadFile("deploy/node.toml")
	if err != nil {
		return nil, err
	}
	var zones []string
	for _, p := range places {
		if quoted := `"` + p.Zone + `"`; !strings.Contains(strings.Join(zones, ","), quoted) {
			zones = append(zones, quoted)
		}
	}
	ports, err := fleet.FreePorts(len(places))
	if err != nil {
		return nil, err
	}
	for i, p := range places {
		m := &Machine{Name: fmt.Sprintf("sidecar-%s-%d", p.Zone, i+1), Zone: p.Zone, Ports: ports[i]}
		if m.Upstream, err = NewUpstream(fmt.Sprintf("i-%d", i+1), p, m.Ports.Backend, record, serve); err != nil {
			return nil, err
		}
		f.Machines = append(f.Machines, m)
		settings := strings.NewReplacer(
			"{{node_name}}", m.Name, "{{zone}}", m.Zone, `{{#zones}}"{{@}}"{{,}}{{/zones}}`, strings.Join(zones, ","),
			"{{listen.outbound}}", m.Ports.Callers, "{{listen.control}}", m.Ports.Backend, "{{listen.inbound}}", m.Ports.Peers,
			"{{listen.ready}}", m.Ports.Ready, "{{ip}}:9464", m.Ports.Operators, "{{app_address}}", m.Upstream.Address,
			"{{service}}", p.Service, "{{platform.address}}", f.listener.Addr().String(), "{{bounds.grace}}", Grace.String(),
			"{{bounds.config_apply}}", "2000ms", "{{bounds.retry_budget_ratio}}", "0.2", "{{bounds.budget_slack}}", "50",
		).Replace(string(template))
		if strings.Contains(settings, "{{") && strings.Contains(strings.SplitAfterN(settings, "[deployment]", 2)[1], "{{") {
			return nil, fmt.Errorf("stand: deploy/node.toml has a placeholder that is not known here")
		}
		m.settings = filepath.Join(directory, m.Name+".toml")
		if err := os.WriteFile(m.settings, []byte(settings), 0o600); err != nil {
			return nil, err
		}
		if m.log, err = os.Create(filepath.Join(directory, m.Name+".log")); err != nil {
			return nil, err
		}
		if err := m.Start(); err != nil {
			return nil, err
		}
		m.Upstream.Start()
	}
	return f, nil
}

// WaitReady waits until all nodes are ready and know each other's upstreams.
func (f *Fleet) WaitReady() error {
	deadline := time.Now().Add(20 * time.Second)
	for _, m := range f.Machines {
		for !m.Ready() {
			if time.Now().After(deadline) {
				return fmt.Errorf("stand: %s is not ready", m.Name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	time.Sleep(5 * time.Second) // traffic starts some seconds after the machines do
	return nil
}

// Close ends all processes that the fleet started and removes its files. With KEEP=1 it
// leaves the files.
func (f *Fleet) Close() {
	for _, m := range f.Machines {
		if m.Upstream != nil {
			m.Upstream.Close()
		}
		if ended := m.Signal(syscall.SIGKILL); ended != nil {
			<-ended
		}
		if m.log != nil {
			m.log.Close()
		}
	}
	if f.listener != nil {
		f.listener.Close()
	}
	if os.Getenv("KEEP") == "" {
		os.RemoveAll(f.directory)
	} else {
		fmt.Println(f.directory)
	}
}

// Start starts the node process with the deploy file's command.
func (m *Machine) Start() error {
	m.mu.Lock()
	defer m.mu.Unlock()
	command := exec.Command(Program, "run", m.settings)
	command.Stdout, command.Stderr = m.log, m.log
	if err := command.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	m.command, m.ended = command, ended
	go func() {
		_ = command.Wait()
		m.mu.Lock()
		if m.command == command {
			m.command = nil
		}
		m.mu.Unlock()
		close(ended)
	}()
	return nil
}

// Signal signals the node process and returns a channel that is closed at its end, or nil
// if it does not run.
func (m *Machine) Signal(s syscall.Signal) <-chan struct{} {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.command == nil {
		return nil
	}
	_ = m.command.Process.Signal(s)
	return m.ended
}

// PID returns the process id of the node, or 0.
func (m *Machine) PID() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.command == nil {
		return 0
	}
	return m.command.Process.Pid
}

// Ready asks the node whether it is ready.
func (m *Machine) Ready() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get("http://" + m.Ports.Ready + "/ready")
	if err != nil {
		return false
	}
	_, _ = io.Copy(io.Discard, response.Body)
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}
