package main

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"coltsfootward"
	"coltsfootward/cmd/daemon"
	"coltsfootward/cmd/settings"
	"coltsfootward/io/upstream"
	coltsfootwardv1 "coltsfootward/schema/coltsfootward/v1"
	"coltsfootward/schema/coltsfootward/v1/coltsfootwardv1connect"
	"coltsfootward/standin/backend"
	"coltsfootward/standin/platform"

	"connectrpc.com/connect"
	"go.uber.org/zap"
)

const (
	service = "quotes"
	key     = "key-of-the-load-command"
	anyPort = "127.0.0.1:0"
	// readyTimeout bounds the wait until the nodes serve requests.
	readyTimeout = time.Minute
)

// deployment is two nodes in two failure domains, in this process. Callers reach the
// node in the domain north; the backend server is beside the node in the domain south.
type deployment struct {
	direct, through, key string
	nodes                []*daemon.Daemon
	backend              *backend.Backend
	platform             *http.Server
}

func startDeployment(ctx context.Context) (*deployment, error) {
	d := &deployment{key: key}
	listener, err := net.Listen("tcp", anyPort)
	if err != nil {
		return nil, fmt.Errorf("coltsload: start the platform: %w", err)
	}
	d.platform = &http.Server{Handler: platform.New().Handler(), ReadHeaderTimeout: time.Minute}
	go func() { _ = d.platform.Serve(listener) }() // returns when stop closes the server
	for _, domain := range []string{"north", "south"} {
		if err := d.startNode(ctx, domain, listener.Addr().String()); err != nil {
			return nil, err
		}
	}
	if err := d.startBackend(); err != nil {
		return nil, err
	}
	d.direct = "http://" + d.backend.Address()
	d.through = "http://" + d.nodes[0].Addresses().Callers + "/" + service
	return d, errors.Join(d.configure(ctx), d.awaitServing(ctx))
}

func (d *deployment) startNode(ctx context.Context, domain, platformAddress string) error {
	s := settings.Default()
	s.Instance = settings.Instance{ID: domain + "-1", Domain: domain, Domains: []string{"north", "south"}}
	s.Listen = settings.Listen{Callers: anyPort, Backend: anyPort, Peers: anyPort, Operators: anyPort}
	s.PlatformURL = "http://" + platformAddress
	node := daemon.New(s, zap.NewNop())
	d.nodes = append(d.nodes, node)
	return node.Start(ctx)
}

func (d *deployment) startBackend() error {
	listener, err := net.Listen("tcp", anyPort)
	if err != nil {
		return fmt.Errorf("coltsload: start the backend server: %w", err)
	}
	d.backend = backend.New(listener, backend.Options{
		Announcement: upstream.Announcement{Service: service, Slots: 120, Connections: 800},
		NodeAddress:  d.nodes[1].Addresses().Backend,
		DiscardRuns:  true,
	})
	return nil
}

func (d *deployment) configure(ctx context.Context) error {
	client := coltsfootwardv1connect.NewOperatorServiceClient(http.DefaultClient, "http://"+d.nodes[0].Addresses().Operators)
	change := func(id string) *coltsfootwardv1.ChangeContext {
		return &coltsfootwardv1.ChangeContext{ChangeId: id, WaitMilliseconds: readyTimeout.Milliseconds()}
	}
	_, err := client.SetService(ctx, connect.NewRequest(&coltsfootwardv1.SetServiceRequest{
		Context: change("service"), Service: &coltsfootwardv1.Service{Name: service},
	}))
	if err != nil {
		return fmt.Errorf("coltsload: set the service: %w", err)
	}
	_, err = client.SetOrganisation(ctx, connect.NewRequest(&coltsfootwardv1.SetOrganisationRequest{
		Context: change("organisation"), Name: "load", RatePerSecond: 1e6, Burst: 1e6,
	}))
	if err != nil {
		return fmt.Errorf("coltsload: set the organisation: %w", err)
	}
	_, err = client.IssueKey(ctx, connect.NewRequest(&coltsfootwardv1.IssueKeyRequest{
		Context: change("key"), Id: "load-1", Organisation: "load", Digest: string(coltsfootward.DigestKey(key)),
	}))
	if err != nil {
		return fmt.Errorf("coltsload: issue the key: %w", err)
	}
	return nil
}

func (d *deployment) awaitServing(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for call(ctx, http.DefaultClient, target{url: d.through + "/ready", key: d.key}) != "" {
		select {
		case <-time.After(20 * time.Millisecond):
		case <-ctx.Done():
			return errors.New("coltsload: no request was answered in time: run the quickstart to see why")
		}
	}
	return nil
}

func (d *deployment) stop(ctx context.Context) {
	for _, node := range d.nodes {
		_ = node.Stop(ctx) // the process exits anyway
	}
	d.backend.Close()
	d.platform.Close()
}
