package caller_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"syscall"
	"testing"
	"time"

	"coltsfootward"
	"coltsfootward/core/node"
	"coltsfootward/io/iotest"
)

// benchBody is as long as a typical response.
var benchBody = make([]byte, 1<<10)

func quote(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(benchBody) }

// benchNodes starts an entry node and returns it. The backend server belongs to a
// second node if separate is set, and to the entry node otherwise.
func benchNodes(b *testing.B, separate bool) *iotest.Node {
	table := iotest.NewTable(
		coltsfootward.Change{Organisation: &coltsfootward.Organisation{Name: "crews", Rate: coltsfootward.Rate{PerSecond: 1e9, Burst: 1e9}}},
		coltsfootward.Change{Key: &coltsfootward.Key{ID: "k", Digest: coltsfootward.DigestKey(callerKey), Organisation: "crews"}},
		coltsfootward.Change{Service: &coltsfootward.Service{Name: "archive"}},
	)
	domains := []coltsfootward.FailureDomain{"north"}
	entry := iotest.Start(b, node.Options{Self: coltsfootward.Instance{ID: "north-1", Domain: "north"}, Domains: domains}, table, nil)
	backendNode := entry
	if separate {
		backendNode = iotest.Start(b, node.Options{Self: coltsfootward.Instance{ID: "north-2", Domain: "north"}, Domains: domains}, table, nil)
	}
	server := httptest.NewServer(http.HandlerFunc(quote))
	b.Cleanup(server.Close)
	backendNode.Announce(b, server.Listener.Addr().String(), "archive", 128)
	entry.AwaitUpstreams(b, 1)
	return entry
}

func benchCalls(b *testing.B, url string) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
	defer client.CloseIdleConnections()
	times := make([]time.Duration, 0, b.N)
	b.ReportAllocs()
	cpuAtStart := cpuTime(b)
	for b.Loop() {
		started := time.Now()
		request, err := http.NewRequest(http.MethodGet, url, nil)
		if err != nil {
			b.Fatal(err)
		}
		request.Header.Set("Authorization", "Bearer "+callerKey)
		response, err := client.Do(request)
		if err != nil {
			b.Fatal(err)
		}
		n, err := io.Copy(io.Discard, response.Body)
		response.Body.Close()
		if err != nil || n != int64(len(benchBody)) {
			b.Fatalf("got %d bytes, status %d and %v", n, response.StatusCode, err)
		}
		times = append(times, time.Since(started))
	}
	b.ReportMetric(float64((cpuTime(b)-cpuAtStart).Microseconds())/float64(len(times)), "µs-cpu/op")
	slices.Sort(times)
	b.ReportMetric(float64(times[len(times)/2].Microseconds()), "µs-p50")
	b.ReportMetric(float64(times[len(times)*99/100].Microseconds()), "µs-p99")
}

// cpuTime returns the CPU time used by the process. Unlike elapsed time,
// it does not grow with the load of other processes on the machine.
func cpuTime(b *testing.B) time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		b.Fatal(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

func BenchmarkDirect(b *testing.B) {
	server := httptest.NewServer(http.HandlerFunc(quote))
	defer server.Close()
	benchCalls(b, server.URL)
}

func BenchmarkThroughOwnNode(b *testing.B) {
	benchCalls(b, "http://"+benchNodes(b, false).CallerAddress+"/archive/quote")
}

func BenchmarkThroughTwoNodes(b *testing.B) {
	benchCalls(b, "http://"+benchNodes(b, true).CallerAddress+"/archive/quote")
}
