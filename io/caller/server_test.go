package caller_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"coltsfootward"
	"coltsfootward/io/caller"
)

const serverTimeout = 5 * time.Second

// serve starts a server for the handler and returns it with a connection to it.
func serve(t *testing.T, handler http.HandlerFunc, options caller.ServerOptions) (*caller.Server, net.Conn) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := caller.NewServer(handler, options)
	finished := make(chan struct{})
	go func() {
		defer close(finished)
		_ = server.Serve(listener) // returns when the test shuts the server down
	}()
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_ = server.Shutdown(ctx) // aborts connections that the test has left open
		<-finished
	})
	c, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	if err := c.SetDeadline(time.Now().Add(serverTimeout)); err != nil {
		t.Fatal(err)
	}
	return server, c
}

func send(t *testing.T, c net.Conn, text string) {
	t.Helper()
	if _, err := io.WriteString(c, text); err != nil {
		t.Fatal(err)
	}
}

// receive reads a response and returns its status, its body and whether it closes
// the connection.
func receive(t *testing.T, r *bufio.Reader) (int, string, bool) {
	t.Helper()
	response, err := http.ReadResponse(r, nil)
	if err != nil {
		t.Fatal(err)
	}
	body, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatal(err)
	}
	return response.StatusCode, string(body), response.Close
}

func getRequest(path string) string {
	return "GET " + path + " HTTP/1.1\r\nHost: quotes.example\r\n\r\n"
}

func alwaysEager(*http.Request) bool { return true }

// A caller pipelines three requests, and the first takes longest. The requests run
// concurrently, but the responses must come in the order of the requests: otherwise
// the caller would match responses to the wrong requests.
func TestPipelinedResponsesKeepOrder(t *testing.T) {
	releaseFirst := make(chan struct{})
	handler := func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/1" {
			<-releaseFirst
		}
		if r.URL.Path == "/3" {
			close(releaseFirst)
		}
		fmt.Fprint(w, r.URL.Path)
	}
	_, c := serve(t, handler, caller.ServerOptions{Eager: alwaysEager})
	send(t, c, getRequest("/1")+getRequest("/2")+getRequest("/3"))
	r := bufio.NewReader(c)
	for _, want := range []string{"/1", "/2", "/3"} {
		if status, body, _ := receive(t, r); status != http.StatusOK || body != want {
			t.Fatalf("got %d %q, want 200 %q", status, body, want)
		}
	}
}

// A caller pipelines two requests. The response to the first closes the connection, and
// the second must not run twice. The caller gets no response to the second request and
// sends it again, so the server must not have run it.
func TestUnrepeatableRequestWaitsForPreviousResponse(t *testing.T) {
	ran := make(chan string, 2)
	handler := func(w http.ResponseWriter, r *http.Request) {
		ran <- r.URL.Path
		time.Sleep(50 * time.Millisecond)
		fmt.Fprint(w, r.URL.Path)
	}
	_, c := serve(t, handler, caller.ServerOptions{})
	send(t, c, "GET /1 HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\nPOST /2 HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n")
	r := bufio.NewReader(c)
	if _, body, closes := receive(t, r); body != "/1" || !closes {
		t.Fatalf("got %q, closing %v, want /1 and true", body, closes)
	}
	if _, err := r.ReadByte(); err != io.EOF {
		t.Errorf("got %v after the last response, want the end of the connection", err)
	}
	if got := len(ran); got != 1 {
		t.Errorf("got %d runs, want 1", got)
	}
}

// A caller disconnects while its second request is unread and its first is being
// handled. The handler's context must be cancelled at once: work for a caller that
// has disconnected uses capacity that waiting requests need.
func TestDisconnectIsDetectedWithUnreadRequests(t *testing.T) {
	cancelled := make(chan struct{})
	began := make(chan struct{})
	handler := func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/1" {
			return
		}
		close(began)
		<-r.Context().Done()
		close(cancelled)
	}
	_, c := serve(t, handler, caller.ServerOptions{})
	send(t, c, getRequest("/1")+getRequest("/2"))
	<-began
	c.Close()
	select {
	case <-cancelled:
	case <-time.After(serverTimeout):
		t.Error("the handler's context was not cancelled after the caller had disconnected")
	}
}

// A handler aborts in the middle of a response. The truncated response must not look
// complete to the caller, neither with Content-Length nor with chunked encoding.
func TestTruncatedResponseIsDetectable(t *testing.T) {
	for _, length := range []string{"", "100"} {
		handler := func(w http.ResponseWriter, _ *http.Request) {
			if length != "" {
				w.Header().Set("Content-Length", length)
			}
			fmt.Fprint(w, "half")
			w.(http.Flusher).Flush()
			panic(http.ErrAbortHandler)
		}
		_, c := serve(t, handler, caller.ServerOptions{})
		send(t, c, getRequest("/"))
		response, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := io.ReadAll(response.Body); err == nil {
			t.Errorf("length %q: the truncated response looks complete", length)
		}
	}
}

// Guards against bytes of a bad request that are read as the next request, whose start
// is unknown after it. Each kind of bad request must get its own status, and the
// connection must be closed.
func TestBadRequestsAreRefused(t *testing.T) {
	limits := func() coltsfootward.Limits {
		return coltsfootward.Limits{HeaderBytes: 1 << 10, BodyBytes: 8, HeaderTimeout: 200 * time.Millisecond}
	}
	tests := []struct {
		name, text string
		status     int
	}{
		{"no protocol", "hello\r\n\r\n", http.StatusBadRequest},
		{"large header", "GET / HTTP/1.1\r\nHost: a\r\nX: " + strings.Repeat("x", 9<<10) + "\r\n\r\n", http.StatusRequestHeaderFieldsTooLarge},
		{"large body", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\n123456789", http.StatusRequestEntityTooLarge},
		{"large chunks", "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n9\r\n123456789\r\n0\r\n\r\n", http.StatusRequestEntityTooLarge},
		{"slow header", "GET / HTTP/1.1\r\nHost:", http.StatusRequestTimeout},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			handler := func(http.ResponseWriter, *http.Request) { t.Error("the handler ran") }
			_, c := serve(t, handler, caller.ServerOptions{Limits: limits})
			send(t, c, test.text)
			r := bufio.NewReader(c)
			if status, _, closes := receive(t, r); status != test.status || !closes {
				t.Errorf("got %d, closing %v, want %d and true", status, closes, test.status)
			}
		})
	}
}

// Guards against a shutdown that aborts a pending request. The server must send the
// response first and then close the connection.
func TestShutdownCompletesPendingRequests(t *testing.T) {
	began := make(chan struct{})
	release := make(chan struct{})
	handler := func(w http.ResponseWriter, _ *http.Request) {
		close(began)
		<-release
		fmt.Fprint(w, "whole")
	}
	server, c := serve(t, handler, caller.ServerOptions{})
	send(t, c, getRequest("/"))
	<-began
	stopped := make(chan error, 1)
	go func() { stopped <- server.Shutdown(context.Background()) }()
	time.Sleep(50 * time.Millisecond)
	close(release)
	_, body, closes := receive(t, bufio.NewReader(c))
	if body != "whole" || !closes {
		t.Errorf("got %q, closing %v, want whole and true", body, closes)
	}
	c.Close()
	if err := <-stopped; err != nil {
		t.Errorf("shutdown: %v", err)
	}
}

// Request and response bodies of unknown length arrive complete with chunked
// encoding.
func TestBodyOfUnknownLength(t *testing.T) {
	handler := func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			t.Error(err)
		}
		fmt.Fprint(w, string(body), "|")
		w.(http.Flusher).Flush()
		fmt.Fprint(w, "end")
	}
	_, c := serve(t, handler, caller.ServerOptions{})
	send(t, c, "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n")
	if _, body, _ := receive(t, bufio.NewReader(c)); body != "abc|end" {
		t.Errorf("got %q, want abc|end", body)
	}
}

// Callers that are refused retry on new connections and keep the old ones open. If
// hundreds of idle connections stay open for the configured idle timeout, they use
// up the node's memory. With many connections the server announces a shorter
// timeout and closes connections after it; with few connections nothing changes.
func TestManyConnectionsReduceIdleTimeout(t *testing.T) {
	handler := func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) }
	limits := func() coltsfootward.Limits { return coltsfootward.Limits{IdleTimeout: 4 * time.Second} }
	_, c := serve(t, handler, caller.ServerOptions{Limits: limits})
	keepAliveOf := func(c net.Conn) string {
		send(t, c, getRequest("/urea"))
		response, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil {
			t.Fatal(err)
		}
		return response.Header.Get("Keep-Alive")
	}
	if got := keepAliveOf(c); got != "" {
		t.Errorf("one connection: got Keep-Alive %q, want none", got)
	}
	var others []net.Conn
	for range 300 {
		o, err := net.Dial("tcp", c.RemoteAddr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer o.Close()
		if err := o.SetDeadline(time.Now().Add(serverTimeout)); err != nil {
			t.Fatal(err)
		}
		others = append(others, o)
	}
	last := others[len(others)-1]
	keepAliveOf(others[0])
	if got := keepAliveOf(last); got != "timeout=1" {
		t.Fatalf("300 connections: got Keep-Alive %q, want timeout=1", got)
	}
	began := time.Now()
	if _, err := last.Read(make([]byte, 1)); err != io.EOF { //nolint:errorlint // the plain end of a connection
		t.Fatalf("got %v, want the end of the connection", err)
	}
	if took := time.Since(began); took < time.Second || took > 2500*time.Millisecond {
		t.Errorf("the connection was closed after %v, want 1 s to 2.5 s", took)
	}
	if got := keepAliveOf(c); got != "timeout=1" {
		t.Errorf("the first connection: got Keep-Alive %q, want timeout=1", got)
	}
}
