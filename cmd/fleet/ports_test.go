package fleet

import "testing"

// Guards against one port being given to two nodes of a fleet, the first of which has
// not begun to listen on it yet.
func TestFreePortsAreDistinct(t *testing.T) {
	const count, lowest, highest = 4, 21000, 21080
	nodes, err := freePorts(count, lowest, highest)
	if err != nil {
		t.Fatal(err)
	}
	seen := make(map[string]bool)
	for _, n := range nodes {
		for _, address := range []string{n.Callers, n.Backend, n.Peers, n.Operators, n.Ready} {
			if address == "" || seen[address] {
				t.Errorf("address %q is empty or assigned twice", address)
			}
			seen[address] = true
		}
	}
	if len(nodes) != count {
		t.Errorf("%d nodes have ports, want %d", len(nodes), count)
	}
}

func TestFreePortsTooFew(t *testing.T) {
	if _, err := freePorts(2, 21100, 21103); err == nil {
		t.Error("got ports for two nodes from a range of three, want an error")
	}
}
