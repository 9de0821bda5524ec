// Package daemon wires one node together with fx.
package daemon

import (
	"context"
	"errors"
	"expvar"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"coltsfootward"
	"coltsfootward/cmd/settings"
	"coltsfootward/core/message"
	"coltsfootward/core/node"
	"coltsfootward/core/record"
	"coltsfootward/io/caller"
	"coltsfootward/io/loop"
	"coltsfootward/io/operator"
	"coltsfootward/io/peer"
	"coltsfootward/io/platform"
	"coltsfootward/io/upstream"
	"coltsfootward/schema/coltsfootward/v1/coltsfootwardv1connect"

	"github.com/gorilla/mux"
	"go.uber.org/fx"
	"go.uber.org/fx/fxevent"
	"go.uber.org/zap"
)

const (
	// timelineSize is how many events the time line's ring keeps.
	timelineSize = 4096
	// headerTimeout bounds how long a caller may take to send its header.
	headerTimeout = 10 * time.Second
	// readTimeout bounds how long a caller may take to send a whole request.
	readTimeout = 60 * time.Second
	// maximumHeader bounds a request's header in bytes.
	maximumHeader = 32 << 10
	// StopTimeout bounds how long a graceful stop may take.
	StopTimeout = 10 * time.Minute
)

// New returns the application that runs one node.
func New(s settings.Settings, logger *zap.Logger) *fx.App {
	return fx.New(
		fx.Supply(s, logger),
		fx.WithLogger(func() fxevent.Logger { return fxevent.NopLogger }),
		fx.StartTimeout(30*time.Second),
		fx.StopTimeout(StopTimeout),
		fx.Provide(newParts),
		fx.Invoke(func(*Parts) {}),
	)
}

// Parts are the pieces of a running node.
type Parts struct {
	settings  settings.Settings
	logger    *zap.Logger
	loop      *loop.Loop
	transport *peer.Transport
	servers   []*http.Server
	drained   chan struct{}
	once      sync.Once
}

func newParts(lifecycle fx.Lifecycle, s settings.Settings, logger *zap.Logger) (*Parts, error) {
	p := &Parts{settings: s, logger: logger, drained: make(chan struct{})}
	lifecycle.Append(fx.Hook{OnStart: p.start, OnStop: p.stop})
	return p, nil
}

func (p *Parts) start(context.Context) error {
	listeners, err := p.listen()
	if err != nil {
		return err
	}
	clock := loop.NewClock()
	incarnation := coltsfootward.Incarnation(time.Now().UnixNano())
	options := p.settings.NodeOptions(incarnation)
	timeline := record.NewRing(timelineSize)
	table := platform.New(p.settings.Platform.URL)
	// Peers may connect before everything is wired; they wait for ready.
	ready := make(chan struct{})
	handler := &peerHandler{ready: ready, logger: p.logger, timeline: timeline}
	p.transport = peer.NewTransport(options.Self, clock.Now, handler, listeners.peers)
	machine := node.New(options, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())), clock.Now())
	p.loop = loop.New(machine, clock, loop.Outlets{
		Send:    p.transport.Send,
		Table:   table,
		Report:  func(r record.Record) { report(p.logger, timeline, r) },
		Drained: func() { p.once.Do(func() { close(p.drained) }) },
	})
	handler.loop = p.loop
	handler.upstream = upstream.New(p.loop, clock)
	close(ready)
	service := operator.New(p.loop, table, timeline)
	p.serve(listeners.callers, p.callerRouter())
	p.serve(listeners.backend, p.backendRouter(handler.upstream))
	p.serve(listeners.operators, operatorRouter(service))
	report(p.logger, timeline, record.New(record.NodeStarted, time.Now(),
		record.Field{Name: "instance", Value: p.settings.Instance.ID}))
	return nil
}

func (p *Parts) callerRouter() *mux.Router {
	router := mux.NewRouter()
	face := caller.NewWithOptions(p.loop, p.transport, caller.Options{MaximumBody: p.settings.Requests.MaximumBody})
	face.Register(router)
	return router
}

func (p *Parts) backendRouter(server *upstream.Server) *mux.Router {
	router := mux.NewRouter()
	server.Register(router)
	face := caller.NewWithOptions(p.loop, p.transport, caller.Options{MaximumBody: p.settings.Requests.MaximumBody, Local: true})
	face.Register(router)
	return router
}

func operatorRouter(service *operator.Service) *mux.Router {
	router := mux.NewRouter()
	path, handler := coltsfootwardv1connect.NewOperatorServiceHandler(service)
	router.PathPrefix(path).Handler(handler)
	router.Handle("/debug/vars", expvar.Handler())
	return router
}

type listeners struct {
	callers, backend, peers, operators net.Listener
}

func (p *Parts) listen() (listeners, error) {
	var l listeners
	var opened []net.Listener
	for _, face := range []struct {
		listener *net.Listener
		address  string
	}{
		{&l.callers, p.settings.Listen.Callers},
		{&l.backend, p.settings.Listen.Backend},
		{&l.peers, p.settings.Listen.Peers},
		{&l.operators, p.settings.Listen.Operators},
	} {
		listener, err := net.Listen("tcp", face.address)
		if err != nil {
			for _, o := range opened {
				o.Close()
			}
			return l, fmt.Errorf("daemon: listen: %w: choose an address of this machine that is free", err)
		}
		*face.listener = listener
		opened = append(opened, listener)
	}
	return l, nil
}

func (p *Parts) serve(listener net.Listener, handler http.Handler) {
	protocols := &http.Protocols{}
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	server := &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: headerTimeout,
		ReadTimeout:       readTimeout,
		MaxHeaderBytes:    maximumHeader,
		Protocols:         protocols,
		ErrorLog:          zap.NewStdLog(p.logger.WithOptions(zap.IncreaseLevel(zap.ErrorLevel))),
	}
	p.servers = append(p.servers, server)
	go func() {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			p.logger.Error("serve", zap.Error(err))
		}
	}()
}

// stop leaves gracefully: the machine announces it, takes no new work and
// finishes what runs; only then do the faces close.
func (p *Parts) stop(ctx context.Context) error {
	p.loop.Post(node.DrainRequested{})
	select {
	case <-p.drained:
	case <-ctx.Done():
	}
	var all []error
	for _, server := range p.servers {
		all = append(all, server.Shutdown(ctx))
	}
	p.transport.Shutdown(ctx)
	p.transport.Close()
	p.loop.Close()
	p.logger.Info("node_stopped", zap.Int("code", int(record.NodeStopped)))
	return errors.Join(all...)
}

// report writes a record to the log and the time line.
func report(logger *zap.Logger, timeline *record.Ring, r record.Record) {
	timeline.Add(r)
	entry := record.Lookup(r.Code)
	fields := []zap.Field{zap.Int("code", int(r.Code))}
	for _, f := range r.Fields {
		fields = append(fields, zap.String(f.Name, f.Value))
	}
	switch entry.Level {
	case "debug":
		logger.Debug(r.Name, fields...)
	case "warn":
		logger.Warn(r.Name, fields...)
	case "error":
		logger.Error(r.Name, fields...)
	default:
		logger.Info(r.Name, fields...)
	}
}

// peerHandler brings what peers send to the machine and the backend server.
type peerHandler struct {
	ready    chan struct{}
	logger   *zap.Logger
	timeline *record.Ring
	loop     *loop.Loop
	upstream *upstream.Server
}

// ServeCall implements peer.Handler.
func (h *peerHandler) ServeCall(ctx context.Context, call peer.IncomingCall, w *peer.AnswerWriter) {
	<-h.ready
	h.upstream.ServeCall(ctx, call, w)
}

// ServeMessage implements peer.Handler.
func (h *peerHandler) ServeMessage(from coltsfootward.Instance, m message.Message, age time.Duration) {
	<-h.ready
	h.loop.Post(node.MessageArrived{From: from.ID, Message: m, Age: age})
}

// PeerConnected implements peer.Handler.
func (h *peerHandler) PeerConnected(instance coltsfootward.Instance) {
	report(h.logger, h.timeline, record.New(record.PeerConnected, time.Now(), record.Field{Name: "peer", Value: string(instance.ID)}))
}

// PeerLost implements peer.Handler.
func (h *peerHandler) PeerLost(instance coltsfootward.Instance) {
	<-h.ready
	report(h.logger, h.timeline, record.New(record.PeerLost, time.Now(), record.Field{Name: "peer", Value: string(instance.ID)}))
	h.loop.Post(node.PeerLost{Instance: instance.ID})
}

// FrameRejected implements peer.Handler.
func (h *peerHandler) FrameRejected(address string, err error) {
	report(h.logger, h.timeline, record.New(record.PeerFrameRejected, time.Now(),
		record.Field{Name: "address", Value: address}, record.Field{Name: "error", Value: err.Error()}))
}
