package caller_test

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"

	"coltsfootward"
	"coltsfootward/core/node"
	"coltsfootward/io/iotest"
)

// recorder records the bytes that are read from and written to its connections.
type recorder struct {
	mu    sync.Mutex
	bytes bytes.Buffer
}

func (r *recorder) record(p []byte) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.bytes.Write(p)
}

func (r *recorder) text() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.bytes.String()
}

type recordedListener struct {
	net.Listener
	recorder *recorder
}

func (l *recordedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &recordedConn{Conn: c, recorder: l.recorder}, nil
}

type recordedConn struct {
	net.Conn
	recorder *recorder
}

func (c *recordedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.recorder.record(p[:n])
	return n, err
}

func (c *recordedConn) Write(p []byte) (int, error) {
	c.recorder.record(p)
	return c.Conn.Write(p)
}

// Guards against a caller's key that leaks into a log, a frame between nodes or a
// request to a backend server, where anyone who reads it can use it until it is
// withdrawn. The test also puts the key into header fields, the path, the query and the
// body, where it does not belong, as callers do by mistake.
func TestCallerKeyDoesNotLeak(t *testing.T) {
	const secret = "s3cret-key-of-the-inspectors"
	table := iotest.NewTable(
		coltsfootward.Change{Organisation: &coltsfootward.Organisation{Name: "inspectors", Rate: coltsfootward.Rate{PerSecond: 1e6, Burst: 1e6}}},
		coltsfootward.Change{Key: &coltsfootward.Key{ID: "k", Digest: coltsfootward.DigestKey(secret), Organisation: "inspectors"}},
		coltsfootward.Change{Service: &coltsfootward.Service{Name: "results"}},
	)
	domains := []coltsfootward.FailureDomain{"north", "south"}
	peers, upstreams := &recorder{}, &recorder{}
	record := func(l net.Listener) net.Listener { return &recordedListener{Listener: l, recorder: peers} }
	north := iotest.Start(t, node.Options{Self: coltsfootward.Instance{ID: "north-1", Domain: "north"}, Domains: domains}, table, record)
	south := iotest.Start(t, node.Options{Self: coltsfootward.Instance{ID: "south-1", Domain: "south"}, Domains: domains}, table, record)
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		fmt.Fprint(w, "friction 0.43")
	}))
	server.Listener = &recordedListener{Listener: server.Listener, recorder: upstreams}
	server.Start()
	t.Cleanup(server.Close)
	south.Announce(t, server.Listener.Addr().String(), "results", 4)
	north.AwaitUpstreams(t, 1)

	for _, header := range []http.Header{
		{"Authorization": {"Bearer " + secret}},
		{"Authorization": {"Bearer " + secret}, "X-Api-Key": {secret}, "Cookie": {"key=" + secret}},
		{"Authorization": {"Bearer " + secret}, "X-Copy": {"again " + secret}, "X-" + secret: {"as a name"}},
		{"Authorization": {"Bearer " + secret}, "Idempotency-Key": {"order-1"}, "Expect": {"100-continue"}},
		{"Authorization": {"Bearer " + secret}, "Coltsfootward-Call-Token": {secret}},
	} {
		request, err := http.NewRequest(http.MethodPost, "http://"+north.CallerAddress+"/results/site-4", strings.NewReader("a body"))
		if err != nil {
			t.Fatal(err)
		}
		request.Header = header
		response, err := http.DefaultClient.Do(request)
		if err != nil {
			t.Fatal(err)
		}
		body, err := io.ReadAll(response.Body)
		response.Body.Close()
		if err != nil || response.StatusCode != http.StatusOK || string(body) != "friction 0.43" {
			t.Errorf("header %v: got %d %q and %v, want 200 and the body", header, response.StatusCode, body, err)
		}
		if text := fmt.Sprint(response.Header); strings.Contains(text, secret) {
			t.Errorf("the response's header contains the key: %s", text)
		}
	}
	for name, path := range map[string]string{
		"path": "/results/" + secret, "query": "/results/site?key=" + secret, "escaped path": "/results/%73" + secret[1:], "body": "/results/site", "idempotency key": "/results/site",
	} {
		body, idempotencyKey := "", ""
		if name == "idempotency key" {
			idempotencyKey = secret
		}
		if name == "body" {
			body = "key=" + secret
		}
		request, err := http.NewRequest(http.MethodPost, "http://"+north.CallerAddress+path, strings.NewReader(body))
		if err != nil {
			t.Fatal(err)
		}
		request.Header.Set("Authorization", "Bearer "+secret)
		request.Header.Set("Idempotency-Key", idempotencyKey)
		response, err := http.DefaultClient.Do(request)
		if err != nil {
			t.Fatal(err)
		}
		response.Body.Close()
		if response.StatusCode != http.StatusBadRequest {
			t.Errorf("key in the %s: got status %d, want %d", name, response.StatusCode, http.StatusBadRequest)
		}
	}
	if peers.text() == "" || upstreams.text() == "" {
		t.Fatal("no bytes were recorded: the connections are not wrapped")
	}
	for where, text := range map[string]string{
		"frames between nodes":         peers.text(),
		"requests to backend servers":  upstreams.text(),
		"records of the entry node":    fmt.Sprint(north.Records()),
		"records of the upstream node": fmt.Sprint(south.Records()),
	} {
		if strings.Contains(strings.ToLower(text), secret) {
			t.Errorf("%s contain the key", where)
		}
	}
}
