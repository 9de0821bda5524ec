package endtoend_test

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync"
	"syscall"
	"testing"

	"coltsfootward/standin/backend"
)

// downloadSize exceeds the capacity of all buffers between backend server and caller,
// so that a download whose reader has paused cannot have finished.
const downloadSize = 24 << 20

// download is a download in progress. Its reader pauses after the first bytes until
// resume is closed.
type download struct {
	begun  chan struct{}
	resume chan struct{}
	err    error
}

// startDownloads starts n downloads through a node and waits until each has begun.
func startDownloads(d *deployment, node *nodeProcess, n int) (all []*download, wait *sync.WaitGroup) {
	d.t.Helper()
	wait = &sync.WaitGroup{}
	resume := make(chan struct{})
	for i := range n {
		dl := &download{begun: make(chan struct{}), resume: resume}
		all = append(all, dl)
		wait.Go(func() { dl.err = dl.run(d, node, fmt.Sprintf("log-%d", i)) })
	}
	for _, dl := range all {
		<-dl.begun
	}
	return all, wait
}

func (dl *download) run(d *deployment, node *nodeProcess, name string) error {
	begun := sync.OnceFunc(func() { close(dl.begun) })
	defer begun()
	url := fmt.Sprintf("http://%s/%s%s%s?size=%d", node.callers, service, backend.FilePrefix, name, downloadSize)
	want := backend.Content(name, downloadSize)
	request, err := http.NewRequest(http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	request.Header.Set("Authorization", "Bearer "+d.key)
	request.Header.Set("Coltsfootward-Timeout-Ms", "60000")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if err := compare(response.Body, want, 64<<10); err != nil {
		return fmt.Errorf("status %d: %w", response.StatusCode, err)
	}
	begun()
	<-dl.resume
	if err := compare(response.Body, want, downloadSize-64<<10); err != nil {
		return err
	}
	if n, err := response.Body.Read(make([]byte, 1)); n != 0 || !errors.Is(err, io.EOF) {
		return fmt.Errorf("got %d bytes and %v after the file, want its end", n, err)
	}
	return nil
}

// compare reads and compares the next size bytes in pieces of 32 KiB. Whole downloads
// in memory would take more space than all other tests together.
func compare(got, want io.Reader, size int) error {
	piece, wanted := make([]byte, 32<<10), make([]byte, 32<<10)
	for read := 0; read < size; read += len(piece) {
		if _, err := io.ReadFull(got, piece); err != nil {
			return fmt.Errorf("after %d bytes: %w", read, err)
		}
		if _, err := io.ReadFull(want, wanted); err != nil {
			return err
		}
		if !bytes.Equal(piece, wanted) {
			return fmt.Errorf("after %d bytes: the content is not the file's", read)
		}
	}
	return nil
}

// Guards against truncated downloads when a node is restarted. The signal arrives while
// every download is paused half-way; each must complete, and the node must then exit.
func TestStopFinishesDownloads(t *testing.T) {
	for _, stopped := range []string{"entry node", "upstream's node"} {
		t.Run(stopped, func(t *testing.T) {
			t.Parallel()
			d := startDeployment(t, "--slots", "64", "--connections", "64")
			node := d.north
			if stopped == "upstream's node" {
				node = d.south
			}
			all, wait := startDownloads(d, d.north, 6)
			node.signal(syscall.SIGTERM)
			eventually(t, "the node is draining", func() bool {
				return bytes.Contains([]byte(node.output.String()), []byte("node_draining"))
			})
			close(all[0].resume)
			wait.Wait()
			for i, dl := range all {
				if dl.err != nil {
					t.Errorf("download %d: got %v, want it complete", i, dl.err)
				}
			}
			if code := node.wait(); code != 0 {
				t.Errorf("got exit code %d, want 0", code)
			}
		})
	}
}

// callers send short requests without a pause until finish is called.
type callers struct {
	stop      chan struct{}
	wait      sync.WaitGroup
	mu        sync.Mutex
	failures  []string
	responses int
}

// startCallers starts n callers at a node. Each response must be complete, with status
// 200 and the expected body.
func startCallers(d *deployment, node *nodeProcess, n int) *callers {
	c := &callers{stop: make(chan struct{})}
	for i := range n {
		c.wait.Go(func() {
			for j := 0; ; j++ {
				select {
				case <-c.stop:
					return
				default:
				}
				path := fmt.Sprintf("/short/%d/%d", i, j)
				got := get(d.t, node.callers, "/"+service+path, d.key)
				c.record(got, fmt.Sprintf("GET %s ", path))
			}
		})
	}
	return c
}

func (c *callers) record(got callerResponse, want string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.responses++
	if got.status != http.StatusOK || !bytes.HasPrefix([]byte(got.body), []byte(want)) {
		c.failures = append(c.failures, fmt.Sprintf("%d %s %s %q", got.status,
			got.header.Get("Coltsfootward-Refusal"), got.header.Get("Coltsfootward-Execution"), got.body))
	}
}

// count returns the number of responses so far.
func (c *callers) count() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.responses
}

// awaitMore waits until n more responses have been received.
func (c *callers) awaitMore(t *testing.T, n int) {
	t.Helper()
	target := c.count() + n
	eventually(t, fmt.Sprintf("%d further responses", n), func() bool { return c.count() >= target })
}

func (c *callers) finish() []string {
	close(c.stop)
	c.wait.Wait()
	return c.failures
}

// A node is drained under steady load. No caller at another node may notice: a request
// that is refused because the node is draining has not run, and is sent elsewhere.
func TestNodeDrainUnderLoad(t *testing.T) {
	t.Parallel()
	d := startDeployment(t, "--slots", "64", "--connections", "64", "--time", "2ms")
	c := startCallers(d, d.north, 8)
	c.awaitMore(t, 200)
	d.south.signal(syscall.SIGTERM)
	if code := d.south.wait(); code != 0 {
		t.Errorf("got exit code %d, want 0", code)
	}
	c.awaitMore(t, 200)
	if failures := c.finish(); len(failures) > 0 {
		t.Errorf("got %d of %d requests refused or aborted, the first %s, want none", len(failures), c.count(), failures[0])
	}
}

func TestBackendDrainUnderLoad(t *testing.T) {
	t.Parallel()
	d := startDeployment(t, "--slots", "64", "--connections", "64", "--time", "2ms")
	c := startCallers(d, d.north, 8)
	c.awaitMore(t, 200)
	d.setBehaviour(d.southBackend, backend.Behaviour{Draining: true})
	eventually(t, "the draining backend server receives nothing while 400 requests are answered", func() bool {
		before := d.runs(d.southBackend).Total
		c.awaitMore(t, 400)
		return d.runs(d.southBackend).Total == before
	})
	if failures := c.finish(); len(failures) > 0 {
		t.Errorf("got %d of %d requests refused or aborted, the first %s, want none", len(failures), c.count(), failures[0])
	}
}

// A drain requested by an operator ends the process, as SIGTERM does.
func TestOperatorDrainStopsNode(t *testing.T) {
	t.Parallel()
	d := startDeployment(t)
	ctl(t, d.south.operators, "drain")
	if code := d.south.wait(); code != 0 {
		t.Errorf("got exit code %d, want 0", code)
	}
	d.awaitUpstreams(d.north, 1)
	d.awaitServing(d.north)
}
