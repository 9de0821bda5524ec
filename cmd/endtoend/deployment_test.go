package endtoend_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"testing"

	"coltsfootward/standin/backend"
	"coltsfootward/standin/platform"
)

// deployment is a platform, two nodes in two failure domains, and a backend server of
// the same service beside each node.
type deployment struct {
	t                   *testing.T
	platform            string
	north, south        *nodeProcess
	northBackend        string
	southBackend        string
	northBackendProcess *process
	key                 string
}

const service = "quotes"

// startDeployment starts a deployment with an organisation whose rate no test reaches,
// and waits until each node serves a request.
func startDeployment(t *testing.T, backendArgs ...string) *deployment {
	t.Helper()
	d := &deployment{t: t, platform: startPlatform(t)}
	d.north = startNode(t, "north-1", "north", d.platform)
	d.south = startNode(t, "south-1", "south", d.platform)
	d.northBackend, d.northBackendProcess = startBackend(t, d.north, backendArgs...)
	d.southBackend, _ = startBackend(t, d.south, backendArgs...)
	ctl(t, d.north.operators, "service", "set", service, "--mark", "POST / normal unrepeatable")
	ctl(t, d.north.operators, "organisation", "set", "traders", "--rate", "1000000", "--burst", "1000000")
	d.key = ctl(t, d.north.operators, "key", "issue", "traders-1", "--organisation", "traders")
	for _, node := range []*nodeProcess{d.north, d.south} {
		d.awaitServing(node)
		d.awaitUpstreams(node, 2)
	}
	return d
}

func startBackend(t *testing.T, node *nodeProcess, args ...string) (string, *process) {
	t.Helper()
	all := append([]string{"backend", "--node", node.backend, "--service", service}, args...)
	p := start(t, "standin", all...)
	return p.listening(), p
}

func startPlatform(t *testing.T) string {
	t.Helper()
	return start(t, "standin", "platform", "--listen", "127.0.0.1:0").listening()
}

func (d *deployment) awaitServing(node *nodeProcess) {
	d.t.Helper()
	eventually(d.t, "a request is answered", func() bool {
		return get(d.t, node.callers, "/"+service+"/ready", d.key).status == http.StatusOK
	})
}

// status is the part of the JSON output of coltsfootctl status that the tests use.
type status struct {
	Draining          bool  `json:"draining"`
	PlatformAvailable bool  `json:"platform_available"`
	Peers             int32 `json:"peers"`
	Upstreams         []struct {
		Instance string `json:"instance"`
		Draining bool   `json:"draining"`
	} `json:"upstreams"`
}

func (d *deployment) status(node *nodeProcess) status {
	d.t.Helper()
	var s status
	result := tryCtl(d.t, "", node.operators, "status", "--output", "json")
	if result.code != 0 {
		return s
	}
	if err := json.Unmarshal([]byte(result.stdout), &s); err != nil {
		d.t.Fatalf("status of %s: %v", result.stdout, err)
	}
	return s
}

// awaitUpstreams waits until node knows exactly count backend servers that are not
// draining.
func (d *deployment) awaitUpstreams(node *nodeProcess, count int) {
	d.t.Helper()
	eventually(d.t, fmt.Sprintf("a node has %d backend servers that are not draining", count), func() bool {
		ready := 0
		for _, u := range d.status(node).Upstreams {
			if !u.Draining {
				ready++
			}
		}
		return ready == count
	})
}

// runs returns the counts of requests that the backend server at address has received.
func (d *deployment) runs(address string) backend.RunCounts {
	d.t.Helper()
	response, err := http.Get("http://" + address + backend.PathRuns)
	if err != nil {
		d.t.Fatal(err)
	}
	defer response.Body.Close()
	var counts backend.RunCounts
	if err := json.NewDecoder(response.Body).Decode(&counts); err != nil {
		d.t.Fatal(err)
	}
	return counts
}

// setFailure sets the failures that the platform simulates.
func (d *deployment) setFailure(f platform.Failure) { put(d.t, "http://"+d.platform+"/failure", f) }

// setBehaviour sets a backend server's behaviour.
func (d *deployment) setBehaviour(address string, b backend.Behaviour) {
	put(d.t, "http://"+address+backend.PathBehaviour, b)
}

func put(t *testing.T, url string, value any) {
	t.Helper()
	data, err := json.Marshal(value)
	if err != nil {
		t.Fatal(err)
	}
	request, err := http.NewRequest(http.MethodPut, url, bytes.NewReader(data))
	if err != nil {
		t.Fatal(err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	response.Body.Close()
	if response.StatusCode != http.StatusNoContent {
		t.Fatalf("put %s: got status %d", url, response.StatusCode)
	}
}
