package soak

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"
)

const (
	// childCalls is the number of calls, one after the other, that a backend server makes
	// for an order in a contended run.
	childCalls = 2
	// rejectedPart is the number of requests of which a server that rejects runs one.
	rejectedPart = 2
	// slowdownPercent is what slow servers state and do to the usual duration of work.
	slowdownPercent = 300
	// workTime is the usual duration of work.
	workTime = 5 * time.Millisecond
)

// slow makes a backend server three times slower for a while, and state so.
func (r *run) slow(n *node, duration time.Duration, after func(func())) {
	r.countFault("slowdown", n.Number(), duration)
	n.slow.Store(true)
	n.backend.SetSlowdown(strconv.Itoa(slowdownPercent))
	after(func() {
		n.slow.Store(false)
		n.backend.SetSlowdown("100")
	})
}

// reject makes a backend server reject requests without running them.
func (r *run) reject(n *node, duration time.Duration, after func(func())) {
	r.countFault("rejections", n.Number(), duration)
	n.rejecting.Store(true)
	after(func() { n.rejecting.Store(false) })
}

// rejects reports whether the backend server rejects the next request.
func (n *node) rejects() bool {
	return n.rejecting.Load() && n.arrived.Add(1)%rejectedPart != 0
}

// work takes as long as work takes at the backend server now.
func (n *node) work() {
	if n.slow.Load() {
		time.Sleep(workTime * slowdownPercent / 100)
		return
	}
	time.Sleep(workTime)
}

// callChildren makes the calls of an order through the backend server's own node. They
// carry no key and expire with the order. It reports whether all were answered.
func (n *node) callChildren(r *http.Request) bool {
	left, err := strconv.Atoi(r.Header.Get(fields.Deadline))
	if err != nil {
		return false
	}
	expires := time.Now().Add(time.Duration(left) * time.Millisecond)
	client := &http.Client{Timeout: time.Until(expires)}
	defer client.CloseIdleConnections()
	for i := range childCalls {
		id := fmt.Sprintf("%s-call-%d", r.Header.Get(fields.Request), i)
		request, err := http.NewRequestWithContext(r.Context(), http.MethodGet, "http://"+n.Ports().Callers+"/"+callRoute+"/"+id, nil)
		if err != nil {
			return false
		}
		request.Host = host
		request.Header.Set(fields.Request, id)
		request.Header.Set(fields.Deadline, strconv.FormatInt(max(time.Until(expires).Milliseconds(), 1), 10))
		response, err := client.Do(request)
		if err != nil {
			return false
		}
		_, err = io.Copy(io.Discard, response.Body)
		response.Body.Close()
		if err != nil || response.StatusCode != http.StatusOK {
			return false
		}
	}
	return true
}
