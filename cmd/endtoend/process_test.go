package endtoend_test

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"
)

var programs string

func TestMain(m *testing.M) {
	os.Exit(runTests(m))
}

func runTests(m *testing.M) int {
	directory, err := os.MkdirTemp("", "coltsfootward")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(directory)
	programs = directory
	build := exec.Command("go", "build", "-o", directory,
		"coltsfootward/cmd/coltsfootward", "coltsfootward/cmd/coltsfootctl", "coltsfootward/cmd/standin")
	if output, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "build programs: %v\n%s", err, output)
		return 1
	}
	return m.Run()
}

// process is one program that a test started.
type process struct {
	t       *testing.T
	command *exec.Cmd
	output  *lockedBuffer
	once    sync.Once
}

type lockedBuffer struct {
	mu     sync.Mutex
	buffer bytes.Buffer
}

// Write implements io.Writer.
func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffer.Write(p)
}

// String returns what was written so far.
func (b *lockedBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffer.String()
}

func start(t *testing.T, program string, args ...string) *process {
	t.Helper()
	p := &process{t: t, command: exec.Command(filepath.Join(programs, program), args...), output: &lockedBuffer{}}
	p.command.Stdout = p.output
	p.command.Stderr = p.output
	if err := p.command.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		p.kill()
		if t.Failed() {
			t.Logf("%s %s:\n%s", program, strings.Join(args, " "), p.output.String())
		}
	})
	return p
}

func (p *process) kill() {
	p.once.Do(func() {
		_ = p.command.Process.Kill() // it may have ended
		_ = p.command.Wait()
	})
}

func ctl(t *testing.T, node string, args ...string) string {
	t.Helper()
	command := exec.Command(filepath.Join(programs, "coltsfootctl"), append([]string{"--node", node}, args...)...)
	var notes bytes.Buffer
	command.Stderr = &notes
	output, err := command.Output()
	if err != nil {
		t.Fatalf("coltsfootctl %v: %v\n%s%s", args, err, output, notes.String())
	}
	return strings.TrimSpace(string(output))
}

// addresses returns n free loopback addresses.
func addresses(t *testing.T, n int) []string {
	t.Helper()
	var found []string
	var held []net.Listener
	for range n {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		held = append(held, listener)
		found = append(found, listener.Addr().String())
	}
	for _, listener := range held {
		listener.Close()
	}
	return found
}

// nodeProcess is a running node with its addresses.
type nodeProcess struct {
	*process
	callers, backend, peers, operators string
}

func startNode(t *testing.T, id, domain, platform string) *nodeProcess {
	t.Helper()
	a := addresses(t, 4)
	n := &nodeProcess{callers: a[0], backend: a[1], peers: a[2], operators: a[3]}
	text := fmt.Sprintf(`[instance]
id = %q
domain = %q
domains = ["north", "south"]

[listen]
callers = %q
backend = %q
peers = %q
operators = %q

[platform]
url = "http://%s"
`, id, domain, n.callers, n.backend, n.peers, n.operators, platform)
	file := filepath.Join(t.TempDir(), id+".toml")
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	n.process = start(t, "coltsfootward", "run", file)
	return n
}

// eventually waits until check returns true.
func eventually(t *testing.T, what string, check func() bool) {
	t.Helper()
	deadline := time.Now().Add(20 * time.Second)
	for time.Now().Before(deadline) {
		if check() {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
	t.Fatalf("did not come true in time: %s", what)
}

type answer struct {
	status int
	header http.Header
	body   string
}

func get(t *testing.T, address, path, key string) answer {
	t.Helper()
	request, err := http.NewRequest(http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		t.Fatal(err)
	}
	request.Header.Set("Authorization", "Bearer "+key)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return answer{}
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatal(err)
	}
	return answer{response.StatusCode, response.Header, string(body)}
}
