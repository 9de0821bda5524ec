package daemon

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"strconv"
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
	"coltsfootward/io/wire"
	hosting "coltsfootward/platform"

	"go.uber.org/fx"
	"go.uber.org/zap"
)

// table is the platform's table, independent of the protocol used to reach it.
type table interface {
	coltsfootward.Table
	Close()
}

// components holds the components of a running node.
type components struct {
	settings  settings.Settings
	reporter  *reporter
	metrics   *metrics
	table     table
	hosted    *hosted
	loop      *loop.Loop
	transport *peer.Transport
	bodies    *wire.Budget
	servers   []*http.Server
	wait      sync.WaitGroup
	drained   chan struct{}
	once      sync.Once
}

func newComponents(lifecycle fx.Lifecycle, s settings.Settings, logger *zap.Logger) *components {
	c := &components{settings: s, reporter: newReporter(s, logger), bodies: wire.NewBudget(bodyMemory), drained: make(chan struct{})}
	lifecycle.Append(fx.Hook{OnStart: c.start, OnStop: c.stop})
	return c
}

func (c *components) start(context.Context) error {
	l, err := listen(&c.settings.Listen)
	if err != nil {
		return err
	}
	clock := loop.NewClock()
	options := c.settings.NodeOptions(coltsfootward.Incarnation(time.Now().UnixNano()))
	var documents coltsfootward.Documents
	if c.settings.Hosted() {
		store := hosting.NewStore(c.settings.PlatformURL)
		c.table, documents = store, store.Documents()
	} else {
		c.table = platform.New(c.settings.PlatformURL)
	}
	c.metrics = newMetrics()
	handler := &peerHandler{ready: make(chan struct{}), reporter: c.reporter, metrics: c.metrics}
	c.transport = peer.NewTransport(options.Self, clock.Now, handler, l.peers)
	source := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	c.loop = loop.New(node.New(options, source, clock.Now()), clock, loop.Handlers{
		Send:    c.send,
		Table:   c.table,
		Report:  c.reporter.report,
		Drained: c.closeDrained,
		ConfigurationInForce: func(configuration coltsfootward.Configuration) {
			if c.hosted != nil {
				c.hosted.setConfiguration(configuration)
			}
		},
		CheckDocument: func() {
			if c.hosted != nil {
				c.hosted.requestDocumentCheck()
			}
		},
		CheckBackend: func() {
			if c.hosted != nil {
				c.hosted.checkBackend()
			}
		},
		Observe: c.metrics.observe,
	})
	handler.loop = c.loop
	handler.upstream = upstream.NewWithOptions(c.loop, clock, c.upstreamOptions())
	c.metrics.registerGauges(c.loop)
	if c.settings.Hosted() {
		c.startHosted(l, handler.upstream, documents)
	} else {
		c.serve(l.callers, c.callerRouter())
		c.serve(l.backend, c.backendRouter(handler.upstream))
	}
	close(handler.ready)
	operators := operator.New(c.loop, c.table, c.reporter.timeline)
	if c.settings.Hosted() {
		operators.ReadOnly()
	}
	c.serve(l.operators, c.operatorRouter(operators))
	c.reportStarted()
	return nil
}

// close shuts down an HTTP server. On the hosting platform the callers' connections
// have been closed by then and the remaining requests concern this node only, so the
// server is closed hard if the graceful shutdown fails: a connection that was opened
// but never used delays a graceful shutdown by 5 s, which is more time than the node
// has.
func (c *components) close(ctx context.Context, server *http.Server) error {
	err := server.Shutdown(ctx)
	if err == nil || c.hosted == nil {
		return err
	}
	return server.Close()
}

// shutdownContext bounds the shutdown of the HTTP servers and the wait for the peers'
// goodbyes. On the hosting platform the node has only its grace period: an unreachable
// peer never responds, and a node that waited for it was killed by the platform before
// it could send its own goodbyes.
func (c *components) shutdownContext(ctx context.Context) (context.Context, context.CancelFunc) {
	if c.hosted == nil {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, goodbyeTimeout)
}

// goodbyeTimeout is how long a hosted node waits for its peers' goodbyes: a few round
// trips between failure domains.
const goodbyeTimeout = 500 * time.Millisecond

func (c *components) upstreamOptions() upstream.Options {
	options := upstream.Options{Bodies: c.bodies, OnBodyRefused: func(head message.Call) {
		c.reportBodyRefused(string(head.Request), string(head.Organisation), -1)
	}}
	if c.settings.Hosted() {
		fields := hosting.Fields()
		options.Routed = &fields
	}
	return options
}

// bodyMemory is the memory for the bodies of the requests that a node holds, in bytes. It
// has room for the largest body that operators may allow beside those of other
// organisations. With the garbage of collected bodies it stays within the memory of the
// smallest machines.
const bodyMemory = 80 << 20

// reportBodyRefused reports a request that was refused because there is no memory for its
// body. size is -1 if that is not known.
func (c *components) reportBodyRefused(request, owner string, size int64) {
	c.metrics.add(countBodiesRefused, 1)
	decimal := func(n int64) string { return strconv.FormatInt(n, 10) }
	c.reporter.report(record.New(record.BodyRefused, time.Now(),
		record.Field{Name: "request", Value: request}, record.Field{Name: "organisation", Value: owner}, record.Field{Name: "size", Value: decimal(size)},
		record.Field{Name: "held", Value: decimal(c.bodies.Held(owner))}, record.Field{Name: "used", Value: decimal(c.bodies.Used())}))
}

// reportStarted logs the addresses that the node listens on, because the operating
// system may have chosen the ports.
func (c *components) reportStarted() {
	l := c.settings.Listen
	c.reporter.report(record.New(record.NodeStarted, time.Now(),
		record.Field{Name: "callers", Value: l.Callers}, record.Field{Name: "backend", Value: l.Backend},
		record.Field{Name: "peers", Value: l.Peers}, record.Field{Name: "operators", Value: l.Operators}))
}

func (c *components) send(to coltsfootward.Instance, m message.Message) {
	c.reporter.stamp(m)
	c.transport.Send(to, m)
}

func (c *components) closeDrained() { c.once.Do(func() { close(c.drained) }) }

// stop stops the node gracefully: the state machine announces the stop, accepts no new
// work and finishes the running requests. The listeners are closed after that.
func (c *components) stop(ctx context.Context) error {
	var errs []error
	if c.hosted != nil {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, c.settings.Stop.Grace-closeMargin)
		defer cancel()
		errs = append(errs, c.hosted.stop(ctx))
	} else {
		c.loop.Post(node.DrainRequested{})
		select {
		case <-c.drained:
		case <-ctx.Done():
		}
	}
	shutdownCtx, cancel := c.shutdownContext(ctx)
	defer cancel()
	for _, server := range c.servers {
		errs = append(errs, c.close(shutdownCtx, server))
	}
	c.transport.Shutdown(shutdownCtx)
	c.transport.Close()
	c.loop.Close()
	c.wait.Wait()
	c.table.Close()
	c.reporter.report(record.New(record.NodeStopped, time.Now()))
	return errors.Join(errs...)
}
