//go:build review

// Command 3 plays case 3: a machine of the system is stopped and started again while
// clients on it send further idempotent requests before the first has been answered. It
// exits with 1 if the node has passed requests on to an upstream and then ends their
// connection without an answer.
package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"coltsfootward/review/stand"
)

const (
	host = "loja.example"
	key  = "key-of-balcao"
	// clientsPerMachine clients each send depth requests at once on a kept connection.
	clientsPerMachine = 12
	depth             = 3
	pause             = 200 * time.Millisecond
	// workMean is that of the kind boot-fit; timeout and deadline are those of its route.
	workMean = 480 * time.Millisecond
	timeout  = 5 * time.Second
	deadline = 5 * time.Second
	// stops is how many machines are stopped, one after the other.
	stops = 3
)

func main() { os.Exit(play()) }

// play returns the exit status.
func play() int {
	trouble := os.Getenv("TROUBLE") != "0"
	record, err := stand.NewRecord("review/3/record.txt")
	if err != nil {
		return failed(err)
	}
	defer record.Close()
	configuration := stand.Configuration("r7", host, map[string]int{"fichas": 394},
		[]stand.Object{{"name": "balcao", "api_keys": []string{key}, "priority": 1, "rate_per_s": 2000, "burst": 2000}},
		stand.Route("boot-fit", "/fit/", "idempotent", "fichas", "5000ms", "1200ms", 1))
	var places []stand.Place
	for _, zone := range []string{"zona-um", "zona-dois", "zona-tres"} {
		places = append(places, stand.Place{Zone: zone, Service: "fichas", Slots: 100}, stand.Place{Zone: zone, Service: "fichas", Slots: 100})
	}
	f, err := stand.NewFleet(record, configuration, places, func(_ *stand.Upstream, run *stand.Run) {
		time.Sleep(time.Duration(float64(workMean) * (0.6 + 0.8*rand.Float64())))
		run.Answer(200, "fits "+run.ID)
	})
	if err != nil {
		return failed(err)
	}
	defer f.Close()
	if err := f.WaitReady(); err != nil {
		return failed(err)
	}
	p := &play3{fleet: f, record: record, stopped: make(map[string]time.Time)}
	stop := make(chan struct{})
	var wait sync.WaitGroup
	for _, m := range f.Machines {
		serving := &atomic.Bool{}
		serving.Store(true)
		wait.Go(func() { p.probe(m, serving, stop) })
		for range clientsPerMachine {
			wait.Go(func() { p.client(m, serving, stop) })
		}
	}
	time.Sleep(4 * time.Second)
	for i := range stops {
		if trouble {
			p.restart(f.Machines[2*i])
		}
		time.Sleep(5 * time.Second)
	}
	close(stop)
	wait.Wait()
	return p.judge()
}

func failed(err error) int {
	fmt.Println("the case could not run:", err)
	return 2
}

// request is a request that a client sent.
type request struct {
	id, machine  string
	sent, ended  time.Time
	status       int
	answeredFull bool
}

type play3 struct {
	fleet  *stand.Fleet
	record *stand.Record

	mu       sync.Mutex
	requests []*request
	// stopped is when SIGTERM was sent, by machine.
	stopped map[string]time.Time
}

// restart stops a node with SIGTERM, kills it after the grace period, and starts it again.
func (p *play3) restart(m *stand.Machine) {
	p.mu.Lock()
	p.stopped[m.Name] = time.Now()
	p.mu.Unlock()
	p.record.Add("trouble  SIGTERM to %s", m.Name)
	ended := m.Signal(syscall.SIGTERM)
	select {
	case <-ended:
		p.record.Add("ended    %s", m.Name)
	case <-time.After(stand.Grace):
		p.record.Add("trouble  SIGKILL to %s", m.Name)
		<-m.Signal(syscall.SIGKILL)
	}
	_ = m.Start()
	p.record.Add("start    %s", m.Name)
}

// probe asks the node every second whether it is ready. After two misses the clients on
// the machine open no connection to it, until it is ready again; they keep using those
// that are open.
func (p *play3) probe(m *stand.Machine, serving *atomic.Bool, stop chan struct{}) {
	misses := 0
	time.Sleep(time.Duration(rand.Float64() * float64(time.Second)))
	for {
		if m.Ready() {
			misses = 0
		} else {
			misses++
			p.record.Add("ready    %s: miss %d", m.Name, misses)
		}
		serving.Store(misses < 2)
		select {
		case <-stop:
			return
		case <-time.After(time.Second):
		}
	}
}

// client sends requests on a kept connection, depth of them before the first is answered.
func (p *play3) client(m *stand.Machine, serving *atomic.Bool, stop chan struct{}) {
	var conn net.Conn
	var reader *bufio.Reader
	time.Sleep(time.Duration(rand.Float64() * float64(time.Second)))
	for {
		select {
		case <-stop:
			if conn != nil {
				conn.Close()
			}
			return
		case <-time.After(time.Duration(rand.Float64() * 2 * float64(pause))):
		}
		if conn != nil && closed(conn, reader) {
			conn.Close()
			conn = nil
		}
		if conn == nil {
			if !serving.Load() {
				continue
			}
			var err error
			if conn, err = net.DialTimeout("tcp", m.Ports.Callers, time.Second); err != nil {
				conn = nil
				continue
			}
			reader = bufio.NewReader(conn)
		}
		if !p.exchange(m, conn, reader) {
			conn.Close()
			conn = nil
		}
	}
}

// closed reports whether the node has closed an idle connection.
func closed(conn net.Conn, reader *bufio.Reader) bool {
	_ = conn.SetReadDeadline(time.Now().Add(time.Millisecond))
	_, err := reader.Peek(1)
	timeout, ok := err.(net.Error)
	return !ok || !timeout.Timeout()
}

// exchange sends depth requests and reads their answers in order. It returns false if the
// connection is to be closed.
func (p *play3) exchange(m *stand.Machine, conn net.Conn, reader *bufio.Reader) bool {
	var text strings.Builder
	var batch []*request
	for range depth {
		r := &request{id: stand.NewID(), machine: m.Name, sent: time.Now()}
		batch = append(batch, r)
		fmt.Fprintf(&text, "GET /fit/%s HTTP/1.1\r\nHost: %s\r\nColtsfootward-Request-Id: %s\r\nColtsfootward-Deadline-Ms: %d\r\nAuthorization: Bearer %s\r\n\r\n",
			r.id, host, r.id, deadline.Milliseconds(), key)
		p.record.Add("sent     %s to %s: GET /fit/%s", r.id, m.Name, r.id)
	}
	p.mu.Lock()
	p.requests = append(p.requests, batch...)
	p.mu.Unlock()
	_ = conn.SetDeadline(time.Now().Add(deadline))
	_, err := io.WriteString(conn, text.String())
	open := err == nil
	for _, r := range batch {
		if open {
			open = p.receive(reader, r)
		}
		r.ended = time.Now()
		if r.answeredFull {
			p.record.Add("answered %s: %d", r.id, r.status)
		} else {
			p.record.Add("closed   %s: the connection ended without an answer", r.id)
		}
	}
	return open
}

// receive reads the answer to a request. It returns false if no further answer follows.
func (p *play3) receive(reader *bufio.Reader, r *request) bool {
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		return false
	}
	_, err = io.Copy(io.Discard, response.Body)
	r.status, r.answeredFull = response.StatusCode, err == nil
	return err == nil && !response.Close
}

// judge checks the rule LOST for the planned stops.
func (p *play3) judge() int {
	runs := make(map[string]int)
	for _, m := range p.fleet.Machines {
		for id, n := range m.Upstream.Runs() {
			runs[id] += n
		}
	}
	answered, lost, unread := 0, 0, 0
	for _, r := range p.requests {
		stopped, planned := p.stopped[r.machine]
		switch {
		case r.answeredFull:
			answered++
		case !planned || r.ended.Before(stopped) || r.ended.After(stopped.Add(stand.Grace+time.Second)):
			p.record.Add("other    %s at %s had no answer, away from planned work", r.id, r.machine)
		case runs[r.id] == 0:
			unread++ // sent behind another and not passed on to an upstream
		case r.ended.Sub(r.sent) >= timeout-250*time.Millisecond:
			// The route's timeout was reached.
		case r.ended.Sub(stopped) >= stand.Grace*5/6 && r.sent.Sub(stopped) <= 3*time.Second:
			// The upstream was still at work in the last sixth of the grace period.
		default:
			lost++
			p.record.Add("LOST     %s, sent to %s %.3f s after SIGTERM, passed on to an upstream, the connection ended %.3f s after SIGTERM",
				r.id, r.machine, r.sent.Sub(stopped).Seconds(), r.ended.Sub(stopped).Seconds())
		}
	}
	result := fmt.Sprintf("%d requests, %d answered, %d not passed on, %d passed on to an upstream and lost", len(p.requests), answered, unread, lost)
	p.record.Add("result   %s", result)
	fmt.Println(result)
	if lost > 0 {
		return 1
	}
	return 0
}
