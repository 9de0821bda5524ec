// Package tour runs the quickstart: it starts a deployment, configures it,
// sends requests and prints the results.
package tour

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"text/tabwriter"
	"time"

	"coltsfootward/cmd/timeline"
)

const (
	service     = "quotes"
	tradersKey  = "quickstart-key-of-the-traders"
	visitorsKey = "quickstart-key-of-the-visitors"
	// burst is how many requests are sent at once to provoke refusals.
	burst = 40
)

// Run runs the tour and writes the results to out.
func Run(ctx context.Context, out io.Writer) error {
	d, err := start(ctx)
	if err != nil {
		return err
	}
	defer d.stop(ctx)
	north := d.north.Addresses()
	fmt.Fprintf(out, "Two nodes run: north-1 takes callers on %s, south-1 runs beside the backend server.\n", north.Callers)
	if err := configure(ctx, north.Operators); err != nil {
		return err
	}
	fmt.Fprintln(out, "An operator has set a service, two organisations and their keys; all is in force.")
	c := &caller{ctx: ctx, out: out, address: north.Callers}
	if err := c.sendRequests(); err != nil {
		return err
	}
	return showTimeline(ctx, out, north.Operators, d.south.Addresses().Operators)
}

// caller sends requests to node north-1.
type caller struct {
	ctx     context.Context
	out     io.Writer
	address string
}

func (c *caller) sendRequests() error {
	served, err := c.retryUntilServed("/" + service + "/urea")
	if err != nil {
		return err
	}
	fmt.Fprintf(c.out, "\nA trader's request went through both nodes: %s, %q\n", served.result, served.body)
	wrong, err := c.get("/"+service+"/urea", "no-such-key", 0)
	if err != nil {
		return err
	}
	fmt.Fprintf(c.out, "\nA wrong key: %s\n", wrong.result)
	if err := c.sendBurst("A visitor far above its rate", "/"+service+"/urea", visitorsKey, 0); err != nil {
		return err
	}
	return c.sendBurst("Slow requests, more than the slots serve in time", "/"+service+"/archive?time_ms=100", tradersKey, 5000*time.Millisecond)
}

// retryUntilServed retries a request until it succeeds. It is refused until the
// entry node has learnt of the backend server.
func (c *caller) retryUntilServed(path string) (reply, error) {
	for {
		r, err := c.get(path, tradersKey, 0)
		if err != nil || r.status == http.StatusOK {
			return r, err
		}
		select {
		case <-time.After(20 * time.Millisecond):
		case <-c.ctx.Done():
			return r, fmt.Errorf("no response with status 200 in time, the last was %s: %w", r.result, c.ctx.Err())
		}
	}
}

// sendBurst sends requests at once and prints how many had each result.
func (c *caller) sendBurst(title, path, key string, timeout time.Duration) error {
	replies := make([]reply, burst)
	errors := make([]error, burst)
	var wait sync.WaitGroup
	for i := range burst {
		wait.Go(func() { replies[i], errors[i] = c.get(path, key, timeout) })
	}
	wait.Wait()
	var order []string
	counts := make(map[string]int)
	for i, r := range replies {
		if errors[i] != nil {
			return errors[i]
		}
		if counts[r.result] == 0 {
			order = append(order, r.result)
		}
		counts[r.result]++
	}
	fmt.Fprintf(c.out, "\n%s, %d at once:\n", title, burst)
	for _, result := range order {
		fmt.Fprintf(c.out, "  %2d times %s\n", counts[result], result)
	}
	return nil
}

// reply is the result of one request.
type reply struct {
	status int
	result string
	body   string
}

func (c *caller) get(path, key string, timeout time.Duration) (reply, error) {
	request, err := http.NewRequestWithContext(c.ctx, http.MethodGet, "http://"+c.address+path, nil)
	if err != nil {
		return reply{}, fmt.Errorf("build a request: %w", err)
	}
	request.Header.Set("Authorization", "Bearer "+key)
	if timeout > 0 {
		request.Header.Set("Coltsfootward-Timeout-Ms", fmt.Sprint(timeout.Milliseconds()))
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return reply{}, fmt.Errorf("send a request: %w", err)
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return reply{}, fmt.Errorf("read a response: %w", err)
	}
	r := reply{status: response.StatusCode, result: fmt.Sprint(response.StatusCode), body: strings.TrimSpace(string(body))}
	if kind := response.Header.Get("Coltsfootward-Refusal"); kind != "" {
		r.result += fmt.Sprintf(" %s, %s", kind, response.Header.Get("Coltsfootward-Execution"))
	}
	return r, nil
}

func showTimeline(ctx context.Context, out io.Writer, nodes ...string) error {
	events, err := timeline.Collect(ctx, nodes, 0)
	if err != nil {
		return err
	}
	const shown = 24
	fmt.Fprintf(out, "\nThe first of %d events in the timeline of both nodes:\n", len(events))
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, strings.Join(timeline.Heading(), "\t"))
	for _, row := range timeline.Rows(events[:min(shown, len(events))]) {
		fmt.Fprintln(w, strings.Join(row, "\t"))
	}
	return w.Flush()
}
