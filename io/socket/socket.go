// Package socket opens TCP connections whose loss is detected within seconds.
//
// An instance that has lost power or is behind a network partition does not close its
// connections. Without keep-alive probes, a read from such a connection would block for
// ever, and written bytes would be retransmitted for a quarter of an hour.
package socket

import (
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// keepAliveIdle is how long a connection is idle before it is probed,
	// keepAliveInterval is the time between two probes, and keepAliveProbes is how
	// many probes may remain without a response. A connection to an unreachable peer
	// ends after about 2 s. That is below the shortest time within which deployments
	// require that a change reaches all nodes.
	keepAliveIdle     = time.Second
	keepAliveInterval = 500 * time.Millisecond
	keepAliveProbes   = 2
	// userTimeout is how long written bytes may remain unacknowledged. It is the time
	// that the probes take, and longer than retransmissions on a lossy link need.
	userTimeout = 2 * time.Second
)

func keepAlive() net.KeepAliveConfig {
	return net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveProbes}
}

// control sets TCP_USER_TIMEOUT, which package net has no option for. An error is
// ignored: a system without the option still sends the probes.
func control(_, _ string, c syscall.RawConn) error {
	return c.Control(func(fd uintptr) {
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	})
}

// Dialer returns a dialer whose connections are probed. It fails if a connection is not
// established within timeout.
func Dialer(timeout time.Duration) *net.Dialer {
	return &net.Dialer{Timeout: timeout, KeepAliveConfig: keepAlive(), Control: control}
}

// Listen listens on a TCP address. Accepted connections are probed like dialled ones.
func Listen(address string) (net.Listener, error) {
	config := net.ListenConfig{KeepAliveConfig: keepAlive(), Control: control}
	return config.Listen(context.Background(), "tcp", address)
}
