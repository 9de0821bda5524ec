package main

import (
	"context"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"

	"coltsfootward/io/caller"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// target is the URL that is called, with the caller's API key.
type target struct {
	url, key string
}

// plan describes the calls of a measurement. The rate is in calls per second.
type plan struct {
	rate     int
	duration time.Duration
	seed     uint64
}

// measurement is the result of a plan.
type measurement struct {
	calls int
	// failed counts the calls without a complete and expected response, by failure
	// label.
	failed    map[string]int
	histogram *hdrhistogram.Histogram
	// cpuTime is the CPU time that this process used during the measurement.
	cpuTime time.Duration
}

// The histogram's range, in microseconds, and its precision.
const (
	minLatencyMicros  = 1
	maxLatencyMicros  = 60_000_000
	significantDigits = 3
)

// callTimeout is the timeout of one call.
const callTimeout = 30 * time.Second

// measureTarget makes the calls of a plan in an open loop: each call starts at its
// scheduled time, whether or not earlier ones have ended, and its latency is measured
// from that time. A closed loop would send nothing while the system stalls and so omit
// exactly the calls that suffer (coordinated omission).
func measureTarget(ctx context.Context, t target, p plan) measurement {
	client := newClient()
	defer client.CloseIdleConnections()
	return openLoop(p, func(int) string { return call(ctx, client, t) })
}

// newClient returns a client that keeps up to 512 idle connections per host, for many
// concurrent calls.
func newClient() *http.Client {
	return &http.Client{Timeout: callTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: 512, DisableCompression: true}}
}

// openLoop makes the calls of a plan in an open loop. call receives the call's number,
// from 0, and returns a label for its failure, or "" if it succeeded.
func openLoop(p plan, call func(number int) string) measurement {
	m := measurement{failed: make(map[string]int), histogram: hdrhistogram.New(minLatencyMicros, maxLatencyMicros, significantDigits)}
	arrivals := rand.New(rand.NewPCG(p.seed, 0))
	var mu sync.Mutex
	var wait sync.WaitGroup
	cpuBefore := cpuTimeUsed()
	start := time.Now()
	for number, at := 0, time.Duration(0); ; number++ {
		at += interarrivalTime(arrivals, p.rate)
		time.Sleep(time.Until(start.Add(min(at, p.duration))))
		if at >= p.duration {
			break
		}
		intended := start.Add(at)
		wait.Go(func() {
			failure := call(number)
			took := time.Since(intended)
			mu.Lock()
			defer mu.Unlock()
			m.calls++
			if failure != "" {
				m.failed[failure]++
				return
			}
			_ = m.histogram.RecordValue(max(took.Microseconds(), minLatencyMicros)) // out of range only if the call started 30 s late
		})
	}
	wait.Wait()
	m.cpuTime = cpuTimeUsed() - cpuBefore
	return m
}

// interarrivalTime returns the time to the next arrival of a Poisson process.
func interarrivalTime(r *rand.Rand, rate int) time.Duration {
	if rate == 0 {
		return math.MaxInt64
	}
	return time.Duration(r.ExpFloat64() / float64(rate) * float64(time.Second))
}

// call sends one request to t and returns a label for its failure, or "" if it
// succeeded.
func call(ctx context.Context, client *http.Client, t target) string {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, t.url, nil)
	if err != nil {
		return "request"
	}
	if t.key != "" {
		request.Header.Set("Authorization", "Bearer "+t.key)
	}
	return sendRequest(client, request, http.StatusOK)
}

// sendRequest sends a request and returns a label for its failure, or "" if its
// response was complete and had wantedStatus.
func sendRequest(client *http.Client, request *http.Request, wantedStatus int) string {
	response, err := client.Do(request)
	if err != nil {
		return "no answer"
	}
	defer response.Body.Close()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return "truncated"
	}
	if response.StatusCode != wantedStatus {
		return strings.TrimSpace(fmt.Sprintf("%d %s", response.StatusCode, response.Header.Get(caller.HeaderRefusal)))
	}
	return ""
}

func (m measurement) quantile(q float64) time.Duration {
	return time.Duration(m.histogram.ValueAtQuantile(q)) * time.Microsecond
}

func (m measurement) cpuTimePerCall() time.Duration {
	if m.calls == 0 {
		return 0
	}
	return (m.cpuTime / time.Duration(m.calls)).Round(time.Microsecond)
}

// cpuTimeUsed returns the CPU time, user and system, that this process has used.
func cpuTimeUsed() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
