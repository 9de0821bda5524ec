package deployment_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"coltsfootward"
	"coltsfootward/cmd/daemon"
	"coltsfootward/cmd/settings"
	"coltsfootward/examples/deployment"
	"coltsfootward/io/upstream"
	coltsfootwardv1 "coltsfootward/schema/coltsfootward/v1"
	"coltsfootward/schema/coltsfootward/v1/coltsfootwardv1connect"
	"coltsfootward/standin/backend"
	"coltsfootward/standin/platform"

	"connectrpc.com/connect"
	"github.com/sebdah/goldie/v2"
	"go.uber.org/zap"
)

// Checks that the settings files and scripts in the repository are those that
// Deployment generates. After a change to it, review the difference and run go
// test coltsfootward/examples/deployment -update.
func TestReadyFiles(t *testing.T) {
	for _, d := range deployment.Deployments() {
		directory := filepath.Join("..", d.Name)
		files := goldie.New(t, goldie.WithFixtureDir(directory), goldie.WithNameSuffix(""))
		files.Assert(t, "configure.sh", []byte(d.Configure()))
		for _, i := range d.Instances() {
			files.Assert(t, i.ID+".toml", []byte(d.Settings(i)))
			if _, err := settings.Load(filepath.Join(directory, i.ID+".toml")); err != nil {
				t.Errorf("%s: got %v, want the settings file accepted", i.ID, err)
			}
		}
	}
}

// testDeployment is a deployment in one process, on ports that the kernel
// chose.
type testDeployment struct {
	t     *testing.T
	nodes []*daemon.Daemon
}

const anyPort = "127.0.0.1:0"

func start(t *testing.T, d deployment.Deployment) *testDeployment {
	t.Helper()
	table := httptest.NewServer(platform.New().Handler())
	t.Cleanup(table.Close)
	td := &testDeployment{t: t}
	for _, i := range d.Instances() {
		s, err := settings.Load(filepath.Join("..", d.Name, i.ID+".toml"))
		if err != nil {
			t.Fatal(err)
		}
		s.Listen = settings.Listen{Callers: anyPort, Backend: anyPort, Peers: anyPort, Operators: anyPort}
		s.PlatformURL = table.URL
		td.addInstance(s, i)
	}
	return td
}

func (td *testDeployment) addInstance(s settings.Settings, i deployment.Instance) {
	td.t.Helper()
	node := daemon.New(s, zap.NewNop())
	if err := node.Start(td.t.Context()); err != nil {
		td.t.Fatal(err)
	}
	td.nodes = append(td.nodes, node)
	listener, err := net.Listen("tcp", anyPort)
	if err != nil {
		td.t.Fatal(err)
	}
	server := backend.New(listener, backend.Options{
		Announcement: upstream.Announcement{
			Service: coltsfootward.ServiceName(i.Service.Name), Slots: i.Service.Slots, Connections: i.Service.Connections,
		},
		NodeAddress: node.Addresses().Backend,
		ServiceTime: time.Millisecond,
	})
	td.t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		defer cancel()
		if err := node.Stop(ctx); err != nil {
			td.t.Errorf("stop %s: got %v, want a graceful stop", i.ID, err)
		}
		server.Close()
	})
}

func (td *testDeployment) client() coltsfootwardv1connect.OperatorServiceClient {
	return coltsfootwardv1connect.NewOperatorServiceClient(http.DefaultClient, "http://"+td.nodes[0].Addresses().Operators)
}

// eventually waits until check returns true.
func (td *testDeployment) eventually(what string, check func() bool) {
	td.t.Helper()
	deadline := time.Now().Add(time.Minute)
	for !check() {
		if time.Now().After(deadline) {
			td.t.Fatalf("timed out waiting until %s", what)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

func change(id string) *coltsfootwardv1.ChangeContext {
	return &coltsfootwardv1.ChangeContext{ChangeId: id, WaitMilliseconds: 30_000}
}

// Checks that a node starts with every settings file, that all nodes discover
// each other, and that the first node answers requests for any service.
func TestDeploymentsStart(t *testing.T) {
	for _, d := range deployment.Deployments() {
		t.Run(d.Name, func(t *testing.T) {
			td := start(t, d)
			ctx := t.Context()
			td.eventually("every node knows every other", func() bool {
				status, err := td.client().Status(ctx, connect.NewRequest(&coltsfootwardv1.StatusRequest{}))
				return err == nil && int(status.Msg.Peers) == len(td.nodes)-1
			})
			for _, s := range d.Services {
				_, err := td.client().SetService(ctx, connect.NewRequest(&coltsfootwardv1.SetServiceRequest{
					Context: change(s.Name), Service: &coltsfootwardv1.Service{Name: s.Name},
				}))
				if err != nil {
					t.Fatalf("set service %s: %v", s.Name, err)
				}
			}
			key := td.createOrganisation(d.Organisations[0])
			for _, s := range d.Services {
				td.eventually("a caller of "+s.Name+" is answered", func() bool { return td.isAnswered(s.Name, key) })
			}
		})
	}
}

func (td *testDeployment) createOrganisation(o deployment.Organisation) string {
	td.t.Helper()
	const key = "a-key-that-only-this-test-knows"
	_, err := td.client().SetOrganisation(td.t.Context(), connect.NewRequest(&coltsfootwardv1.SetOrganisationRequest{
		Context: change(o.Name), Name: o.Name, RatePerSecond: o.Rate, Burst: int64(o.Burst),
	}))
	if err != nil {
		td.t.Fatal(err)
	}
	_, err = td.client().IssueKey(td.t.Context(), connect.NewRequest(&coltsfootwardv1.IssueKeyRequest{
		Context: change(o.Name + "-key"), Id: o.Name + "-1", Organisation: o.Name, Digest: string(coltsfootward.DigestKey(key)),
	}))
	if err != nil {
		td.t.Fatal(err)
	}
	return key
}

func (td *testDeployment) isAnswered(service, key string) bool {
	td.t.Helper()
	path := "/" + service + "/some/page"
	request, err := http.NewRequestWithContext(td.t.Context(), http.MethodGet, "http://"+td.nodes[0].Addresses().Callers+path, nil)
	if err != nil {
		td.t.Fatal(err)
	}
	request.Header.Set("Authorization", "Bearer "+key)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return false
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return err == nil && response.StatusCode == http.StatusOK && strings.HasPrefix(string(body), fmt.Sprintf("GET %s ", "/some/page"))
}
