package upstream_test

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"

	"coltsfootward"
	"coltsfootward/core/node"
	"coltsfootward/io/caller"
	"coltsfootward/io/iotest"
)

const callerKey = "key-of-the-traders"

// start starts a node with the service orders and returns it.
func start(t *testing.T) *iotest.Node {
	t.Helper()
	table := iotest.NewTable(
		coltsfootward.Change{Organisation: &coltsfootward.Organisation{Name: "traders", Rate: coltsfootward.Rate{PerSecond: 1e6, Burst: 1e6}}},
		coltsfootward.Change{Key: &coltsfootward.Key{ID: "k", Digest: coltsfootward.DigestKey(callerKey), Organisation: "traders"}},
		coltsfootward.Change{Service: &coltsfootward.Service{Name: "orders"}},
	)
	self := coltsfootward.Instance{ID: "north-1", Domain: "north"}
	return iotest.Start(t, node.Options{Self: self, Domains: []coltsfootward.FailureDomain{"north"}}, table, nil)
}

// faultyServer is a backend server that fails at a chosen point of each exchange.
type faultyServer struct {
	listener net.Listener
	// serve handles the n-th request on a connection, whose head has been read,
	// and reports whether the connection stays open.
	serve func(c net.Conn, r *http.Request, n int) bool
	// closesAt is the point at which connections are closed before a request's head
	// has been read.
	closesAt closePoint
	wait     sync.WaitGroup

	mu    sync.Mutex
	runs  map[string]int
	conns []net.Conn
}

// closePoint is the point at which a faultyServer closes a connection early.
type closePoint string

const (
	// closeNever reads the head of every request.
	closeNever closePoint = ""
	// closeOnAccept closes the connection as soon as it is accepted.
	closeOnAccept closePoint = "at once"
	// closeOnFirstByte closes the connection once a byte of the request has arrived.
	closeOnFirstByte closePoint = "at the first byte"
)

func newFaultyServer(t *testing.T, closes closePoint, serve func(net.Conn, *http.Request, int) bool) *faultyServer {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatalf("listen: %v", err)
	}
	f := &faultyServer{listener: l, closesAt: closes, serve: serve, runs: make(map[string]int)}
	f.wait.Go(f.accept)
	t.Cleanup(f.close)
	return f
}

func (f *faultyServer) close() {
	f.listener.Close()
	f.mu.Lock()
	for _, c := range f.conns {
		c.Close()
	}
	f.mu.Unlock()
	f.wait.Wait()
}

func (f *faultyServer) accept() {
	for {
		c, err := f.listener.Accept()
		if err != nil {
			return
		}
		f.mu.Lock()
		f.conns = append(f.conns, c)
		f.mu.Unlock()
		f.wait.Go(func() { f.serveConn(c) })
	}
}

func (f *faultyServer) serveConn(c net.Conn) {
	defer c.Close()
	if f.closesAt == closeOnAccept {
		return
	}
	reader := bufio.NewReader(c)
	if f.closesAt == closeOnFirstByte {
		_, _ = reader.Peek(1)
		return
	}
	for n := 0; ; n++ {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		f.mu.Lock()
		f.runs[r.Header.Get(caller.HeaderIdempotencyKey)]++
		f.mu.Unlock()
		if !f.serve(c, r, n) {
			return
		}
	}
}

func (f *faultyServer) runCount(key string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.runs[key]
}

const completeResponse = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole"

// respond returns a serve function that reads the request's body, writes text and
// reports keepOpen.
func respond(text string, keepOpen bool) func(net.Conn, *http.Request, int) bool {
	return func(c net.Conn, r *http.Request, _ int) bool {
		_, _ = io.Copy(io.Discard, r.Body)
		_, _ = io.WriteString(c, text)
		return keepOpen
	}
}

// send sends an order and returns its outcome: the response's status, the execution
// that a refusal reports, or "aborted" for a truncated body.
func send(t *testing.T, n *iotest.Node, key, body, timeout string) string {
	t.Helper()
	request, err := http.NewRequest(http.MethodPost, "http://"+n.CallerAddress+"/orders/place", strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	request.Header.Set("Authorization", "Bearer "+callerKey)
	request.Header.Set(caller.HeaderIdempotencyKey, key)
	if timeout != "" {
		request.Header.Set(caller.HeaderTimeout, timeout)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return "aborted"
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	switch {
	case err != nil:
		return "aborted"
	case response.Header.Get(caller.HeaderRefusal) != "":
		return response.Header.Get(caller.HeaderExecution)
	case string(data) != "whole":
		return "wrong body " + string(data)
	default:
		return fmt.Sprint(response.StatusCode)
	}
}

// The backend server fails at some point of the exchange while it handles an order.
// If the caller receives "not run" after a byte of the request was sent, it sends the
// order again, and the order may run twice. If the caller receives no outcome, the order
// is lost.
func TestOutcomeForEachFailurePoint(t *testing.T) {
	const unknown, notRun = string(coltsfootward.ExecutionUnknown), string(coltsfootward.ExecutionNotRun)
	for _, test := range []struct {
		name    string
		serve   func(net.Conn, *http.Request, int) bool
		closes  closePoint
		down    bool
		body    string
		timeout string
		want    string
		runs    int
	}{
		{name: "nothing listens", down: true, want: notRun, runs: 0},
		// The first byte may be written before or after the close, so either outcome
		// may be reported. Both are correct, since the request can't have run.
		{name: "connection closed at once", closes: closeOnAccept, want: notRun + " or " + unknown, runs: 0},
		{name: "connection closed before the request is read", closes: closeOnFirstByte, want: unknown, runs: 0},
		{name: "killed after the head", serve: func(net.Conn, *http.Request, int) bool { return false }, body: strings.Repeat("x", 1<<19), want: unknown, runs: 1},
		{name: "killed after the request", serve: respond("", false), body: "order", want: unknown, runs: 1},
		{name: "killed within the response's head", serve: respond("HTTP/1.1 200 OK\r\nContent-Le", false), want: unknown, runs: 1},
		{name: "killed within the response's body", serve: respond("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwho", false), want: "aborted", runs: 1},
		{name: "killed within a chunk", serve: respond("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwho", false), want: "aborted", runs: 1},
		{name: "killed before the last chunk", serve: respond("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n", false), want: "aborted", runs: 1},
		{name: "body without a length", serve: respond("HTTP/1.1 200 OK\r\n\r\nwho", false), want: unknown, runs: 1},
		{name: "upgrade that was not requested", serve: respond("HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\nConnection: Upgrade\r\n\r\n", false), want: unknown, runs: 1},
		{name: "interim responses first", serve: respond("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\n\r\n"+completeResponse, true), want: "200", runs: 1},
		{name: "redirect is relayed to the caller", serve: respond("HTTP/1.1 307 Temporary Redirect\r\nContent-Length: 5\r\n\r\nwhole", true), want: "307", runs: 1},
		{name: "response before the body is read", serve: func(c net.Conn, _ *http.Request, _ int) bool {
			_, _ = io.WriteString(c, completeResponse)
			return false
		}, body: "short", want: "200", runs: 1},
		{name: "empty body", serve: respond(completeResponse, true), want: "200", runs: 1},
		{name: "timeout while the request runs", serve: func(c net.Conn, r *http.Request, _ int) bool {
			_, _ = io.Copy(io.Discard, r.Body)
			_, _ = c.Read(make([]byte, 1)) // until the node closes the connection
			return false
		}, timeout: "200", want: unknown, runs: 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			n := start(t)
			backend := newFaultyServer(t, test.closes, test.serve)
			if test.down {
				backend.close()
			}
			n.Announce(t, backend.listener.Addr().String(), "orders", 4)
			n.AwaitUpstreams(t, 1)
			if got := send(t, n, "order-1", test.body, test.timeout); !slices.Contains(strings.Split(test.want, " or "), got) {
				t.Errorf("got outcome %s, want %s", got, test.want)
			}
			if got := backend.runCount("order-1"); got != test.runs {
				t.Errorf("got %d runs, want %d", got, test.runs)
			}
		})
	}
}

// The backend server closes a reused connection just as the next order arrives on
// it. net/http would retry a request with an Idempotency-Key on a new connection, so
// that the order runs twice although the node has made one attempt.
func TestOrderOnClosedIdleConnectionRunsOnce(t *testing.T) {
	for _, body := range []string{"", "order"} {
		n := start(t)
		backend := newFaultyServer(t, closeNever, func(c net.Conn, r *http.Request, number int) bool {
			if number == 0 {
				return respond(completeResponse, true)(c, r, number)
			}
			_, _ = io.Copy(io.Discard, r.Body)
			return false
		})
		n.Announce(t, backend.listener.Addr().String(), "orders", 1)
		n.AwaitUpstreams(t, 1)
		if got := send(t, n, "first", body, ""); got != "200" {
			t.Fatalf("first order: got %s, want 200", got)
		}
		if got := send(t, n, "second", body, ""); got != string(coltsfootward.ExecutionUnknown) {
			t.Errorf("body %q: got outcome %s, want %s", body, got, coltsfootward.ExecutionUnknown)
		}
		if got := backend.runCount("second"); got != 1 {
			t.Errorf("body %q: got %d runs, want 1", body, got)
		}
	}
}

// Shows that sendGate is needed: with net/http alone, a connection that is closed as the
// second request arrives makes that request reach the backend server twice.
func TestNetHTTPTransportSendsTwice(t *testing.T) {
	backend := newFaultyServer(t, closeNever, func(c net.Conn, r *http.Request, number int) bool {
		return number == 0 && respond(completeResponse, true)(c, r, number)
	})
	transport := &http.Transport{}
	defer transport.CloseIdleConnections()
	for _, key := range []string{"first", "second"} {
		request, err := http.NewRequest(http.MethodPost, "http://"+backend.listener.Addr().String()+"/", nil)
		if err != nil {
			t.Fatal(err)
		}
		request.Header.Set(caller.HeaderIdempotencyKey, key)
		response, err := transport.RoundTrip(request)
		if err != nil {
			t.Fatalf("%s: %v", key, err)
		}
		if _, err := io.Copy(io.Discard, response.Body); err != nil && !errors.Is(err, io.EOF) {
			t.Fatalf("%s: %v", key, err)
		}
		response.Body.Close()
	}
	if got := backend.runCount("second"); got != 2 {
		t.Errorf("got %d runs, want 2: if net/http no longer retries, the comment on sendGate is out of date", got)
	}
}
