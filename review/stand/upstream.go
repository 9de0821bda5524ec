//go:build review

package stand

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// Upstream is a stand-in for an upstream: a server of HTTP/1.1 with one request at a time
// on a connection.
type Upstream struct {
	ID, Service, Zone, Address string
	Slots                      int

	control  string
	record   *Record
	serve    func(u *Upstream, run *Run)
	listener net.Listener
	done     chan struct{}
	born     int64

	mu       sync.Mutex
	sequence int
	running  int
	runs     map[string]int
}

// Run is a request that the upstream runs. Serve writes the answer with Answer, and may
// set Late, bytes that are written when the connection's next request has begun to run.
type Run struct {
	Request *http.Request
	ID      string
	Body    int64
	Late    []byte

	upstream *Upstream
	conn     net.Conn
	failed   bool
}

// NewUpstream listens on a free port.
func NewUpstream(id string, p Place, control string, record *Record, serve func(*Upstream, *Run)) (*Upstream, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	return &Upstream{
		ID: id, Service: p.Service, Zone: p.Zone, Address: listener.Addr().String(), Slots: p.Slots, control: control,
		record: record, serve: serve, listener: listener, done: make(chan struct{}), born: time.Now().UnixMilli(), runs: make(map[string]int),
	}, nil
}

// Start serves requests and sends heartbeats until Close.
func (u *Upstream) Start() {
	go func() {
		for {
			conn, err := u.listener.Accept()
			if err != nil {
				return
			}
			go u.serveConn(conn)
		}
	}()
	go func() {
		for {
			u.beat()
			select {
			case <-time.After(heartbeatInterval):
			case <-u.done:
				return
			}
		}
	}()
}

// Close ends the upstream.
func (u *Upstream) Close() {
	close(u.done)
	u.listener.Close()
}

// Runs returns how often each request began to run.
func (u *Upstream) Runs() map[string]int {
	u.mu.Lock()
	defer u.mu.Unlock()
	all := make(map[string]int, len(u.runs))
	for id, n := range u.runs {
		all[id] = n
	}
	return all
}

func (u *Upstream) beat() {
	u.mu.Lock()
	u.sequence++
	body, _ := json.Marshal(map[string]any{
		"service": u.Service, "address": u.Address, "zone": u.Zone, "version": "v1", "slots": u.Slots, "state": "ready",
		"cold_remaining": "0ms", "sequence": u.sequence, "born": u.born,
	})
	u.mu.Unlock()
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Post("http://"+u.control+"/instances/"+u.ID+"/heartbeat", "application/json", bytes.NewReader(body))
	if err == nil {
		response.Body.Close()
	}
}

func (u *Upstream) load() string {
	u.mu.Lock()
	defer u.mu.Unlock()
	return fmt.Sprintf("%d,%d,%d", min(u.running, u.Slots), max(u.running-u.Slots, 0), u.Slots)
}

func (u *Upstream) serveConn(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	var late []byte
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		n, err := io.Copy(io.Discard, request.Body)
		if err != nil {
			return
		}
		expected := request.Header.Get("Coltsfootward-Expect-Instance")
		switch {
		case request.URL.Path == "/health":
			_, err = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nColtsfootward-Instance-Id: %s\r\nColtsfootward-Server-Load: %s\r\nContent-Length: 0\r\n\r\n", u.ID, u.load())
		case expected != "" && expected != u.ID:
			_, err = fmt.Fprintf(conn, "HTTP/1.1 421 Misdirected Request\r\nColtsfootward-Instance-Id: %s\r\nContent-Length: 0\r\n\r\n", u.ID)
		default:
			run := &Run{Request: request, ID: request.Header.Get("Coltsfootward-Request-Id"), Body: n, upstream: u, conn: conn}
			u.begin(run)
			if len(late) > 0 {
				_, _ = conn.Write(late) // a closed connection shows with the answer
			}
			u.serve(u, run)
			u.end(run)
			late = run.Late
			if run.failed {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

func (u *Upstream) begin(run *Run) {
	u.mu.Lock()
	u.running++
	u.runs[run.ID]++
	u.mu.Unlock()
	u.record.Add("run      %s at %s (%s) %s %s", run.ID, u.ID, u.Service, run.Request.Method, run.Request.URL.Path)
}

func (u *Upstream) end(run *Run) {
	u.mu.Lock()
	u.running--
	u.mu.Unlock()
	if run.failed {
		u.record.Add("ran      %s at %s: its connection is closed, the answer can't be given", run.ID, u.ID)
		return
	}
	u.record.Add("ran      %s at %s, answered", run.ID, u.ID)
}

// Answer writes a complete answer.
func (r *Run) Answer(status int, body string) {
	_, err := fmt.Fprintf(r.conn, "HTTP/1.1 %d %s\r\nColtsfootward-Request-Id: %s\r\nColtsfootward-Response-Stamp: %s.%s\r\nColtsfootward-Server-Load: %s\r\nContent-Length: %d\r\n\r\n%s",
		status, http.StatusText(status), r.ID, r.upstream.ID, r.ID, r.upstream.load(), len(body), body)
	r.failed = err != nil
}

// Alive reports whether the connection on which the request came is still open.
func (r *Run) Alive() bool {
	_ = r.conn.SetReadDeadline(time.Now().Add(time.Millisecond))
	defer func() { _ = r.conn.SetReadDeadline(time.Time{}) }()
	_, err := r.conn.Read(make([]byte, 1))
	timeout, ok := err.(net.Error)
	return ok && timeout.Timeout()
}
