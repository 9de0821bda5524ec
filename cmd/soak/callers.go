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
	// callerDeadline is how long callers wait, callerSlack how long after that they
	// still listen.
	callerDeadline = 1500 * time.Millisecond
	callerSlack    = 3 * time.Second
	// callerPause is the mean time between two requests of a caller, poorPause that
	// of the callers of the limited organisation, who ask for twice its rate.
	callerPause = 15 * time.Millisecond
	poorPause   = 50 * time.Millisecond
	poorCallers = 2
)

// callers send requests until they are closed. Each keeps its connections open for
// many requests, until the node is gone.
type callers struct {
	done chan struct{}
	wait sync.WaitGroup
}

func startCallers(f *nodes, l *ledger, count int, seed uint64) *callers {
	c := &callers{done: make(chan struct{})}
	for i := range count + poorCallers {
		organisation, pause := "farm", callerPause
		if i >= count {
			organisation, pause = "poor", poorPause
		}
		source := rand.New(rand.NewPCG(seed, uint64(i)))
		c.wait.Go(func() { c.run(f, l, organisation, i, pause, source) })
	}
	return c
}

func (c *callers) close() {
	close(c.done)
	c.wait.Wait()
}

func (c *callers) run(f *nodes, l *ledger, organisation string, number int, pause time.Duration, source *rand.Rand) {
	transport := &http.Transport{MaxIdleConnsPerHost: 2}
	defer transport.CloseIdleConnections()
	client := &http.Client{Transport: transport, Timeout: callerDeadline + callerSlack}
	for i := 0; ; i++ {
		select {
		case <-time.After(time.Duration(source.ExpFloat64() * float64(pause))):
		case <-c.done:
			return
		}
		kind := "urea"
		if organisation == "farm" && source.IntN(2) == 0 {
			kind = "order"
		}
		id := fmt.Sprintf("%s-%s-%d-%d", organisation, kind, number, i)
		ask(client, f.all[source.IntN(len(f.all))], l, id)
	}
}

// ask sends one request and notes what the caller is told.
func ask(client *http.Client, n *node, l *ledger, id string) {
	organisation, _, _ := strings.Cut(id, "-")
	t := told{order: kindOf(id) == "order", node: n.Number(), sent: l.now()}
	defer func() { l.tell(id, t) }()
	method, body := http.MethodGet, io.Reader(nil)
	if t.order {
		// A reader of no known kind keeps the library from sending the order twice.
		method, body = http.MethodPost, io.MultiReader(strings.NewReader("order "+id))
	}
	request, err := http.NewRequest(method, "http://"+n.Ports().Callers+"/"+kindOf(id)+"/"+id, body)
	if err != nil {
		t.refused = true
		return
	}
	request.Host = host
	request.Header.Set(fields.Request, id)
	request.Header.Set(fields.Deadline, strconv.FormatInt(callerDeadline.Milliseconds(), 10))
	request.Header.Set("Authorization", "Bearer key-of-"+organisation)
	response, err := client.Do(request)
	if err != nil {
		var failed *net.OpError
		t.refused = errors.As(err, &failed) && failed.Op == "dial"
		return
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return // the answer broke off, and does not look whole
	}
	t.status = response.StatusCode
	t.whole = string(text) == "answer to "+id && response.Header.Get(fields.Stamp) != ""
}
