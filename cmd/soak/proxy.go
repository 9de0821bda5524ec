package soak

import (
	"io"
	"net"
	"sync"
	"time"
)

// ConnectionFault is a fault that a proxy injects into its connections.
type ConnectionFault string

// The connection faults. Their values appear in the run's report.
const (
	// FaultNone forwards all bytes.
	FaultNone ConnectionFault = "none"
	// FaultDelay forwards all bytes with a delay of proxyDelay.
	FaultDelay ConnectionFault = "delay"
	// FaultSilence forwards no bytes and keeps connections open.
	FaultSilence ConnectionFault = "silence"
	// FaultOneWay forwards bytes from the client to the server only.
	FaultOneWay ConnectionFault = "one_way"
	// FaultReset resets all open connections, and new ones as they are accepted.
	FaultReset ConnectionFault = "reset"
)

// proxyDelay is well above the latency of links within a failure domain.
const proxyDelay = 40 * time.Millisecond

// proxy is a TCP proxy in front of a server, on the loopback interface. Create it with
// newProxy.
type proxy struct {
	listenAddress, target string

	done chan struct{}
	wait sync.WaitGroup

	mu       sync.Mutex
	listener net.Listener
	fault    ConnectionFault
	conns    map[net.Conn]struct{}
}

func newProxy(target string) (*proxy, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{
		listenAddress: listener.Addr().String(), target: target, listener: listener,
		done: make(chan struct{}), fault: FaultNone, conns: make(map[net.Conn]struct{}),
	}
	p.wait.Go(func() { p.accept(listener) })
	return p, nil
}

func (p *proxy) address() string { return p.listenAddress }

func (p *proxy) close() {
	close(p.done)
	p.stopListening()
	p.wait.Wait()
}

// stopListening refuses new connections and resets the open ones, as the end of the
// server's process does.
func (p *proxy) stopListening() {
	p.mu.Lock()
	p.listener.Close()
	p.mu.Unlock()
	p.resetAll()
}

// listenAgain accepts connections again after stopListening.
func (p *proxy) listenAgain() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	select {
	case <-p.done:
		return nil
	default:
	}
	listener, err := net.Listen("tcp", p.listenAddress)
	if err != nil {
		return err
	}
	p.listener = listener
	p.wait.Go(func() { p.accept(listener) })
	return nil
}

// setFault changes the fault, also for open connections.
func (p *proxy) setFault(fault ConnectionFault) {
	p.mu.Lock()
	p.fault = fault
	p.mu.Unlock()
	if fault == FaultReset {
		p.resetAll()
	}
}

func (p *proxy) resetAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0) // fails if the connection has ended already
		}
		c.Close()
	}
}

func (p *proxy) currentFault() ConnectionFault {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.fault
}

func (p *proxy) accept(listener net.Listener) {
	for {
		client, err := listener.Accept()
		if err != nil {
			return // the listener is closed
		}
		p.wait.Go(func() { p.serve(client) })
	}
}

func (p *proxy) serve(client net.Conn) {
	defer p.release(client)
	p.track(client)
	if p.currentFault() == FaultReset {
		p.resetAll()
		return
	}
	server, err := net.Dial("tcp", p.target)
	if err != nil {
		return // no server listens at the target; the client's connection is closed
	}
	defer p.release(server)
	p.track(server)
	p.wait.Go(func() {
		defer client.Close()
		p.forward(client, server, FaultOneWay)
	})
	p.forward(server, client, FaultNone)
}

func (p *proxy) track(c net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.conns[c] = struct{}{}
}

func (p *proxy) release(c net.Conn) {
	c.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, c)
}

// forward copies bytes until either side closes its connection. It pauses while the
// current fault is FaultSilence or directionFault. With FaultNone as directionFault, only
// FaultSilence pauses it.
func (p *proxy) forward(to, from net.Conn, directionFault ConnectionFault) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if !p.waitToForward(directionFault) {
			return
		}
		if n > 0 {
			if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
				return
			}
		}
		if err != nil {
			if tcp, ok := to.(*net.TCPConn); ok && err == io.EOF { //nolint:errorlint // net returns the plain error
				_ = tcp.CloseWrite() // the peer may have closed the connection already
			}
			return
		}
	}
}

// waitToForward waits while the current fault pauses this direction, and for proxyDelay
// under FaultDelay. It returns false if the proxy was closed meanwhile.
func (p *proxy) waitToForward(directionFault ConnectionFault) bool {
	if p.currentFault() == FaultDelay {
		time.Sleep(proxyDelay)
	}
	for fault := p.currentFault(); fault == FaultSilence || directionFault != FaultNone && fault == directionFault; fault = p.currentFault() {
		select {
		case <-time.After(10 * time.Millisecond):
		case <-p.done:
			return false
		}
	}
	return true
}
