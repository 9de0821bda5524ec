//go:build review

// Case 4: an upstream gives a second answer to a request, late, at the point where the
// answer to the next request on the connection is expected.
package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"coltsfootward/review/stand2"
	"coltsfootward/standin/hosting"
)

const (
	host    = "certifica.example"
	service = "certifica"
	// extraEvery says which of its answers the faulty upstream gives twice: one in 50.
	extraEvery = 50
	clients    = 6
	length     = 40 * time.Second
	work       = 20 * time.Millisecond
)

// upstream is a backend server. It serves one request at a time on a connection.
type upstream struct {
	*hosting.Backend
	faulty  bool
	record  *stand2.Record
	runs    *runs
	answers atomic.Int64
	extras  atomic.Int64
}

// runs counts how often each request ran.
type runs struct {
	mu    sync.Mutex
	count map[string]int
}

func (r *runs) add(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.count[id]++
}

func (r *runs) of(id string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.count[id]
}

func (u *upstream) serve(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go u.connection(c)
	}
}

func (u *upstream) connection(c net.Conn) {
	defer c.Close()
	reader := bufio.NewReader(c)
	// second is a second answer to the request before this one.
	second := ""
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		id := r.Header.Get(stand2.FieldRequest)
		switch {
		case r.URL.Path == "/health":
			_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: 0,0,%d\r\nContent-Length: 0\r\n\r\n", stand2.FieldInstance, u.ID, stand2.FieldLoad, u.Slots)
			continue
		case r.Header.Get(stand2.FieldExpect) != "" && r.Header.Get(stand2.FieldExpect) != u.ID:
			_, _ = fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\n%s: %s\r\nContent-Length: 0\r\n\r\n", stand2.FieldRequest, id)
			continue
		}
		if second != "" {
			u.extras.Add(1)
			u.record.Add("%s: second answer to %s arrives before the answer to %s", u.ID, second, id)
			_, _ = fmt.Fprintf(c, "HTTP/1.1 503 Service Unavailable\r\n%s: %s\r\n%s: 1\r\n%s: stamp-of-%s\r\nContent-Length: 0\r\n\r\n",
				stand2.FieldRequest, second, stand2.FieldNotRun, stand2.FieldStamp, u.ID)
			second = ""
		}
		u.runs.add(id)
		u.record.Add("%s: runs %s", u.ID, id)
		time.Sleep(work)
		text := "filed " + id
		if _, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: stamp-of-%s\r\n%s: 1,0,%d\r\nContent-Length: %d\r\n\r\n%s",
			stand2.FieldRequest, id, stand2.FieldStamp, u.ID, stand2.FieldLoad, u.Slots, len(text), text); err != nil {
			return
		}
		if n := u.answers.Add(1); u.faulty && stand2.Trouble() && n%extraEvery == 0 {
			second = id
		}
	}
}

func main() {
	record := stand2.NewRecord()
	d := stand2.New(stand2.Bounds{ConfigApply: "2000ms", BudgetSlack: 47}, []stand2.Place{
		{Zone: "quito-norte", Service: "resultados"},
		{Zone: "quito-norte", Service: service}, {Zone: "quito-sur", Service: service},
	})
	defer d.Close()
	d.Configure(stand2.Object{
		"version": "r3",
		"services": []stand2.Object{
			{"name": "resultados", "health_path": "/health", "max_connections": 64},
			{"name": service, "health_path": "/health", "max_connections": 64},
		},
		"virtual_hosts": []stand2.Object{{"host": host, "paths": []stand2.Object{{
			"name": "cert-filing", "prefix": "/filing/", "kind": "non_idempotent", "timeout": "1500ms", "target_latency": "2000ms",
			"priority": 0, "max_attempts": 2, "service": service,
		}}}},
	})
	executed := &runs{count: make(map[string]int)}
	var upstreams []*upstream
	for i, m := range d.Machines {
		u := &upstream{Backend: hosting.NewBackend(fmt.Sprintf("i-%d", i), m.Service, m.App(), m.Control(), 16), record: record, runs: executed, faulty: i == 1}
		listener, err := net.Listen("tcp", m.App())
		if err != nil {
			stand2.Fail("upstream: %v", err)
		}
		defer listener.Close()
		go u.serve(listener)
		m.Start()
		defer stand2.Beat(u.Backend)()
		upstreams = append(upstreams, u)
	}
	d.AwaitReady(20 * time.Second)
	time.Sleep(2 * time.Second)

	var mu sync.Mutex
	answers := make(map[string]stand2.Answer)
	var wait sync.WaitGroup
	end := time.Now().Add(length)
	for i := range clients {
		wait.Go(func() {
			c := &stand2.Client{Address: d.Machines[0].Outbound()}
			defer c.Close()
			for n := 0; time.Now().Before(end); n++ {
				id := fmt.Sprintf("c%d-%d", i, n)
				a := c.Send(context.Background(), http.MethodPost, host, "/filing/"+id, id, 6*time.Second, nil, []byte(strings.Repeat("x", 400)))
				record.Add("client %d: %s: %d %v", i, id, a.Status, a.Err)
				mu.Lock()
				answers[id] = a
				mu.Unlock()
				time.Sleep(30 * time.Millisecond)
			}
		})
	}
	wait.Wait()
	time.Sleep(2 * time.Second)
	twice, refused, served := 0, 0, 0
	for id, a := range answers {
		n := executed.of(id)
		switch {
		case n > 1:
			twice++
			record.Add("TWICE: %s ran %d times and was answered %d", id, n, a.Status)
		case n > 0 && (a.Status == 429 || a.Status == 503 || a.Status == 408 || a.Status == 421):
			refused++
			record.Add("REFUSED: %s ran and was answered %d", id, a.Status)
		}
		if a.Status == 200 {
			served++
		}
	}
	record.Say("%d requests, %d served, %d answers of %d of the faulty upstream were followed by a second one; %d ran twice, %d ran and were refused",
		len(answers), served, upstreams[1].extras.Load(), upstreams[1].answers.Load(), twice, refused)
	if served*10 < len(answers)*9 {
		d.Close()
		os.Exit(2)
	}
	if twice+refused > 0 {
		d.Close()
		os.Exit(1)
	}
}
