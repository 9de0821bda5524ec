package soak

import (
	"fmt"
	"net/http"
	"time"

	"go.uber.org/zap"
)

const (
	// crashPath is the path of the request that crashes each backend server that
	// runs it. The server is back after crashDowntime.
	crashPath     = "/urea/crash"
	crashDowntime = 500 * time.Millisecond
	// crashInterval is the time between two of these requests. They are sent for
	// crashSendTime while other faults end.
	crashInterval = 100 * time.Millisecond
	crashSendTime = 8 * time.Second
	// contactTime is how long after the third crash, and after the last fault, a
	// request may still reach servers. After that it may do so maxLateCrashes times.
	contactTime    = 3 * time.Second
	maxLateCrashes = 3
)

// crashRun is one run of the request that crashes backend servers.
type crashRun struct {
	at   time.Duration
	node int
	id   string
}

// sendCrashingRequests sends the request that crashes backend servers to random nodes,
// beside the callers' requests.
func (r *run) sendCrashingRequests() {
	r.countFault("crashing request", allNodes, crashSendTime)
	client := &http.Client{Timeout: callerDeadline + clientMargin}
	for i := range int(crashSendTime / crashInterval) {
		n := r.anyNode()
		r.wait.Go(func() { sendCrashing(client, n, fmt.Sprintf("farm-urea-crash-%d", i)) })
		time.Sleep(crashInterval)
	}
}

func sendCrashing(client *http.Client, n *node, id string) {
	request, err := http.NewRequest(http.MethodGet, "http://"+n.Ports().Callers+crashPath, nil)
	if err != nil {
		return
	}
	setFields(request, id, "farm")
	if response, err := client.Do(request); err == nil {
		response.Body.Close()
	}
}

// recordCrash records that a backend server ran the request that crashes it.
func (l *ledger) recordCrash(node int, id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.crashes = append(l.crashes, crashRun{at: l.now(), node: node, id: id})
	l.log.Info("backend_server_crashed", l.elapsed(), zap.Int("node", node), zap.String("request", id))
}

// faultEnded records the end of a fault, after which the nodes need some time to
// exchange what they know.
func (l *ledger) faultEnded(node int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.log.Info("fault_ended", l.elapsed(), zap.Int("node", node))
	l.lastFault = max(l.lastFault, l.now())
}

// checkCrashes adds a finding if the request that crashes backend servers reached them
// too often. It must be called with the lock held.
func (l *ledger) checkCrashes() {
	if len(l.crashes) < 3 {
		return
	}
	from := max(l.crashes[2].at, l.lastFault) + contactTime
	var late []crashRun
	for _, c := range l.crashes {
		if c.at > from {
			late = append(late, c)
		}
	}
	if len(late) > maxLateCrashes {
		l.addFinding("the request that crashes backend servers reached them %d times after %v, want at most %d: %v", len(late), from, maxLateCrashes, late)
	}
}
