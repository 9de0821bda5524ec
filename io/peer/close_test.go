package peer_test

import (
	"net"
	"testing"
	"time"

	"coltsfootward"
	"coltsfootward/core/message"
)

// closeBound is how long the end of a transport may take. What it waits for is its
// own goroutines and never the network.
const closeBound = 500 * time.Millisecond

// A node that stopped while it dialled a peer that was cut off outlived its grace.
func TestCloseWaitsForNoDial(t *testing.T) {
	silent, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer silent.Close()
	north, _ := newTransport(t, "north-1")
	north.Send(coltsfootward.Instance{ID: "south-1", Address: silent.Addr().String()}, &message.Gossip{})
	time.Sleep(50 * time.Millisecond)
	begun := time.Now()
	north.Close()
	if took := time.Since(begun); took > closeBound {
		t.Errorf("Close took %v with a dial under way, want %v at most", took, closeBound)
	}
}

// A node that stopped while somebody had connected and said nothing outlived its grace.
func TestCloseWaitsForNoHello(t *testing.T) {
	north, instance := newTransport(t, "north-1")
	c, err := net.Dial("tcp", instance.Address)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	time.Sleep(50 * time.Millisecond)
	begun := time.Now()
	north.Close()
	if took := time.Since(begun); took > closeBound {
		t.Errorf("Close took %v with a connection that says nothing, want %v at most", took, closeBound)
	}
}
