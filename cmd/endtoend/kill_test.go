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

// order is one unrepeatable request and what its caller was told.
type order struct {
	key       string
	status    int
	execution string
	refusal   string
	whole     bool
}

// orders are callers that place unrepeatable orders until they are told to stop.
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
				placed := place(d, node)
				o.mu.Lock()
				o.all = append(o.all, placed)
				o.mu.Unlock()
			}
		})
	}
	return o
}

func place(d *deployment, node *nodeProcess) order {
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
	o.whole = err == nil
	if o.whole && o.status == http.StatusOK && !strings.Contains(string(text), body) {
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

// further waits until n more orders are answered.
func (o *orders) further(t *testing.T, n int) {
	t.Helper()
	target := o.count(http.StatusOK) + n
	eventually(t, fmt.Sprintf("%d further orders are answered", n), func() bool { return o.count(http.StatusOK) >= target })
}

// check compares what callers were told with what ran.
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
	told := make(map[string]int)
	for _, placed := range o.all {
		told[strings.TrimSpace(fmt.Sprintf("%d %s %s", placed.status, placed.refusal, placed.execution))]++
		if err := placed.check(ran[placed.key]); err != nil {
			d.t.Errorf("order %s: %v", placed.key, err)
		}
	}
	d.t.Logf("of %d orders callers were told: %v", len(o.all), told)
}

func (o order) check(runs int) error {
	switch {
	case runs > 1:
		return fmt.Errorf("ran %d times, want at most once", runs)
	case o.execution == "not_run" && runs != 0:
		return errors.New("told not_run, but it ran")
	case o.status == http.StatusOK && o.whole && runs != 1:
		return fmt.Errorf("answered, but ran %d times", runs)
	default:
		return nil
	}
}

// An instance dies without a word while subscribers place orders through
// another one. Callers are answered or told the truth: what is called "not
// run" did not run, and nothing runs twice. A new node beside the same backend
// server then serves again.
func TestKilledNodeUnderLoad(t *testing.T) {
	t.Parallel()
	// Few slots, so that the callers' own domain is full and work spills over.
	small := []string{"--slots", "4", "--connections", "64", "--time", "5ms"}
	d := startDeployment(t, small...)
	o := startOrders(d, d.north, 12)
	eventually(t, "the other domain's backend server has work", func() bool { return d.runs(d.southBackend).Total > 20 })
	o.further(t, 100)
	d.south.kill()
	o.further(t, 200)
	d.south = startNode(t, "south-1", "south", d.platform)
	returned, _ := startBackend(t, d.south, small...)
	d.awaitUpstreams(d.north, 2)
	eventually(t, "the returned instance serves again", func() bool { return d.runs(returned).Total > 0 })
	o.further(t, 100)
	o.check(d, d.northBackend, d.southBackend, returned)
}

// The entry node dies: its callers lose their connections, but nothing that
// they placed ran twice, and other nodes go on serving.
func TestKilledEntryNode(t *testing.T) {
	t.Parallel()
	d := startDeployment(t, "--slots", "64", "--connections", "64", "--time", "5ms")
	o := startOrders(d, d.north, 8)
	o.further(t, 100)
	d.north.kill()
	d.awaitAnswer(d.south)
	o.check(d, d.northBackend, d.southBackend)
}
