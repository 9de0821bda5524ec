package fleet

import (
	"fmt"
	"math/rand/v2"
	"net"
)

// Ports are chosen below the kernel's ephemeral range. Otherwise the kernel could give
// a node's port to an outgoing connection while the node is down.
const (
	lowestPort      = 12000
	highestPort     = 32000
	maxPortAttempts = 4000
)

// Ports are the addresses at which a node listens.
type Ports struct {
	Callers, Backend, Peers, Operators, Ready string
}

// FreePorts returns unused addresses for count nodes. It reserves all of them before it
// releases any, since a starting node does not listen on its addresses yet.
func FreePorts(count int) ([]Ports, error) { return freePorts(count, lowestPort, highestPort) }

// freePorts chooses ports in [lowest, highest).
func freePorts(count, lowest, highest int) ([]Ports, error) {
	nodes := make([]Ports, count)
	var unassigned []*string
	for i := range nodes {
		n := &nodes[i]
		unassigned = append(unassigned, &n.Callers, &n.Backend, &n.Peers, &n.Operators, &n.Ready)
	}
	for range maxPortAttempts {
		if len(unassigned) == 0 {
			return nodes, nil
		}
		address := fmt.Sprintf("127.0.0.1:%d", lowest+rand.IntN(highest-lowest))
		listener, err := net.Listen("tcp", address)
		if err != nil {
			continue // the port is in use; try another one
		}
		defer listener.Close()
		*unassigned[0], unassigned = address, unassigned[1:]
	}
	return nil, fmt.Errorf("fleet: no free ports for %d nodes between %d and %d", count, lowest, highest)
}
