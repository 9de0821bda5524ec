// Package socket makes TCP connections whose loss shows within seconds.
//
// A connection to an instance that has lost power, or that a cut separates, says
// nothing: without probes a read on it waits for ever, and written bytes are
// sent again for a quarter of an hour.
package socket

import (
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// keepAliveIdle is how long a connection is silent before it is probed,
	// keepAliveInterval the time between two probes, and keepAliveProbes how many
	// may go unanswered. A silent connection ends after about 2 s, which is below
	// the shortest time within which deployments want news everywhere.
	keepAliveIdle     = time.Second
	keepAliveInterval = 500 * time.Millisecond
	keepAliveProbes   = 2
	// userTimeout is how long written bytes may go unacknowledged. It is as long
	// as the probes take, and above what a lossy link needs to send again.
	userTimeout = 2 * time.Second
)

func keepAlive() net.KeepAliveConfig {
	return net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveProbes}
}

// control sets what the library has no option for. A system without the option
// still has the probes.
func control(_, _ string, c syscall.RawConn) error {
	return c.Control(func(fd uintptr) {
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	})
}

// Dialer returns a dialer that gives up after timeout.
func Dialer(timeout time.Duration) *net.Dialer {
	return &net.Dialer{Timeout: timeout, KeepAliveConfig: keepAlive(), Control: control}
}

// Listen listens on an address. Accepted connections are probed like dialled ones.
func Listen(address string) (net.Listener, error) {
	config := net.ListenConfig{KeepAliveConfig: keepAlive(), Control: control}
	return config.Listen(context.Background(), "tcp", address)
}
