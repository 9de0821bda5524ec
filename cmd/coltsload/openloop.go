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

// target is where calls go.
type target struct {
	url, key string
}

// plan says how many calls are made, and when.
type plan struct {
	rate     int
	duration time.Duration
	seed     uint64
}

// measurement is what came of a plan.
type measurement struct {
	calls int
	// failed counts calls without a whole good answer, by what they got instead.
	failed    map[string]int
	histogram *hdrhistogram.Histogram
	// processor is the processor time of the whole process meanwhile.
	processor time.Duration
}

// The histogram's range in microseconds and its digits.
const (
	shortest = 1
	longest  = 60_000_000
	digits   = 3
)

// callTimeout bounds one call.
const callTimeout = 30 * time.Second

// run makes the calls of a plan in an open loop: each starts at its time,
// whether or not earlier ones have ended, and its latency counts from that
// time. A closed loop would stop asking while the system stalls and so leave
// out the very calls that suffer.
func run(ctx context.Context, t target, p plan) measurement {
	client := newClient()
	defer client.CloseIdleConnections()
	return openLoop(p, func(int) string { return call(ctx, client, t) })
}

// newClient returns a client that keeps connections for many calls at once.
func newClient() *http.Client {
	return &http.Client{Timeout: callTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: 512, DisableCompression: true}}
}

// openLoop makes the calls of a plan. call is told which one it is and returns what
// went wrong with it, or "".
func openLoop(p plan, call func(number int) string) measurement {
	m := measurement{failed: make(map[string]int), histogram: hdrhistogram.New(shortest, longest, digits)}
	arrivals := rand.New(rand.NewPCG(p.seed, 0))
	var mu sync.Mutex
	var wait sync.WaitGroup
	used := processorTime()
	start := time.Now()
	for number, at := 0, time.Duration(0); ; number++ {
		at += gap(arrivals, p.rate)
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
			_ = m.histogram.RecordValue(max(took.Microseconds(), shortest)) // a value out of range has timed out
		})
	}
	wait.Wait()
	m.processor = processorTime() - used
	return m
}

// gap returns the time to the next arrival of a Poisson process.
func gap(r *rand.Rand, rate int) time.Duration {
	if rate == 0 {
		return math.MaxInt64
	}
	return time.Duration(r.ExpFloat64() / float64(rate) * float64(time.Second))
}

// call makes one call and returns what went wrong with it, or "".
func call(ctx context.Context, client *http.Client, t target) string {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, t.url, nil)
	if err != nil {
		return "request"
	}
	if t.key != "" {
		request.Header.Set("Authorization", "Bearer "+t.key)
	}
	return failure(client, request, http.StatusOK)
}

// failure sends a request and returns what went wrong with it, or "".
func failure(client *http.Client, request *http.Request, wanted int) string {
	response, err := client.Do(request)
	if err != nil {
		return "no answer"
	}
	defer response.Body.Close()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return "truncated"
	}
	if response.StatusCode != wanted {
		return strings.TrimSpace(fmt.Sprintf("%d %s", response.StatusCode, response.Header.Get(caller.HeaderRefusal)))
	}
	return ""
}

func (m measurement) quantile(q float64) time.Duration {
	return time.Duration(m.histogram.ValueAtQuantile(q)) * time.Microsecond
}

func (m measurement) processorPerCall() time.Duration {
	if m.calls == 0 {
		return 0
	}
	return (m.processor / time.Duration(m.calls)).Round(time.Microsecond)
}

// processorTime returns what this process has used of the processors.
func processorTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
