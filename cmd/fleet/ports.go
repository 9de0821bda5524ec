package fleet

import (
	"fmt"
	"math/rand/v2"
	"net"
)

// The ports of nodes lie below those that the machine hands out by itself: a node's
// own port would else be taken by some connection while the node is down.
const (
	lowestPort  = 12000
	highestPort = 32000
	portTries   = 4000
)

// Ports are the addresses at which a node listens.
type Ports struct {
	Callers, Backend, Peers, Operators, Ready string
}

// FreePorts returns addresses for count nodes at which nothing listens. They are
// taken all at once, since a node that is starting doesn't hold its own yet.
func FreePorts(count int) ([]Ports, error) { return freePorts(count, lowestPort, highestPort) }

// freePorts takes ports from lowest up to but not including highest.
func freePorts(count, lowest, highest int) ([]Ports, error) {
	nodes := make([]Ports, count)
	var wanted []*string
	for i := range nodes {
		n := &nodes[i]
		wanted = append(wanted, &n.Callers, &n.Backend, &n.Peers, &n.Operators, &n.Ready)
	}
	for range portTries {
		if len(wanted) == 0 {
			return nodes, nil
		}
		address := fmt.Sprintf("127.0.0.1:%d", lowest+rand.IntN(highest-lowest))
		listener, err := net.Listen("tcp", address)
		if err != nil {
			continue // taken; there are others
		}
		defer listener.Close()
		*wanted[0], wanted = address, wanted[1:]
	}
	return nil, fmt.Errorf("fleet: %d nodes find no free ports between %d and %d", count, lowest, highest)
}
