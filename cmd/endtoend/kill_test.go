package endtoend_test

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"

	"github.com/google/uuid"
)

// order is one unrepeatable request and the outcome that its caller saw.
type order struct {
	key       string
	status    int
	execution string
	refusal   string
	complete  bool
}

// orders are callers that place unrepeatable orders until check stops them.
type orders struct {
	stop chan struct{}
	wait sync.WaitGroup
	mu   sync.Mutex
	all  []order
}

func startOrders(d *deployment, node *nodeProcess, n int) *orders {
	o := &orders{stop: make(chan struct{})}
	for range n {
		o.wait.Go(func() {
			for {
				select {
				case <-o.stop:
					return
				default:
				}
				placed := placeOrder(d, node)
				o.mu.Lock()
				o.all = append(o.all, placed)
				o.mu.Unlock()
			}
		})
	}
	return o
}

func placeOrder(d *deployment, node *nodeProcess) order {
	o := order{key: uuid.Must(uuid.NewV7()).String()}
	body := "order " + o.key
	request, err := http.NewRequest(http.MethodPost, "http://"+node.callers+"/"+service+"/orders", strings.NewReader(body))
	if err != nil {
		d.t.Error(err)
		return o
	}
	request.Header.Set("Authorization", "Bearer "+d.key)
	request.Header.Set("Idempotency-Key", o.key)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return o
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	o.status = response.StatusCode
	o.execution = response.Header.Get("Coltsfootward-Execution")
	o.refusal = response.Header.Get("Coltsfootward-Refusal")
	o.complete = err == nil
	if o.complete && o.status == http.StatusOK && !strings.Contains(string(text), body) {
		d.t.Errorf("got %q, want the answer to %q", text, body)
	}
	return o
}

func (o *orders) count(status int) int {
	o.mu.Lock()
	defer o.mu.Unlock()
	n := 0
	for _, placed := range o.all {
		if placed.status == status {
			n++
		}
	}
	return n
}

// awaitMore waits until n more orders have got status 200.
func (o *orders) awaitMore(t *testing.T, n int) {
	t.Helper()
	target := o.count(http.StatusOK) + n
	eventually(t, fmt.Sprintf("%d further orders are answered", n), func() bool { return o.count(http.StatusOK) >= target })
}

// check stops the callers and compares the outcomes that they saw with the requests
// that ran.
func (o *orders) check(d *deployment, backends ...string) {
	d.t.Helper()
	close(o.stop)
	o.wait.Wait()
	ran := make(map[string]int)
	for _, address := range backends {
		for key, n := range d.runs(address).ByKey {
			ran[key] += n
		}
	}
	counts := make(map[string]int)
	for _, placed := range o.all {
		counts[strings.TrimSpace(fmt.Sprintf("%d %s %s", placed.status, placed.refusal, placed.execution))]++
		if err := placed.check(ran[placed.key]); err != nil {
			d.t.Errorf("order %s: %v", placed.key, err)
		}
	}
	d.t.Logf("outcomes of %d orders: %v", len(o.all), counts)
}

func (o order) check(runs int) error {
	switch {
	case runs > 1:
		return fmt.Errorf("ran %d times, want at most once", runs)
	case o.execution == "not_run" && runs != 0:
		return errors.New("reported not_run, but it ran")
	case o.status == http.StatusOK && o.complete && runs != 1:
		return fmt.Errorf("answered, but ran %d times", runs)
	default:
		return nil
	}
}

// A node is killed while callers place orders through another node. Orders reported as
// not_run must not have run, and none may run twice. A new node with a new backend server
// must then serve requests again.
func TestKilledNodeUnderLoad(t *testing.T) {
	t.Parallel()
	// With few slots, the callers' own domain is saturated and requests overflow to the
	// other domain.
	fewSlots := []string{"--slots", "4", "--connections", "64", "--time", "5ms"}
	d := startDeployment(t, fewSlots...)
	o := startOrders(d, d.north, 12)
	eventually(t, "the other domain's backend server has work", func() bool { return d.runs(d.southBackend).Total > 20 })
	o.awaitMore(t, 100)
	d.south.kill()
	o.awaitMore(t, 200)
	d.south = startNode(t, "south-1", "south", d.platform)
	replacement, _ := startBackend(t, d.south, fewSlots...)
	d.awaitUpstreams(d.north, 2)
	eventually(t, "the new backend server receives requests", func() bool { return d.runs(replacement).Total > 0 })
	o.awaitMore(t, 100)
	o.check(d, d.northBackend, d.southBackend, replacement)
}

// The entry node is killed and its callers lose their connections. No order may run
// twice, and other nodes must go on serving.
func TestKilledEntryNode(t *testing.T) {
	t.Parallel()
	d := startDeployment(t, "--slots", "64", "--connections", "64", "--time", "5ms")
	o := startOrders(d, d.north, 8)
	o.awaitMore(t, 100)
	d.north.kill()
	d.awaitServing(d.south)
	o.check(d, d.northBackend, d.southBackend)
}
