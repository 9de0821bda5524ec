package endtoend

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"coltsfootward/cmd/daemon"
	"coltsfootward/cmd/settings"
	"coltsfootward/standin/hosting"

	"go.uber.org/zap"
)

// hostedNode is one node of a hosted deployment with its backend server. ready is the
// URL of its readiness endpoint.
type hostedNode struct {
	daemon  *daemon.Daemon
	backend *hosting.Backend
	callers string
	ready   string
	// replaced, if set, answers in place of the backend server.
	replaced http.Handler

	mu     sync.Mutex
	server *http.Server
	wait   sync.WaitGroup
}

// handler returns the backend server, or what replaces it.
func (n *hostedNode) handler() http.Handler {
	if n.replaced != nil {
		return n.replaced
	}
	return n.backend
}

// serve serves the backend server at its address.
func (n *hostedNode) serve(listener net.Listener) {
	server := &http.Server{Handler: n.handler()}
	n.mu.Lock()
	n.server = server
	n.mu.Unlock()
	n.wait.Go(func() { _ = server.Serve(listener) }) // returns when the server is closed
}

// closeServer closes the backend server's listener and connections.
func (n *hostedNode) closeServer() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.server.Close()
}

// crash ends the backend server without notice and starts it again after downtime.
func (n *hostedNode) crash(t testing.TB, downtime time.Duration) {
	if !n.backend.Crash() {
		return
	}
	n.closeServer()
	time.AfterFunc(downtime, func() {
		listener, err := net.Listen("tcp", n.backend.Address)
		if err != nil {
			t.Errorf("restart of the backend server: %v", err)
			return
		}
		n.backend.Restart()
		n.serve(listener)
	})
}

const hostedDocument = `{"version":"r%d","services":[{"name":"quotes","health_path":"/health","max_connections":20}],
	"tenants":[{"name":"farm","api_keys":["farm-key"],"rate_per_s":100000,"burst":100000}],
	"virtual_hosts":[{"host":"quotes.example","paths":[
	{"name":"urea","prefix":"/urea/","kind":"idempotent","timeout":"2s","target_latency":"500ms","priority":1,"max_attempts":2,"service":"quotes"},
	{"name":"order","prefix":"/order/","kind":"non_idempotent","timeout":"2s","target_latency":"500ms","priority":0,"max_attempts":2,"service":"quotes"}]}]}`

// startHosted starts count nodes in two failure domains that share one store. extra is
// appended to their settings.
func startHosted(t testing.TB, count int, extra ...string) (*hosting.Store, []*hostedNode) {
	t.Helper()
	store := hosting.NewStore()
	platform := httptest.NewServer(store)
	t.Cleanup(platform.Close)
	store.Write("op", "config", fmt.Appendf(nil, hostedDocument, 3))
	var nodes []*hostedNode
	for i := range count {
		nodes = append(nodes, startHostedNode(t, i, platform.URL, extra...))
	}
	for _, n := range nodes {
		waitUntil(t, "node is ready", func() bool { return getStatus(n.ready) == http.StatusOK })
	}
	waitUntil(t, "a request is served", func() bool { return sendHosted(nodes[0], "GET", "/urea/first", "farm-key").status == http.StatusOK })
	return store, nodes
}

// startHostedNode starts a node; more is appended to its settings.
func startHostedNode(t testing.TB, i int, platform string, more ...string) *hostedNode {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := listener.Addr().String()
	text := fmt.Sprintf(`
[deployment]
kind = "hosted"
[instance]
id = "node-%d"
domain = %q
domains = ["north", "south"]
[listen]
callers = "127.0.0.1:0"
backend = "127.0.0.1:0"
peers = "127.0.0.1:0"
operators = "127.0.0.1:0"
ready = "127.0.0.1:0"
[backend]
address = %q
service = "quotes"
[platform]
url = %q
[stop]
grace = "4s"
notice = "300ms"
`, i, []string{"north", "south"}[i%2], address, platform)
	s, err := settings.Parse("node.toml", []byte(text+strings.Join(more, "\n")))
	if err != nil {
		t.Fatal(err)
	}
	d := daemon.New(s, zap.NewNop())
	if err := d.Start(context.Background()); err != nil {
		t.Fatal(err)
	}
	addresses := d.Addresses()
	backend := hosting.NewBackend(fmt.Sprintf("i-%d", i), "quotes", address, addresses.Backend, 4)
	n := &hostedNode{daemon: d, backend: backend, callers: addresses.Callers, ready: "http://" + addresses.Ready + "/ready"}
	n.serve(listener)
	backend.Start()
	var once sync.Once
	t.Cleanup(func() {
		once.Do(func() {
			ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
			defer cancel()
			_ = d.Stop(ctx) // the test may have stopped the node already
			backend.Close()
			n.closeServer()
			n.wait.Wait()
		})
	})
	return n
}

func waitUntil(t testing.TB, what string, done func() bool) {
	t.Helper()
	for deadline := time.Now().Add(20 * time.Second); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		if done() {
			return
		}
	}
	t.Fatalf("waited for 20 s until %s", what)
}

func getStatus(url string) int {
	response, err := http.Get(url)
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	return response.StatusCode
}

// hostedResponse is the response that a caller received; its zero value means that
// there was none.
type hostedResponse struct {
	status int
	body   string
	header http.Header
}

func sendHosted(n *hostedNode, method, path, key string) hostedResponse {
	return sendHostedWithin(n, method, path, key, 1500)
}

// sendHostedWithin sends a request that expires after the given number of milliseconds.
func sendHostedWithin(n *hostedNode, method, path, key string, milliseconds int) hostedResponse {
	request, err := http.NewRequest(method, "http://"+n.callers+path, nil)
	if err != nil {
		return hostedResponse{}
	}
	request.Host = "quotes.example"
	request.Header.Set("Coltsfootward-Request-Id", "id-of"+strings.ReplaceAll(path, "/", "-"))
	request.Header.Set("Coltsfootward-Deadline-Ms", strconv.Itoa(milliseconds))
	request.Header.Set("X-Kept", "yes")
	request.Header.Set("Coltsfootward-Caller-Service", "forged")
	request.Header.Set("Coltsfootward-Tenant-Id", "forged")
	if key != "" {
		request.Header.Set("Authorization", "Bearer "+key)
	}
	response, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(request)
	if err != nil {
		return hostedResponse{}
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return hostedResponse{}
	}
	return hostedResponse{status: response.StatusCode, body: string(body), header: response.Header}
}

func TestHostedRequest(t *testing.T) {
	_, nodes := startHosted(t, 3)
	response := sendHosted(nodes[0], "GET", "/urea/7?page=2", "farm-key")
	if response.status != http.StatusOK || !strings.HasSuffix(response.body, "to /urea/7?page=2") || response.header.Get("Coltsfootward-Response-Stamp") == "" {
		t.Fatalf("got %+v, want the backend server's answer", response)
	}
	var run *http.Request
	for _, n := range nodes {
		for _, r := range n.backend.Runs() {
			if r.URL.Path == "/urea/7" {
				run = r
			}
		}
	}
	if run == nil {
		t.Fatal("no backend server ran the request")
	}
	for name, want := range map[string]string{
		"Coltsfootward-Request-Id": "id-of-urea-7?page=2", "Coltsfootward-Caller-Service": "quotes",
		"Coltsfootward-Tenant-Id": "farm", "X-Kept": "yes", "Authorization": "", "User-Agent": "Go-http-client/1.1",
	} {
		if got := run.Header.Get(name); got != want {
			t.Errorf("%s: got %q, want %q", name, got, want)
		}
	}
	if run.Host != "quotes.example" || !strings.HasPrefix(run.Header.Get("Coltsfootward-Expect-Instance"), "i-") {
		t.Errorf("got host %q, expected instance %q", run.Host, run.Header.Get("Coltsfootward-Expect-Instance"))
	}
	for _, test := range []struct {
		path, key string
		status    int
	}{{"/urea/1", "wrong", http.StatusUnauthorized}, {"/urea/2", "", http.StatusUnauthorized}, {"/none/1", "farm-key", http.StatusNotFound}} {
		if got := sendHosted(nodes[1], "GET", test.path, test.key).status; got != test.status {
			t.Errorf("%s with key %q: got %d, want %d", test.path, test.key, got, test.status)
		}
	}
}

// A change of the configuration document comes into force on every node, and an older
// version of the document does not replace a newer one. A change should take one or two
// seconds, also on a node that the store rejects, which receives the change from its
// peers; this test checks neither.
func TestHostedConfigurationChange(t *testing.T) {
	store, nodes := startHosted(t, 3)
	changed := strings.Replace(fmt.Sprintf(hostedDocument, 4), "/urea/", "/potash/", 1)
	store.Write("op", "config", []byte(changed))
	for _, n := range nodes {
		waitUntil(t, "the new route is in force", func() bool { return sendHosted(n, "GET", "/potash/1", "farm-key").status == http.StatusOK })
		if got := sendHosted(n, "GET", "/urea/1", "farm-key").status; got != http.StatusNotFound {
			t.Errorf("the dropped route: got %d, want 404", got)
		}
	}
	store.Write("op", "config", fmt.Appendf(nil, hostedDocument, 2))
	time.Sleep(300 * time.Millisecond)
	if got := sendHosted(nodes[0], "GET", "/potash/2", "farm-key").status; got != http.StatusOK {
		t.Errorf("after an older document: got %d, want 200", got)
	}
}

// Nodes go on serving requests while the store is unavailable. A node that starts
// meanwhile has no configuration and reports that it is not ready; this test does not
// start one.
func TestHostedStoreUnavailable(t *testing.T) {
	store, nodes := startHosted(t, 2)
	store.Fail(http.StatusServiceUnavailable)
	for i := range 20 {
		if response := sendHosted(nodes[i%2], "GET", fmt.Sprintf("/urea/%d", i), "farm-key"); response.status != http.StatusOK {
			t.Errorf("request %d: got %+v, want 200", i, response)
		}
	}
}

// Guards against requests reaching a backend server after its node has acknowledged
// that the server is draining, whichever node callers use.
func TestHostedDrain(t *testing.T) {
	_, nodes := startHosted(t, 3)
	draining := nodes[1].backend
	if err := draining.Drain(); err != nil {
		t.Fatal(err)
	}
	before := len(draining.Runs())
	for i := range 60 {
		if response := sendHosted(nodes[i%3], "POST", fmt.Sprintf("/order/%d", i), "farm-key"); response.status != http.StatusOK {
			t.Errorf("order %d: got %+v, want 200", i, response)
		}
	}
	if got := len(draining.Runs()); got != before {
		t.Errorf("%d requests reached the backend server after its drain was acknowledged", got-before)
	}
}

// A node is stopped while callers keep sending requests to it and its backend server
// still runs some. No request that the node has read may be aborted, and none may run
// twice.
func TestHostedStopFinishesRequests(t *testing.T) {
	_, nodes := startHosted(t, 3)
	for _, n := range nodes {
		n.backend.Serve = func(w http.ResponseWriter, r *http.Request) {
			time.Sleep(150 * time.Millisecond)
			fmt.Fprint(w, r.URL.Path)
		}
	}
	stopping := nodes[0]
	var wait sync.WaitGroup
	var mu sync.Mutex
	var failed []string
	sent := 0
	stopped := make(chan struct{})
	for worker := range 6 {
		wait.Go(func() {
			for i := 0; ; i++ {
				select {
				case <-stopped:
					return
				default:
				}
				if getStatus(stopping.ready) != http.StatusOK && i > 3 {
					return
				}
				path := fmt.Sprintf("/order/%d-%d", worker, i)
				response := sendHosted(stopping, "POST", path, "farm-key")
				mu.Lock()
				sent++
				if response.status != http.StatusOK || response.body != path {
					failed = append(failed, fmt.Sprintf("%s: %d %q", path, response.status, response.body))
				}
				mu.Unlock()
			}
		})
	}
	time.Sleep(400 * time.Millisecond)
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	if err := stopping.daemon.Stop(ctx); err != nil {
		t.Errorf("stop: %v", err)
	}
	close(stopped)
	wait.Wait()
	if len(failed) > 0 || sent < 10 {
		t.Errorf("of %d requests failed: %v", sent, failed)
	}
	var runs []string
	for _, n := range nodes {
		for _, r := range n.backend.Runs() {
			runs = append(runs, r.URL.Path)
		}
	}
	slices.Sort(runs)
	if unique := len(slices.Compact(slices.Clone(runs))); unique != len(runs) {
		t.Errorf("%d runs of %d requests", len(runs), unique)
	}
}
