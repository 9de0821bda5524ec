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

// downloadSize is more than all buffers between backend server and caller
// hold, so that a download whose reader waits is surely not over.
const downloadSize = 24 << 20

// download is a running download. Its reader waits after the first bytes
// until it may go on.
type download struct {
	begun chan struct{}
	goOn  chan struct{}
	err   error
}

// downloads starts n downloads at a node and waits until each has begun.
func downloads(d *deployment, node *nodeProcess, n int) (all []*download, wait *sync.WaitGroup) {
	d.t.Helper()
	wait = &sync.WaitGroup{}
	goOn := make(chan struct{})
	for i := range n {
		one := &download{begun: make(chan struct{}), goOn: goOn}
		all = append(all, one)
		wait.Go(func() { one.err = one.run(d, node, fmt.Sprintf("log-%d", i)) })
	}
	for _, one := range all {
		<-one.begun
	}
	return all, wait
}

func (o *download) run(d *deployment, node *nodeProcess, name string) error {
	begun := sync.OnceFunc(func() { close(o.begun) })
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
	<-o.goOn
	if err := compare(response.Body, want, downloadSize-64<<10); err != nil {
		return err
	}
	if n, err := response.Body.Read(make([]byte, 1)); n != 0 || !errors.Is(err, io.EOF) {
		return fmt.Errorf("got %d bytes and %v after the file, want its end", n, err)
	}
	return nil
}

// compare reads the next bytes of a download piece by piece: held whole, the
// downloads would take more memory than the rest of the tests together.
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

// Operators restart a node while crews pull large run logs through it. A
// download that is cut off sends a truck out blind. The signal comes while
// every download waits half-way; each must end whole, and the node must then
// exit by itself.
func TestStopCutsOffNoDownload(t *testing.T) {
	for _, stopped := range []string{"entry node", "upstream's node"} {
		t.Run(stopped, func(t *testing.T) {
			t.Parallel()
			d := startDeployment(t, "--slots", "64", "--connections", "64")
			node := d.north
			if stopped == "upstream's node" {
				node = d.south
			}
			all, wait := downloads(d, d.north, 6)
			node.signal(syscall.SIGTERM)
			eventually(t, "the node is draining", func() bool {
				return bytes.Contains([]byte(node.output.String()), []byte("node_draining"))
			})
			close(all[0].goOn)
			wait.Wait()
			for i, one := range all {
				if one.err != nil {
					t.Errorf("download %d: got %v, want it whole", i, one.err)
				}
			}
			if code := node.wait(); code != 0 {
				t.Errorf("got exit code %d, want 0", code)
			}
		})
	}
}

// callers send short requests without a pause until they are told to stop.
type callers struct {
	stop chan struct{}
	wait sync.WaitGroup
	mu   sync.Mutex
	bad  []string
	done int
}

// startCallers starts n callers at a node. Each answer must be whole and good.
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
				c.note(got, fmt.Sprintf("GET %s ", path))
			}
		})
	}
	return c
}

func (c *callers) note(got answer, want string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.done++
	if got.status != http.StatusOK || !bytes.HasPrefix([]byte(got.body), []byte(want)) {
		c.bad = append(c.bad, fmt.Sprintf("%d %s %s %q", got.status,
			got.header.Get("Coltsfootward-Refusal"), got.header.Get("Coltsfootward-Execution"), got.body))
	}
}

// count returns how many answers came so far.
func (c *callers) count() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.done
}

// further waits until n more answers have come.
func (c *callers) further(t *testing.T, n int) {
	t.Helper()
	target := c.count() + n
	eventually(t, fmt.Sprintf("%d further answers come", n), func() bool { return c.count() >= target })
}

func (c *callers) end() []string {
	close(c.stop)
	c.wait.Wait()
	return c.bad
}

// A node and then a backend server are taken out under steady traffic. No
// caller at another node may notice: what was refused as draining did not run
// and goes elsewhere.
func TestDrainUnderLoadRefusesNobody(t *testing.T) {
	t.Parallel()
	d := startDeployment(t, "--slots", "64", "--connections", "64", "--time", "2ms")
	c := startCallers(d, d.north, 8)
	c.further(t, 200)
	d.south.signal(syscall.SIGTERM)
	if code := d.south.wait(); code != 0 {
		t.Errorf("got exit code %d, want 0", code)
	}
	c.further(t, 200)
	if bad := c.end(); len(bad) > 0 {
		t.Errorf("got %d of %d callers refused or cut off, the first %s, want none", len(bad), c.count(), bad[0])
	}
}

func TestBackendDrainUnderLoadRefusesNobody(t *testing.T) {
	t.Parallel()
	d := startDeployment(t, "--slots", "64", "--connections", "64", "--time", "2ms")
	c := startCallers(d, d.north, 8)
	c.further(t, 200)
	d.behave(d.southBackend, backend.Behaviour{Draining: true})
	eventually(t, "the leaving backend server receives nothing while 400 others are answered", func() bool {
		before := d.runs(d.southBackend).Total
		c.further(t, 400)
		return d.runs(d.southBackend).Total == before
	})
	if bad := c.end(); len(bad) > 0 {
		t.Errorf("got %d of %d callers refused or cut off, the first %s, want none", len(bad), c.count(), bad[0])
	}
}

// The operators' drain ends the process as a signal does.
func TestOperatorsDrainEndsTheNode(t *testing.T) {
	t.Parallel()
	d := startDeployment(t)
	ctl(t, d.south.operators, "drain")
	if code := d.south.wait(); code != 0 {
		t.Errorf("got exit code %d, want 0", code)
	}
	d.awaitUpstreams(d.north, 1)
	d.awaitAnswer(d.north)
}
