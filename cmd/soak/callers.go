package soak

import (
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// callerDeadline is the deadline that callers send with each request. Their HTTP
	// clients time out clientMargin later, so that a late response is still recorded.
	callerDeadline = 1500 * time.Millisecond
	clientMargin   = 3 * time.Second
	// callerInterval is the mean time between two requests of a caller. poorInterval is
	// that of the callers of the rate-limited organisation, which together send at
	// twice its rate.
	callerInterval = 15 * time.Millisecond
	poorInterval   = 50 * time.Millisecond
	poorCallers    = 2
)

// callers send requests until they are closed. Each of them reuses its connections for
// many requests.
type callers struct {
	done chan struct{}
	wait sync.WaitGroup
}

func startCallers(f *soakFleet, l *ledger, count int, seed uint64) *callers {
	c := &callers{done: make(chan struct{})}
	for i := range count + poorCallers {
		organisation, interval := "farm", callerInterval
		if i >= count {
			organisation, interval = "poor", poorInterval
		}
		source := rand.New(rand.NewPCG(seed, uint64(i)))
		c.wait.Go(func() { c.run(f, l, organisation, i, interval, source) })
	}
	return c
}

func (c *callers) close() {
	close(c.done)
	c.wait.Wait()
}

func (c *callers) run(f *soakFleet, l *ledger, organisation string, number int, interval time.Duration, source *rand.Rand) {
	transport := &http.Transport{MaxIdleConnsPerHost: 2}
	defer transport.CloseIdleConnections()
	client := &http.Client{Transport: transport, Timeout: callerDeadline + clientMargin}
	for i := 0; ; i++ {
		select {
		case <-time.After(time.Duration(source.ExpFloat64() * float64(interval))):
		case <-c.done:
			return
		}
		route := "urea"
		if organisation == "farm" && source.IntN(2) == 0 {
			route = "order"
		}
		id := fmt.Sprintf("%s-%s-%d-%d", organisation, route, number, i)
		sendRequest(client, f.nodes[source.IntN(len(f.nodes))], l, id)
	}
}

// sendRequest sends one request and records its outcome.
func sendRequest(client *http.Client, n *node, l *ledger, id string) {
	organisation, _, _ := strings.Cut(id, "-")
	o := outcome{order: routeOf(id) == "order", node: n.Number(), sent: l.now()}
	defer func() { l.recordOutcome(id, o) }()
	method, body := http.MethodGet, io.Reader(nil)
	if o.order {
		// A body of a type that net/http doesn't recognise cannot be rewound, so the
		// client never sends the order a second time.
		method, body = http.MethodPost, io.MultiReader(strings.NewReader("order "+id))
	}
	request, err := http.NewRequest(method, "http://"+n.Ports().Callers+"/"+routeOf(id)+"/"+id, body)
	if err != nil {
		o.notConnected = true
		return
	}
	setFields(request, id, organisation)
	response, err := client.Do(request)
	if err != nil {
		var opError *net.OpError
		o.notConnected = errors.As(err, &opError) && opError.Op == "dial"
		return
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return // the response was truncated; complete stays false
	}
	o.status = response.StatusCode
	o.complete = string(text) == "answer to "+id && response.Header.Get(fields.Stamp) != ""
}

// setFields sets the fields that each request carries.
func setFields(request *http.Request, id, organisation string) {
	request.Host = host
	request.Header.Set(fields.Request, id)
	request.Header.Set(fields.Deadline, strconv.FormatInt(callerDeadline.Milliseconds(), 10))
	request.Header.Set("Authorization", "Bearer key-of-"+organisation)
}
