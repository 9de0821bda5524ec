package peer_test

import (
	"net"
	"testing"
	"time"

	"coltsfootward"
	"coltsfootward/core/message"
)

// closeBound is the maximum duration of Transport.Close, which waits for the transport's
// own goroutines and never for the network.
const closeBound = 500 * time.Millisecond

// A node that was stopped while it dialled an unreachable peer exceeded the grace period
// for its shutdown, because Close waited for the dial.
func TestCloseDoesNotWaitForDial(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	north, _ := newTransport(t, "north-1")
	north.Send(coltsfootward.Instance{ID: "south-1", Address: listener.Addr().String()}, &message.Gossip{})
	time.Sleep(50 * time.Millisecond)
	start := time.Now()
	north.Close()
	if elapsed := time.Since(start); elapsed > closeBound {
		t.Errorf("Close took %v with a pending dial, want %v at most", elapsed, closeBound)
	}
}

// A node that was stopped while an accepted connection had sent no hello yet exceeded the
// grace period for its shutdown, because Close waited for the handshake.
func TestCloseDoesNotWaitForHello(t *testing.T) {
	north, instance := newTransport(t, "north-1")
	c, err := net.Dial("tcp", instance.Address)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	time.Sleep(50 * time.Millisecond)
	start := time.Now()
	north.Close()
	if elapsed := time.Since(start); elapsed > closeBound {
		t.Errorf("Close took %v with a connection that sends nothing, want %v at most", elapsed, closeBound)
	}
}
