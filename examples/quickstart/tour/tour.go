// Package tour runs the quickstart: it starts a deployment, operates it, sends
// requests and tells what happened.
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
	// burst is how many requests are sent at once to show refusals.
	burst = 40
)

// Run runs the tour and writes what happened to out.
func Run(ctx context.Context, out io.Writer) error {
	d, err := start(ctx)
	if err != nil {
		return err
	}
	defer d.stop(ctx)
	north := d.north.Addresses()
	fmt.Fprintf(out, "Two nodes run: north-1 takes callers on %s, south-1 stands before the backend server.\n", north.Callers)
	if err := operate(ctx, north.Operators); err != nil {
		return err
	}
	fmt.Fprintln(out, "An operator has set a service, two organisations and their keys; all is in force.")
	t := &tourist{ctx: ctx, out: out, callers: north.Callers}
	if err := t.visit(); err != nil {
		return err
	}
	return showTimeline(ctx, out, north.Operators, d.south.Addresses().Operators)
}

// tourist sends requests to the northern node.
type tourist struct {
	ctx     context.Context
	out     io.Writer
	callers string
}

func (t *tourist) visit() error {
	answered, err := t.untilAnswered("/" + service + "/urea")
	if err != nil {
		return err
	}
	fmt.Fprintf(t.out, "\nA trader's request went through both nodes: %s, %q\n", answered.result, answered.body)
	wrong, err := t.get("/"+service+"/urea", "no-such-key", 0)
	if err != nil {
		return err
	}
	fmt.Fprintf(t.out, "\nA wrong key: %s\n", wrong.result)
	if err := t.many("A visitor far above its rate", "/"+service+"/urea", visitorsKey, 0); err != nil {
		return err
	}
	return t.many("Slow requests, more than the slots serve in time", "/"+service+"/archive?time_ms=100", tradersKey, 5000*time.Millisecond)
}

// untilAnswered repeats a request until the backend server is known everywhere.
func (t *tourist) untilAnswered(path string) (reply, error) {
	for {
		r, err := t.get(path, tradersKey, 0)
		if err != nil || r.status == http.StatusOK {
			return r, err
		}
		select {
		case <-time.After(20 * time.Millisecond):
		case <-t.ctx.Done():
			return r, fmt.Errorf("no answer in time, the last was %s: %w", r.result, t.ctx.Err())
		}
	}
}

// many sends requests at once and counts what came of them.
func (t *tourist) many(title, path, key string, timeout time.Duration) error {
	replies := make([]reply, burst)
	errors := make([]error, burst)
	var wait sync.WaitGroup
	for i := range burst {
		wait.Go(func() { replies[i], errors[i] = t.get(path, key, timeout) })
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
	fmt.Fprintf(t.out, "\n%s, %d at once:\n", title, burst)
	for _, result := range order {
		fmt.Fprintf(t.out, "  %2d times %s\n", counts[result], result)
	}
	return nil
}

// reply is what came of one request.
type reply struct {
	status int
	result string
	body   string
}

func (t *tourist) get(path, key string, timeout time.Duration) (reply, error) {
	request, err := http.NewRequestWithContext(t.ctx, http.MethodGet, "http://"+t.callers+path, nil)
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
		return reply{}, fmt.Errorf("read an answer: %w", err)
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
	fmt.Fprintf(out, "\nThe first of %d events on the time line of both nodes:\n", len(events))
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, strings.Join(timeline.Heading(), "\t"))
	for _, row := range timeline.Rows(events[:min(shown, len(events))]) {
		fmt.Fprintln(w, strings.Join(row, "\t"))
	}
	return w.Flush()
}
