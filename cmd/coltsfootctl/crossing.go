package main

import (
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"strings"
	"text/tabwriter"

	coltsfootwardv1 "coltsfootward/schema/coltsfootward/v1"

	"connectrpc.com/connect"
)

type serviceCrossing struct {
	session *session
	Nodes   int `long:"nodes" default:"64" description:"nodes to ask at most, the named one first; 0 for all"`
	Args    struct {
		Name string `positional-arg-name:"NAME"`
	} `positional-args:"yes"`
}

// crossingVars is the part of a node's metrics that describes traffic between failure
// domains.
type crossingVars struct {
	Coltsfootward struct {
		Node struct {
			Domain   string `json:"domain"`
			Crossing []struct {
				Service  string           `json:"service"`
				To       string           `json:"to"`
				Fraction float64          `json:"fraction"`
				Requests map[string]int64 `json:"requests"`
				Bytes    int64            `json:"bytes"`
			} `json:"crossing"`
		} `json:"node"`
	} `json:"coltsfootward"`
}

// crossingRow is the traffic between two failure domains for one service, of all nodes
// that were asked.
type crossingRow struct {
	Service string `json:"service"`
	From    string `json:"from"`
	To      string `json:"to"`
	// Fraction is the largest fraction of any node.
	Fraction float64          `json:"fraction"`
	Requests map[string]int64 `json:"requests"`
	Bytes    int64            `json:"bytes"`
}

// Execute implements flags.Commander. It names nodes that cannot be reached on standard
// error, so that their missing traffic is not mistaken for none.
func (c *serviceCrossing) Execute([]string) error {
	response, err := c.session.client().Status(c.session.ctx, connect.NewRequest(&coltsfootwardv1.StatusRequest{}))
	if err != nil {
		return err
	}
	nodes := append([]string{c.session.options.Node}, response.Msg.PeerOperators...)
	if c.Nodes > 0 && len(nodes) > c.Nodes {
		fmt.Fprintf(c.session.errout, "coltsfootctl: asking %d of %d nodes: raise --nodes for more\n", c.Nodes, len(nodes))
		nodes = nodes[:c.Nodes]
	}
	rows := make(map[string]*crossingRow)
	for _, node := range nodes {
		vars, err := c.read(node)
		if err != nil {
			fmt.Fprintf(c.session.errout, "coltsfootctl: %v\n", err)
			continue
		}
		c.add(rows, vars)
	}
	return c.print(slices.SortedFunc(maps.Values(rows), func(a, b *crossingRow) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.From, b.From), cmp.Compare(a.To, b.To))
	}))
}

// maximumVars bounds the size of a node's metrics.
const maximumVars = 16 << 20

func (c *serviceCrossing) read(node string) (crossingVars, error) {
	var vars crossingVars
	request, err := http.NewRequestWithContext(c.session.ctx, http.MethodGet, "http://"+node+"/debug/vars", nil)
	if err != nil {
		return vars, fmt.Errorf("read metrics of %s: %w", node, err)
	}
	client := &http.Client{Timeout: responseMargin}
	response, err := client.Do(request)
	if err != nil {
		return vars, fmt.Errorf("read metrics of %s: %w", node, err)
	}
	defer response.Body.Close()
	if err := json.NewDecoder(io.LimitReader(response.Body, maximumVars)).Decode(&vars); err != nil {
		return vars, fmt.Errorf("read metrics of %s: %w", node, err)
	}
	return vars, nil
}

func (c *serviceCrossing) add(rows map[string]*crossingRow, vars crossingVars) {
	from := vars.Coltsfootward.Node.Domain
	for _, g := range vars.Coltsfootward.Node.Crossing {
		if c.Args.Name != "" && g.Service != c.Args.Name {
			continue
		}
		key := g.Service + "\x00" + from + "\x00" + g.To
		row, ok := rows[key]
		if !ok {
			row = &crossingRow{Service: g.Service, From: from, To: g.To, Requests: make(map[string]int64)}
			rows[key] = row
		}
		row.Fraction = max(row.Fraction, g.Fraction)
		row.Bytes += g.Bytes
		for reason, count := range g.Requests {
			row.Requests[reason] += count
		}
	}
}

func (c *serviceCrossing) print(rows []*crossingRow) error {
	if c.session.options.Output == "json" {
		encoder := json.NewEncoder(c.session.out)
		encoder.SetIndent("", "  ")
		return encoder.Encode(rows)
	}
	w := tabwriter.NewWriter(c.session.out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "SERVICE\tFROM\tTO\tFRACTION\tREQUESTS BY REASON\tBYTES")
	for _, row := range rows {
		var reasons []string
		for _, reason := range slices.Sorted(maps.Keys(row.Requests)) {
			reasons = append(reasons, fmt.Sprintf("%s %d", reason, row.Requests[reason]))
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%.2f\t%s\t%d\n", row.Service, row.From, row.To, row.Fraction, strings.Join(reasons, ", "), row.Bytes)
	}
	return w.Flush()
}
