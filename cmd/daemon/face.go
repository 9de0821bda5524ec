package daemon

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/pprof"
	"time"

	"coltsfootward"
	"coltsfootward/cmd/settings"
	"coltsfootward/io/caller"
	"coltsfootward/io/operator"
	"coltsfootward/io/socket"
	"coltsfootward/io/upstream"
	"coltsfootward/schema/coltsfootward/v1/coltsfootwardv1connect"

	"github.com/gorilla/mux"
	"go.uber.org/zap"
)

const (
	// headerTimeout bounds how long a client may take to send a request's header.
	headerTimeout = 10 * time.Second
	// readTimeout bounds how long a client may take to send a complete request.
	readTimeout = 60 * time.Second
	// idleTimeout bounds how long a client's connection may stay idle.
	idleTimeout = 3 * time.Minute
	// maximumHeaderBytes bounds the size of a request's header.
	maximumHeaderBytes = 32 << 10
)

type listeners struct {
	callers, backend, peers, operators, ready net.Listener
}

// listen opens all listeners whose addresses are set. If one fails, it closes the
// others. An address with port 0 is replaced by the one that the operating system
// chose, because the node announces its addresses to peers and operators.
func listen(addresses *settings.Listen) (listeners, error) {
	var l listeners
	var opened []net.Listener
	for _, endpoint := range []struct {
		listener *net.Listener
		address  *string
		listen   func(string) (net.Listener, error)
	}{
		{&l.callers, &addresses.Callers, listenTCP},
		{&l.backend, &addresses.Backend, listenTCP},
		{&l.peers, &addresses.Peers, socket.Listen},
		{&l.operators, &addresses.Operators, listenTCP},
		{&l.ready, &addresses.Ready, listenTCP},
	} {
		if *endpoint.address == "" {
			continue
		}
		listener, err := endpoint.listen(*endpoint.address)
		if err != nil {
			closeAll(opened)
			return l, fmt.Errorf("daemon: listen: %w: choose an address of this machine that is free", err)
		}
		*endpoint.listener = listener
		*endpoint.address = listener.Addr().String()
		opened = append(opened, listener)
	}
	return l, nil
}

func listenTCP(address string) (net.Listener, error) { return net.Listen("tcp", address) }

func closeAll(opened []net.Listener) {
	for _, listener := range opened {
		listener.Close()
	}
}

func (c *components) callerRouter() *mux.Router {
	router := mux.NewRouter()
	handler := caller.NewWithOptions(c.loop, c.transport, c.callerOptions())
	handler.Register(router)
	return router
}

func (c *components) callerOptions() caller.Options {
	return caller.Options{MaximumBody: c.settings.MaximumBody, Bodies: c.bodies, OnBodyRefused: func(key coltsfootward.KeyDigest, size int64) {
		c.reportBodyRefused("", string(key), size)
	}}
}

func (c *components) backendRouter(server *upstream.Server) *mux.Router {
	router := mux.NewRouter()
	server.Register(router)
	options := c.callerOptions()
	options.Local = true
	handler := caller.NewWithOptions(c.loop, c.transport, options)
	handler.Register(router)
	return router
}

func (c *components) operatorRouter(service *operator.Service) *mux.Router {
	router := mux.NewRouter()
	path, handler := coltsfootwardv1connect.NewOperatorServiceHandler(service)
	router.PathPrefix(path).Handler(handler)
	router.HandleFunc("/debug/vars", c.metrics.serve)
	router.HandleFunc("/metrics", c.metrics.serveText)
	router.HandleFunc("/debug/pprof/profile", pprof.Profile)
	router.HandleFunc("/debug/pprof/{name}", func(w http.ResponseWriter, r *http.Request) {
		pprof.Handler(mux.Vars(r)["name"]).ServeHTTP(w, r)
	})
	return router
}

func (c *components) serve(listener net.Listener, handler http.Handler) {
	protocols := &http.Protocols{}
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	server := &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: headerTimeout,
		ReadTimeout:       readTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maximumHeaderBytes,
		Protocols:         protocols,
		ErrorLog:          zap.NewStdLog(c.reporter.logger.WithOptions(zap.IncreaseLevel(zap.ErrorLevel))),
	}
	c.servers = append(c.servers, server)
	c.wait.Go(func() {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			c.reporter.logger.Error("serve", zap.Error(err))
		}
	})
}
