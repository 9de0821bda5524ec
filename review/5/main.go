//go:build review

// Case 5 as a script: the store is away for 4.5 s and comes back without its history.
package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"coltsfootward/review/stand2"
	"coltsfootward/standin/hosting"
)

const (
	host    = "andina.example"
	service = "resultados"
	// awayFor is how long the store is away, and dropAfter when in that time it drops its
	// history.
	awayFor   = 4500 * time.Millisecond
	dropAfter = 1100 * time.Millisecond
	// contact and configApply are the bounds of the site.
	contact     = 3 * time.Second
	configApply = 2 * time.Second
	// allowed is the number of requests that may be too late by the measure of this script.
	allowed = 0
)

// store answers no call while it is away. Calls that wait for a change and whose history
// it drops meanwhile stay without an answer, and so does their connection.
type store struct {
	inner   *hosting.Store
	mu      sync.Mutex
	away    bool
	dropped chan struct{}
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	away, dropped := s.away, s.dropped
	s.mu.Unlock()
	if away {
		<-r.Context().Done()
		return
	}
	if r.URL.Path != "/rows-feed" {
		s.inner.ServeHTTP(w, r)
		return
	}
	answer := &buffered{header: make(http.Header)}
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	finished := make(chan struct{})
	go func() {
		s.inner.ServeHTTP(answer, r.WithContext(ctx))
		close(finished)
	}()
	select {
	case <-finished:
		answer.writeTo(w)
	case <-dropped:
		<-r.Context().Done()
	}
}

// buffered is an answer that has not been sent yet.
type buffered struct {
	header http.Header
	status int
	body   []byte
}

func (b *buffered) Header() http.Header    { return b.header }
func (b *buffered) WriteHeader(status int) { b.status = status }
func (b *buffered) Write(p []byte) (int, error) {
	b.body = append(b.body, p...)
	return len(p), nil
}

func (b *buffered) writeTo(w http.ResponseWriter) {
	for name, values := range b.header {
		w.Header()[name] = values
	}
	if b.status != 0 {
		w.WriteHeader(b.status)
	}
	_, _ = w.Write(b.body)
}

func configuration(version int, keys ...string) stand2.Object {
	return stand2.Object{
		"version":  fmt.Sprintf("r%d", version),
		"services": []stand2.Object{{"name": service, "health_path": "/health", "max_connections": 64}},
		"tenants":  []stand2.Object{{"name": "agency", "api_keys": keys, "rate_per_s": 0, "burst": 0}},
		"virtual_hosts": []stand2.Object{{"host": host, "paths": []stand2.Object{{
			"name": "survey-lookup", "prefix": "/survey/", "kind": "idempotent", "timeout": "1200ms", "target_latency": "2000ms",
			"priority": 2, "max_attempts": 2, "service": service,
		}}}},
	}
}

func main() {
	record := stand2.NewRecord()
	d := stand2.New(stand2.Bounds{ConfigApply: "2000ms", BudgetSlack: 47}, []stand2.Place{
		{Zone: "quito-norte", Service: service}, {Zone: "quito-norte", Service: service}, {Zone: "quito-norte", Service: service}, {Zone: "quito-norte", Service: service},
		{Zone: "quito-sur", Service: service}, {Zone: "quito-sur", Service: service}, {Zone: "quito-sur", Service: service}, {Zone: "quito-sur", Service: service},
	})
	defer d.Close()
	s := &store{inner: d.Store, dropped: make(chan struct{})}
	d.SetStore(s)
	d.Configure(configuration(3, "key-one", "key-two"))
	var ran atomic.Int64
	for i, m := range d.Machines {
		b := hosting.NewBackend(fmt.Sprintf("i-%d", i), m.Service, m.App(), m.Control(), 16)
		b.DiscardRuns = true
		b.Serve = func(w http.ResponseWriter, r *http.Request) {
			ran.Add(1)
			record.Add("upstream %d runs %s", i, r.Header.Get(stand2.FieldRequest))
			time.Sleep(20 * time.Millisecond)
			fmt.Fprintf(w, "answer to %s", r.Header.Get(stand2.FieldRequest))
		}
		listener, err := net.Listen("tcp", m.App())
		if err != nil {
			stand2.Fail("upstream: %v", err)
		}
		server := &http.Server{Handler: b}
		go func() { _ = server.Serve(listener) }()
		defer server.Close()
		m.Start()
		defer stand2.Beat(b)()
	}
	d.AwaitReady(20 * time.Second)
	time.Sleep(6 * time.Second) // the nodes that follow the document do so by now

	if stand2.Trouble() {
		record.Say("the store is away for %v", awayFor)
		s.mu.Lock()
		s.away = true
		s.mu.Unlock()
		time.Sleep(dropAfter)
		d.Store.DropHistory()
		s.mu.Lock()
		close(s.dropped)
		s.dropped = make(chan struct{})
		s.mu.Unlock()
		time.Sleep(awayFor - dropAfter)
		s.mu.Lock()
		s.away = false
		s.mu.Unlock()
	}
	time.Sleep(contact)
	d.Configure(configuration(7, "key-one"))
	record.Say("key-two is taken away; acknowledged")
	revoked := time.Now()
	time.Sleep(configApply)

	var wait sync.WaitGroup
	var late, right, other atomic.Int64
	var last atomic.Int64
	for i, m := range d.Machines {
		wait.Go(func() {
			c := &stand2.Client{Address: m.Outbound()}
			defer c.Close()
			for n := 0; time.Since(revoked) < 32*time.Second; n++ {
				id := fmt.Sprintf("m%d-%d", i, n)
				sent := time.Since(revoked)
				a := c.Send(context.Background(), http.MethodGet, host, "/survey/"+id, id, 6*time.Second, map[string]string{"Authorization": "Bearer key-two"}, nil)
				record.Add("%s sent %v after the acknowledgement: %d %v", id, sent.Round(time.Millisecond), a.Status, a.Err)
				switch {
				case a.Status == http.StatusOK:
					late.Add(1)
					last.Store(max(last.Load(), int64(sent)))
				case a.Status == http.StatusUnauthorized:
					right.Add(1)
				default:
					other.Add(1)
				}
				time.Sleep(200 * time.Millisecond)
			}
		})
	}
	wait.Wait()
	record.Say("of the requests with key-two that were sent later than %v after the acknowledgement, %d were run, %d got 401, %d another answer", configApply, late.Load(), right.Load(), other.Load())
	if late.Load() > allowed {
		record.Say("CONFIG: the last of them was sent %v after it", time.Duration(last.Load()).Round(time.Millisecond))
		d.Close()
		os.Exit(1)
	}
	if right.Load() == 0 {
		d.Close()
		os.Exit(2)
	}
}
