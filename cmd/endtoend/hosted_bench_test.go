package endtoend

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"syscall"
	"testing"
	"time"
)

// readResponse reads one response from a connection and expects status 200.
func readResponse(b *testing.B, r *bufio.Reader) {
	b.Helper()
	response, err := http.ReadResponse(r, nil)
	if err != nil {
		b.Fatal(err)
	}
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		b.Fatal(err)
	}
	if response.StatusCode != http.StatusOK {
		b.Fatalf("got status %d, want 200", response.StatusCode)
	}
}

// cpuTimeUsed returns the CPU time, user and system, that this process has used.
func cpuTimeUsed(b *testing.B) time.Duration {
	b.Helper()
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		b.Fatal(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// BenchmarkHostedCall sends calls through two nodes of a hosted deployment, one after
// the other on one connection. The caller and the backend server run in the same
// process as the nodes; BenchmarkHostedDirect measures their cost alone, and the
// difference is the cost of the nodes.
func BenchmarkHostedCall(b *testing.B) {
	_, nodes := startHosted(b, 2)
	nodes[0].backend.Slots, nodes[1].backend.Slots = 64, 64
	benchmarkCalls(b, nodes[0].callers)
}

// BenchmarkHostedDirect sends the same calls directly to a backend server.
func BenchmarkHostedDirect(b *testing.B) {
	_, nodes := startHosted(b, 2)
	benchmarkCalls(b, nodes[1].backend.Address)
}

func benchmarkCalls(b *testing.B, address string) {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		b.Fatal(err)
	}
	defer conn.Close()
	reader := bufio.NewReader(conn)
	before := cpuTimeUsed(b)
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		_, err := fmt.Fprintf(conn, "GET /urea/%d HTTP/1.1\r\nHost: quotes.example\r\nColtsfootward-Request-Id: b%s\r\nColtsfootward-Deadline-Ms: 2000\r\nAuthorization: Bearer farm-key\r\n\r\n", i, strconv.Itoa(i))
		if err != nil {
			b.Fatal(err)
		}
		readResponse(b, reader)
	}
	b.StopTimer()
	b.ReportMetric(float64((cpuTimeUsed(b)-before).Microseconds())/float64(b.N), "cpu-us/op")
}
