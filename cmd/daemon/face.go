package daemon

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/pprof"
	"time"

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
	// headerTimeout bounds how long a caller may take to send its header.
	headerTimeout = 10 * time.Second
	// readTimeout bounds how long a caller may take to send a whole request.
	readTimeout = 60 * time.Second
	// idleTimeout bounds how long a caller's connection may stay unused.
	idleTimeout = 3 * time.Minute
	// maximumHeader bounds a request's header in bytes.
	maximumHeader = 32 << 10
)

type listeners struct {
	callers, backend, peers, operators, ready net.Listener
}

// listen opens every face, or none. An address whose port is 0 is replaced by
// the one that the machine chose, since peers and operators are told of it.
func listen(addresses *settings.Listen) (listeners, error) {
	var l listeners
	var opened []net.Listener
	for _, face := range []struct {
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
		if *face.address == "" {
			continue
		}
		listener, err := face.listen(*face.address)
		if err != nil {
			closeAll(opened)
			return l, fmt.Errorf("daemon: listen: %w: choose an address of this machine that is free", err)
		}
		*face.listener = listener
		*face.address = listener.Addr().String()
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

func (p *parts) callerRouter() *mux.Router {
	router := mux.NewRouter()
	face := caller.NewWithOptions(p.loop, p.transport, caller.Options{MaximumBody: p.settings.MaximumBody})
	face.Register(router)
	return router
}

func (p *parts) backendRouter(server *upstream.Server) *mux.Router {
	router := mux.NewRouter()
	server.Register(router)
	face := caller.NewWithOptions(p.loop, p.transport, caller.Options{MaximumBody: p.settings.MaximumBody, Local: true})
	face.Register(router)
	return router
}

func (p *parts) operatorRouter(service *operator.Service) *mux.Router {
	router := mux.NewRouter()
	path, handler := coltsfootwardv1connect.NewOperatorServiceHandler(service)
	router.PathPrefix(path).Handler(handler)
	router.HandleFunc("/debug/vars", p.metrics.serve)
	router.HandleFunc("/metrics", p.metrics.serveText)
	router.HandleFunc("/debug/pprof/profile", pprof.Profile)
	router.HandleFunc("/debug/pprof/{name}", func(w http.ResponseWriter, r *http.Request) {
		pprof.Handler(mux.Vars(r)["name"]).ServeHTTP(w, r)
	})
	return router
}

func (p *parts) serve(listener net.Listener, handler http.Handler) {
	protocols := &http.Protocols{}
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	server := &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: headerTimeout,
		ReadTimeout:       readTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maximumHeader,
		Protocols:         protocols,
		ErrorLog:          zap.NewStdLog(p.reporter.logger.WithOptions(zap.IncreaseLevel(zap.ErrorLevel))),
	}
	p.servers = append(p.servers, server)
	p.wait.Go(func() {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			p.reporter.logger.Error("serve", zap.Error(err))
		}
	})
}
