package soak

import (
	"io"
	"net"
	"sync"
	"time"
)

// Harm is what a proxy does to its connections.
type Harm string

// The harms.
const (
	// HarmNone passes everything on.
	HarmNone Harm = "none"
	// HarmDelay passes everything on proxyDelay later.
	HarmDelay Harm = "delay"
	// HarmSilence passes nothing on and closes nothing.
	HarmSilence Harm = "silence"
	// HarmOneWay passes on what is sent and none of what comes back.
	HarmOneWay Harm = "one_way"
	// HarmReset resets every connection, at once and as it is made.
	HarmReset Harm = "reset"
)

// proxyDelay is well above what a failure domain's own links take.
const proxyDelay = 40 * time.Millisecond

// proxy stands on loopback before a server. Create it with newProxy.
type proxy struct {
	listener net.Listener
	target   string
	done     chan struct{}
	wait     sync.WaitGroup

	mu    sync.Mutex
	harm  Harm
	conns map[net.Conn]struct{}
}

func newProxy(target string) (*proxy, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: listener, target: target, done: make(chan struct{}), harm: HarmNone, conns: make(map[net.Conn]struct{})}
	p.wait.Go(p.accept)
	return p, nil
}

func (p *proxy) address() string { return p.listener.Addr().String() }

func (p *proxy) close() {
	close(p.done)
	p.listener.Close()
	p.reset()
	p.wait.Wait()
}

// set changes the harm, for connections that stand as well.
func (p *proxy) set(h Harm) {
	p.mu.Lock()
	p.harm = h
	p.mu.Unlock()
	if h == HarmReset {
		p.reset()
	}
}

func (p *proxy) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0) // a connection that has ended needs no reset
		}
		c.Close()
	}
}

func (p *proxy) current() Harm {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.harm
}

func (p *proxy) accept() {
	for {
		near, err := p.listener.Accept()
		if err != nil {
			return // the proxy is closed
		}
		p.wait.Go(func() { p.serve(near) })
	}
}

func (p *proxy) serve(near net.Conn) {
	defer p.drop(near)
	p.keep(near)
	if p.current() == HarmReset {
		p.reset()
		return
	}
	far, err := net.Dial("tcp", p.target)
	if err != nil {
		return // nothing listens there; the caller sees its connection end
	}
	defer p.drop(far)
	p.keep(far)
	p.wait.Go(func() {
		defer near.Close()
		p.copy(near, far, HarmOneWay)
	})
	p.copy(far, near, HarmNone)
}

func (p *proxy) keep(c net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.conns[c] = struct{}{}
}

func (p *proxy) drop(c net.Conn) {
	c.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, c)
}

// copy passes bytes on until either side ends. but is a harm that stops this
// direction, besides silence.
func (p *proxy) copy(to, from net.Conn, but Harm) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if !p.passes(but) {
			return
		}
		if n > 0 {
			if _, failed := to.Write(buffer[:n]); failed != nil {
				return
			}
		}
		if err != nil {
			if half, ok := to.(*net.TCPConn); ok && err == io.EOF { //nolint:errorlint // net returns the plain error
				_ = half.CloseWrite() // the other side may have gone
			}
			return
		}
	}
}

// passes waits while the harm holds bytes back and reports whether they go on.
func (p *proxy) passes(but Harm) bool {
	if p.current() == HarmDelay {
		time.Sleep(proxyDelay)
	}
	for h := p.current(); h == HarmSilence || but != HarmNone && h == but; h = p.current() {
		select {
		case <-time.After(10 * time.Millisecond):
		case <-p.done:
			return false
		}
	}
	return true
}
