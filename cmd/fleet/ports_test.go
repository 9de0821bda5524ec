package fleet

import "testing"

// A node's ports were taken by another one of the fleet that had not begun to listen.
func TestPortsOfAFleetDiffer(t *testing.T) {
	const count, lowest, highest = 4, 21000, 21080
	nodes, err := freePorts(count, lowest, highest)
	if err != nil {
		t.Fatal(err)
	}
	seen := make(map[string]bool)
	for _, n := range nodes {
		for _, address := range []string{n.Callers, n.Backend, n.Peers, n.Operators, n.Ready} {
			if address == "" || seen[address] {
				t.Errorf("address %q is empty or given out twice", address)
			}
			seen[address] = true
		}
	}
	if len(nodes) != count {
		t.Errorf("%d nodes have ports, want %d", len(nodes), count)
	}
}

func TestPortsThatDoNotSuffice(t *testing.T) {
	if _, err := freePorts(2, 21100, 21103); err == nil {
		t.Error("two nodes have ports out of three, want an error")
	}
}
