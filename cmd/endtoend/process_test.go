package endtoend_test

import (
	"bytes"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"
)

var programDirectory string

// waitTimeout bounds every wait. It is long, so that no result depends on the machine's
// speed.
const waitTimeout = 90 * time.Second

// maxParallelTests is the value of the flag test.parallel. Each test runs half a dozen
// processes, so that more tests at once would only compete for the processors.
const maxParallelTests = "3"

func TestMain(m *testing.M) {
	if err := flag.Set("test.parallel", maxParallelTests); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	os.Exit(runTests(m))
}

func runTests(m *testing.M) int {
	directory, err := os.MkdirTemp("", "coltsfootward")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(directory)
	programDirectory = directory
	build := exec.Command("go", "build", "-o", directory,
		"coltsfootward/cmd/coltsfootward", "coltsfootward/cmd/coltsfootctl", "coltsfootward/cmd/standin")
	if output, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "build programs: %v\n%s", err, output)
		return 1
	}
	return m.Run()
}

// process is one program that a test started. Its output holds both stdout and stderr.
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

// String returns everything written so far.
func (b *lockedBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffer.String()
}

func start(t *testing.T, program string, args ...string) *process {
	t.Helper()
	p := &process{t: t, command: exec.Command(filepath.Join(programDirectory, program), args...), output: &lockedBuffer{}}
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
		_ = p.command.Process.Kill() // the process may have ended already
		_ = p.command.Wait()
	})
}

// wait waits until the process exits and returns its exit code. It kills the process
// and fails the test after waitTimeout.
func (p *process) wait() int {
	p.t.Helper()
	ended := make(chan error, 1)
	p.once.Do(func() {
		go func() { ended <- p.command.Wait() }()
		select {
		case <-ended:
		case <-time.After(waitTimeout):
			_ = p.command.Process.Kill() // reported below
			<-ended
			p.t.Error("the process did not exit in time")
		}
	})
	return p.command.ProcessState.ExitCode()
}

func (p *process) signal(signal os.Signal) {
	p.t.Helper()
	if err := p.command.Process.Signal(signal); err != nil {
		p.t.Fatal(err)
	}
}

// outcome is the result of one run of coltsfootctl.
type outcome struct {
	code           int
	stdout, stderr string
}

// tryCtl runs coltsfootctl and returns its result, whatever its exit code.
func tryCtl(t *testing.T, input, node string, args ...string) outcome {
	t.Helper()
	command := exec.Command(filepath.Join(programDirectory, "coltsfootctl"), append([]string{"--node", node}, args...)...)
	var stdout, stderr bytes.Buffer
	command.Stdin, command.Stdout, command.Stderr = strings.NewReader(input), &stdout, &stderr
	err := command.Run()
	var exit *exec.ExitError
	if err != nil && !errors.As(err, &exit) {
		t.Fatal(err)
	}
	return outcome{command.ProcessState.ExitCode(), strings.TrimSpace(stdout.String()), strings.TrimSpace(stderr.String())}
}

func ctl(t *testing.T, node string, args ...string) string {
	t.Helper()
	command := exec.Command(filepath.Join(programDirectory, "coltsfootctl"), append([]string{"--node", node}, args...)...)
	var stderr bytes.Buffer
	command.Stderr = &stderr
	output, err := command.Output()
	if err != nil {
		t.Fatalf("coltsfootctl %v: %v\n%s%s", args, err, output, stderr.String())
	}
	return strings.TrimSpace(string(output))
}

// listening waits until a stand-in has printed its address, and returns the address.
func (p *process) listening() string {
	p.t.Helper()
	var address string
	eventually(p.t, "the stand-in listens", func() bool {
		_, rest, found := strings.Cut(p.output.String(), "listening on ")
		line, _, complete := strings.Cut(rest, "\n")
		address = line
		return found && complete
	})
	return address
}

// nodeProcess is a running node with its listening addresses.
type nodeProcess struct {
	*process
	callers, backend, peers, operators string
}

// startNode starts a node on ports that the kernel chooses and waits until the node has
// logged them. Ports chosen beforehand could be taken by other processes meanwhile.
func startNode(t *testing.T, id, domain, platform string) *nodeProcess {
	t.Helper()
	text := fmt.Sprintf(`[instance]
id = %q
domain = %q
domains = ["north", "south"]

[listen]
callers = "127.0.0.1:0"
backend = "127.0.0.1:0"
peers = "127.0.0.1:0"
operators = "127.0.0.1:0"

[platform]
url = "http://%s"

[rate]
lease_term = "5s"

[log]
level = "debug"
`, id, domain, platform)
	return startNodeFrom(t, id, text)
}

// startNodeFrom starts a node with the given content of its settings file.
func startNodeFrom(t *testing.T, id, text string) *nodeProcess {
	t.Helper()
	file := filepath.Join(t.TempDir(), id+".toml")
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	n := &nodeProcess{process: start(t, "coltsfootward", "run", file)}
	var started struct {
		Callers, Backend, Peers, Operators string
	}
	eventually(t, "the node has started", func() bool {
		for line := range strings.Lines(n.output.String()) {
			if strings.Contains(line, `"code":101`) {
				return json.Unmarshal([]byte(line), &started) == nil
			}
		}
		return false
	})
	n.callers, n.backend, n.peers, n.operators = started.Callers, started.Backend, started.Peers, started.Operators
	return n
}

// eventually waits until check returns true and fails the test after waitTimeout.
func eventually(t *testing.T, what string, check func() bool) {
	t.Helper()
	deadline := time.Now().Add(waitTimeout)
	for time.Now().Before(deadline) {
		if check() {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
	t.Fatalf("timed out waiting for: %s", what)
}

type callerResponse struct {
	status int
	header http.Header
	body   string
}

func get(t *testing.T, address, path, key string) callerResponse {
	t.Helper()
	request, err := http.NewRequest(http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		t.Fatal(err)
	}
	request.Header.Set("Authorization", "Bearer "+key)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return callerResponse{}
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatal(err)
	}
	return callerResponse{response.StatusCode, response.Header, string(body)}
}
