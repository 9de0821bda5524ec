//go:build review

// Package stand2 starts a small deployment for the scripts of the second review: the
// project's nodes as processes, with the settings of the deploy file's template, and in
// this process the platform's store, backend servers and clients.
package stand2

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"coltsfootward/standin/hosting"
)

// longest bounds a script's duration, so that it has ended after 120 s.
const longest = 114 * time.Second

// Names of the platform's header fields.
const (
	FieldRequest  = "Coltsfootward-Request-Id"
	FieldDeadline = "Coltsfootward-Deadline-Ms"
	FieldStamp    = "Coltsfootward-Response-Stamp"
	FieldNotRun   = "Coltsfootward-Not-Executed"
	FieldInstance = "Coltsfootward-Instance-Id"
	FieldExpect   = "Coltsfootward-Expect-Instance"
	FieldLoad     = "Coltsfootward-Server-Load"
)

// Object is a table of a message body.
type Object = map[string]any

// Trouble reports whether the script is to make the disruption.
func Trouble() bool { return os.Getenv("TROUBLE") != "0" }

// Record is the record of a run. It is safe for concurrent use.
type Record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

// NewRecord creates record.txt in the script's folder, which CASE names.
func NewRecord() *Record {
	file, err := os.Create(filepath.Join(os.Getenv("CASE"), "record.txt"))
	if err != nil {
		Fail("record: %v", err)
	}
	return &Record{file: file, start: time.Now()}
}

// Add writes a line with the time since the start.
func (r *Record) Add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f "+format+"\n", append([]any{time.Since(r.start).Seconds()}, args...)...)
}

// Say writes a line to the record and to the standard output.
func (r *Record) Say(format string, args ...any) {
	r.Add(format, args...)
	fmt.Printf(format+"\n", args...)
}

// Fail ends the script because the case could not run.
func Fail(format string, args ...any) {
	fmt.Fprintf(os.Stderr, format+"\n", args...)
	for _, f := range atFailure {
		f()
	}
	os.Exit(2)
}

var atFailure []func()

// Machine is a machine with a node and, beside it, a backend server.
type Machine struct {
	Name, Zone, Service, IP string
	settings                string
	log                     *os.File
	mu                      sync.Mutex
	command                 *exec.Cmd
	ended                   chan struct{}
}

// Outbound is the address of the machine's node for clients and for calls.
func (m *Machine) Outbound() string { return m.IP + ":8548" }

// Control is the address of the machine's node for heartbeats.
func (m *Machine) Control() string { return m.IP + ":8540" }

// App is the address of the machine's backend server.
func (m *Machine) App() string { return m.IP + ":8547" }

// Deployment is a running deployment. Create it with Start.
type Deployment struct {
	Store    *hosting.Store
	Machines []*Machine
	Folder   string
	// Bounds are those of the site that the deployment is like.
	Bounds  Bounds
	server  *http.Server
	address string
}

// Bounds are the bounds that differ between sites.
type Bounds struct {
	ConfigApply string
	BudgetSlack int
}

// Place says where a machine stands and what it runs.
type Place struct{ Zone, Service string }

// New prepares a deployment of one machine for each place, each with a loopback address of
// its own. The nodes do not run yet.
func New(bounds Bounds, places []Place) *Deployment {
	folder, err := os.MkdirTemp("", "review2-")
	if err != nil {
		Fail("folder: %v", err)
	}
	d := &Deployment{Store: hosting.NewStore(), Folder: folder, Bounds: bounds}
	atFailure = append(atFailure, d.Close)
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		select {
		case <-stopped:
			Fail("stopped from outside")
		case <-time.After(longest):
			Fail("not ended after %v", longest)
		}
	}()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		Fail("store: %v", err)
	}
	d.address = listener.Addr().String()
	d.server = &http.Server{Handler: d.Store}
	go func() { _ = d.server.Serve(listener) }()
	var zones []string
	for _, p := range places {
		if !strings.Contains(strings.Join(zones, ","), `"`+p.Zone+`"`) {
			zones = append(zones, `"`+p.Zone+`"`)
		}
	}
	net3 := 1 + rand.IntN(250)
	for i, p := range places {
		m := &Machine{Name: fmt.Sprintf("sidecar-%s-%d", p.Zone, i), Zone: p.Zone, Service: p.Service, IP: fmt.Sprintf("127.%d.%d.%d", 1+rand.IntN(250), net3, 10+i)}
		m.settings = filepath.Join(folder, m.Name+".toml")
		if err := os.WriteFile(m.settings, []byte(d.fill(m, zones)), 0o600); err != nil {
			Fail("settings: %v", err)
		}
		if m.log, err = os.Create(filepath.Join(folder, m.Name+".log")); err != nil {
			Fail("log: %v", err)
		}
		d.Machines = append(d.Machines, m)
	}
	return d
}

// fill fills the deploy file's template as the platform does.
func (d *Deployment) fill(m *Machine, zones []string) string {
	text, err := os.ReadFile("deploy/node.toml")
	if err != nil {
		Fail("template: %v", err)
	}
	filled := string(text)
	from, to := strings.Index(filled, "{{#zones}}"), strings.Index(filled, "{{/zones}}")
	if from < 0 || to < from {
		Fail("template: no zones")
	}
	filled = filled[:from] + strings.Join(zones, ",") + filled[to+len("{{/zones}}"):]
	filled = strings.NewReplacer(
		"{{node_name}}", m.Name, "{{zone}}", m.Zone, "{{ip}}", m.IP,
		"{{listen.outbound}}", m.Outbound(), "{{listen.control}}", m.Control(),
		"{{listen.inbound}}", m.IP+":8543", "{{listen.ready}}", m.IP+":8546",
		"{{app_address}}", m.App(), "{{service}}", m.Service, "{{platform.address}}", d.address,
		"{{bounds.grace}}", "6s", "{{bounds.config_apply}}", d.Bounds.ConfigApply,
		"{{bounds.retry_budget_ratio}}", "0.2", "{{bounds.budget_slack}}", fmt.Sprint(d.Bounds.BudgetSlack),
	).Replace(filled)
	if strings.Contains(filled, "{{") {
		Fail("template: a field is not known: %s", filled[strings.Index(filled, "{{"):])
	}
	return filled
}

// SetStore puts a handler in front of the store. Call it before the nodes run.
func (d *Deployment) SetStore(h http.Handler) { d.server.Handler = h }

// Configure writes the operator's configuration.
func (d *Deployment) Configure(configuration Object) {
	text, err := json.Marshal(configuration)
	if err != nil {
		Fail("configuration: %v", err)
	}
	d.Store.Write("op", "config", text)
}

// Start starts the machine's node with the command of the deploy file.
func (m *Machine) Start() {
	m.mu.Lock()
	defer m.mu.Unlock()
	command := exec.Command("target/coltsfootward", "run", m.settings)
	command.Stdout, command.Stderr = m.log, m.log
	if err := command.Start(); err != nil {
		Fail("start: %v: build with the command of the deploy file", err)
	}
	ended := make(chan struct{})
	m.command, m.ended = command, ended
	go func() {
		_ = command.Wait()
		close(ended)
	}()
}

// Signal sends a signal to the node's process.
func (m *Machine) Signal(s syscall.Signal) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.command != nil {
		_ = m.command.Process.Signal(s)
	}
}

// Ended returns a channel that is closed when the node's process has ended.
func (m *Machine) Ended() <-chan struct{} {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.ended
}

// HasEnded reports whether the node's process has ended.
func (m *Machine) HasEnded() bool {
	select {
	case <-m.Ended():
		return true
	default:
		return false
	}
}

// Panic returns the first lines of the node's panic without the paths of files; empty if its
// output has none.
func (m *Machine) Panic() string {
	log := m.Log()
	at := strings.Index(log, "panic:")
	if at < 0 {
		return ""
	}
	var kept []string
	for line := range strings.Lines(log[at:]) {
		if strings.HasPrefix(line, "\t") || strings.HasPrefix(line, "{") {
			continue
		}
		if kept = append(kept, line); len(kept) == 12 {
			break
		}
	}
	return strings.Join(kept, "")
}

// Beat sends the heartbeats of a backend server, one every 1.5 s, until the returned
// function is called.
func Beat(b *hosting.Backend) (stop func()) {
	done := make(chan struct{})
	var wait sync.WaitGroup
	wait.Go(func() {
		ticker := time.NewTicker(heartbeat)
		defer ticker.Stop()
		for {
			for range 3 {
				if b.SendHeartbeat() == nil {
					break
				}
				time.Sleep(100 * time.Millisecond)
			}
			select {
			case <-ticker.C:
			case <-done:
				return
			}
		}
	})
	return func() {
		close(done)
		wait.Wait()
	}
}

// heartbeat is the interval of the backend servers' heartbeats.
const heartbeat = 1500 * time.Millisecond

// Log returns the node's output.
func (m *Machine) Log() string {
	text, _ := os.ReadFile(filepath.Join(filepath.Dir(m.settings), m.Name+".log"))
	return string(text)
}

// AwaitReady waits until all nodes answer the platform's question with 200.
func (d *Deployment) AwaitReady(within time.Duration) {
	client := http.Client{Timeout: 500 * time.Millisecond}
	end := time.Now().Add(within)
	for _, m := range d.Machines {
		for {
			response, err := client.Get("http://" + m.IP + ":8546/ready")
			if err == nil {
				response.Body.Close()
			}
			if err == nil && response.StatusCode == http.StatusOK {
				break
			}
			if time.Now().After(end) {
				Fail("%s is not ready", m.Name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
}

// Close ends all processes and removes the folder.
func (d *Deployment) Close() {
	for _, m := range d.Machines {
		m.mu.Lock()
		running := m.command != nil
		m.mu.Unlock()
		if running {
			m.Signal(syscall.SIGKILL)
			<-m.ended
		}
		m.log.Close()
	}
	d.server.Close()
	if os.Getenv("KEEP") == "" {
		os.RemoveAll(d.Folder)
	}
}

// Answer is what a client got.
type Answer struct {
	Status     int
	Stamp      string
	Body       []byte
	RetryAfter string
	// Err is set if the connection ended without a complete answer.
	Err error
}

// Client is a client with one kept connection.
type Client struct {
	Address string
	conn    net.Conn
	reader  *bufio.Reader
}

// Send sends a request on the kept connection and waits for the answer. If ctx ends before
// that, it closes the connection.
func (c *Client) Send(ctx context.Context, method, host, path, id string, deadline time.Duration, header map[string]string, body []byte) Answer {
	if c.conn == nil {
		conn, err := net.DialTimeout("tcp", c.Address, time.Second)
		if err != nil {
			return Answer{Err: fmt.Errorf("connect: %w", err)}
		}
		c.conn, c.reader = conn, bufio.NewReader(conn)
	}
	conn := c.conn
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	defer stop()
	_ = conn.SetDeadline(time.Now().Add(deadline + 2*time.Second))
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\n", method, path, host, FieldRequest, id, FieldDeadline, deadline.Milliseconds())
	for name, value := range header {
		fmt.Fprintf(&b, "%s: %s\r\n", name, value)
	}
	if method == http.MethodPost {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(body))
	}
	b.WriteString("\r\n")
	b.Write(body)
	if _, err := io.WriteString(conn, b.String()); err != nil {
		c.Close()
		return Answer{Err: fmt.Errorf("send: %w", err)}
	}
	response, err := http.ReadResponse(c.reader, &http.Request{Method: method})
	if err != nil {
		c.Close()
		return Answer{Err: fmt.Errorf("no answer: %w", err)}
	}
	data, err := io.ReadAll(response.Body)
	if err != nil || response.Close {
		c.Close()
	}
	return Answer{Status: response.StatusCode, Stamp: response.Header.Get(FieldStamp), Body: data, RetryAfter: response.Header.Get("Retry-After"), Err: err}
}

// Close closes the connection.
func (c *Client) Close() {
	if c.conn != nil {
		c.conn.Close()
		c.conn = nil
	}
}
