package daemon

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"coltsfootward"
	"coltsfootward/cmd/settings"
	"coltsfootward/core/message"
	"coltsfootward/core/node"
	"coltsfootward/core/record"
	"coltsfootward/io/loop"
	"coltsfootward/io/operator"
	"coltsfootward/io/peer"
	"coltsfootward/io/platform"
	"coltsfootward/io/upstream"
	hosting "coltsfootward/platform"

	"go.uber.org/fx"
	"go.uber.org/zap"
)

// table is the platform's table, whichever way it is spoken to.
type table interface {
	coltsfootward.Table
	Close()
}

// parts are the pieces of a running node.
type parts struct {
	settings  settings.Settings
	reporter  *reporter
	metrics   *metrics
	table     table
	hosted    *hosted
	loop      *loop.Loop
	transport *peer.Transport
	servers   []*http.Server
	wait      sync.WaitGroup
	drained   chan struct{}
	once      sync.Once
}

func newParts(lifecycle fx.Lifecycle, s settings.Settings, logger *zap.Logger) *parts {
	p := &parts{settings: s, reporter: newReporter(s, logger), drained: make(chan struct{})}
	lifecycle.Append(fx.Hook{OnStart: p.start, OnStop: p.stop})
	return p
}

func (p *parts) start(context.Context) error {
	faces, err := listen(&p.settings.Listen)
	if err != nil {
		return err
	}
	clock := loop.NewClock()
	options := p.settings.NodeOptions(coltsfootward.Incarnation(time.Now().UnixNano()))
	var documents coltsfootward.Documents
	if p.settings.Hosted() {
		store := hosting.NewStore(p.settings.PlatformURL)
		p.table, documents = store, store.Documents()
	} else {
		p.table = platform.New(p.settings.PlatformURL)
	}
	p.metrics = newMetrics()
	handler := &peerHandler{ready: make(chan struct{}), reporter: p.reporter, metrics: p.metrics}
	p.transport = peer.NewTransport(options.Self, clock.Now, handler, faces.peers)
	source := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	p.loop = loop.New(node.New(options, source, clock.Now()), clock, loop.Handlers{
		Send:    p.send,
		Table:   p.table,
		Report:  p.reporter.report,
		Drained: p.left,
		ConfigurationInForce: func(c coltsfootward.Configuration) {
			if p.hosted != nil {
				p.hosted.inForce(c)
			}
		},
		CheckBackend: func() {
			if p.hosted != nil {
				p.hosted.checkBackend()
			}
		},
		Observe: p.metrics.observe,
	})
	handler.loop = p.loop
	handler.upstream = upstream.NewWithOptions(p.loop, clock, p.upstreamOptions())
	p.metrics.inspect(p.loop)
	if p.settings.Hosted() {
		p.startHosted(faces, handler.upstream, documents)
	} else {
		p.serve(faces.callers, p.callerRouter())
		p.serve(faces.backend, p.backendRouter(handler.upstream))
	}
	close(handler.ready)
	operators := operator.New(p.loop, p.table, p.reporter.timeline)
	if p.settings.Hosted() {
		operators.ReadOnly()
	}
	p.serve(faces.operators, p.operatorRouter(operators))
	p.started()
	return nil
}

// close ends a face. On the hosting platform callers have been let go by then, and
// what remains is asked of the node alone: a connection that was opened and never
// used holds up a graceful end for 5 s, which is longer than the node has.
func (p *parts) close(ctx context.Context, server *http.Server) error {
	err := server.Shutdown(ctx)
	if err == nil || p.hosted == nil {
		return err
	}
	return server.Close()
}

// leaveContext bounds how long the node waits for its peers' goodbyes. On the
// hosting platform it has only its grace: a peer that is cut off never answers, and
// a node that waited for it was ended by the platform with its last words unsaid.
func (p *parts) leaveContext(ctx context.Context) (context.Context, context.CancelFunc) {
	if p.hosted == nil {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, goodbyeWait)
}

// goodbyeWait is how long a hosted node waits for its peers' goodbyes: a few round
// trips between failure domains.
const goodbyeWait = 500 * time.Millisecond

func (p *parts) upstreamOptions() upstream.Options {
	if !p.settings.Hosted() {
		return upstream.Options{}
	}
	fields := hosting.Fields()
	return upstream.Options{Routed: &fields}
}

// started tells where the node listens, since the machine may have chosen ports.
func (p *parts) started() {
	l := p.settings.Listen
	p.reporter.report(record.New(record.NodeStarted, time.Now(),
		record.Field{Name: "callers", Value: l.Callers}, record.Field{Name: "backend", Value: l.Backend},
		record.Field{Name: "peers", Value: l.Peers}, record.Field{Name: "operators", Value: l.Operators}))
}

func (p *parts) send(to coltsfootward.Instance, m message.Message) {
	p.reporter.stamp(m)
	p.transport.Send(to, m)
}

func (p *parts) left() { p.once.Do(func() { close(p.drained) }) }

// stop leaves gracefully: the machine announces it, takes no new work and
// finishes what runs; only then do the faces close.
func (p *parts) stop(ctx context.Context) error {
	var all []error
	if p.hosted != nil {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, p.settings.Stop.Grace-finishMargin)
		defer cancel()
		all = append(all, p.hosted.stop(ctx))
	} else {
		p.loop.Post(node.DrainRequested{})
		select {
		case <-p.drained:
		case <-ctx.Done():
		}
	}
	leave, cancel := p.leaveContext(ctx)
	defer cancel()
	for _, server := range p.servers {
		all = append(all, p.close(leave, server))
	}
	p.transport.Shutdown(leave)
	p.transport.Close()
	p.loop.Close()
	p.wait.Wait()
	p.table.Close()
	p.reporter.report(record.New(record.NodeStopped, time.Now()))
	return errors.Join(all...)
}
