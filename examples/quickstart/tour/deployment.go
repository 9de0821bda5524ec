package tour

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"time"

	"coltsfootward"
	"coltsfootward/cmd/daemon"
	"coltsfootward/cmd/settings"
	"coltsfootward/io/upstream"
	"coltsfootward/standin/backend"
	"coltsfootward/standin/platform"

	"go.uber.org/zap"
)

// anyPort is a loopback address whose port the kernel chooses.
const anyPort = "127.0.0.1:0"

// deployment is a complete deployment in one process.
type deployment struct {
	platform     *http.Server
	north, south *daemon.Daemon
	backend      *backend.Backend
}

// start starts the platform, then the nodes, then the backend server beside
// the southern one.
func start(ctx context.Context) (*deployment, error) {
	d := &deployment{}
	if err := d.start(ctx); err != nil {
		d.stop(ctx)
		return nil, err
	}
	return d, nil
}

func (d *deployment) start(ctx context.Context) error {
	platformAddress, err := d.startPlatform()
	if err != nil {
		return err
	}
	if d.north, err = startNode(ctx, "north-1", "north", platformAddress); err != nil {
		return err
	}
	if d.south, err = startNode(ctx, "south-1", "south", platformAddress); err != nil {
		return err
	}
	return d.startBackend()
}

func (d *deployment) startPlatform() (address string, err error) {
	listener, err := net.Listen("tcp", anyPort)
	if err != nil {
		return "", fmt.Errorf("start the platform: %w", err)
	}
	server := &http.Server{Handler: platform.New().Handler(), ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(listener) }() // ends with Close
	d.platform = server
	return listener.Addr().String(), nil
}

func (d *deployment) startBackend() error {
	listener, err := net.Listen("tcp", anyPort)
	if err != nil {
		return fmt.Errorf("start the backend server: %w", err)
	}
	d.backend = backend.New(listener, backend.Options{
		Announcement: upstream.Announcement{Service: coltsfootward.ServiceName(service), Slots: 2, Connections: 8},
		NodeAddress:  d.south.Addresses().Backend,
		ServiceTime:  5 * time.Millisecond,
	})
	return nil
}

func startNode(ctx context.Context, id, domain, platformAddress string) (*daemon.Daemon, error) {
	s := settings.Default()
	s.Instance = settings.Instance{ID: id, Domain: domain, Domains: []string{"north", "south"}}
	s.Listen = settings.Listen{Callers: anyPort, Backend: anyPort, Peers: anyPort, Operators: anyPort}
	s.PlatformURL = "http://" + platformAddress
	node := daemon.New(s, zap.NewNop())
	if err := node.Start(ctx); err != nil {
		return nil, fmt.Errorf("start node %s: %w", id, err)
	}
	return node, nil
}

func (d *deployment) stop(ctx context.Context) {
	for _, node := range []*daemon.Daemon{d.north, d.south} {
		if node != nil {
			_ = node.Stop(ctx) // the process ends anyway
		}
	}
	if d.backend != nil {
		d.backend.Close()
	}
	if d.platform != nil {
		d.platform.Close()
	}
}
