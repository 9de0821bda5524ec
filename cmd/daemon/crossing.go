package daemon

import (
	"fmt"
	"io"

	"coltsfootward"
	"coltsfootward/core/node"
	"coltsfootward/core/placement"
)

// demandGauge is the demand of the fleet for a contended service.
type demandGauge struct {
	Service coltsfootward.ServiceName `json:"service"`
	// Slots is the demand, and Admitted the part of it that was not refused where it
	// entered.
	Slots    float64 `json:"slots"`
	Admitted float64 `json:"admitted"`
	// Entries is the number of entry nodes included, AgeMilliseconds the age of the
	// summary.
	Entries         int   `json:"entries"`
	AgeMilliseconds int64 `json:"age_milliseconds"`
	// Domains is the demand by the failure domain in which it entered.
	Domains map[coltsfootward.FailureDomain]float64 `json:"domains"`
}

// crossingGauge is what this node sends to another failure domain for a service.
type crossingGauge struct {
	Service coltsfootward.ServiceName   `json:"service"`
	To      coltsfootward.FailureDomain `json:"to"`
	// Fraction is the part of the domain's demand that crosses now.
	Fraction float64 `json:"fraction"`
	// Requests counts the attempts sent there since the node's start, by reason, and
	// Bytes those of their requests and responses.
	Requests map[placement.Reason]int64 `json:"requests"`
	Bytes    int64                      `json:"bytes"`
}

func demandGauges(n *node.Node) []demandGauge {
	gauges := []demandGauge{}
	for _, status := range n.Demands() {
		s := status.Summary
		g := demandGauge{
			Service: s.Service, Slots: s.Total.Total(), Admitted: s.Admitted, Entries: s.Entries,
			AgeMilliseconds: status.Age.Milliseconds(), Domains: make(map[coltsfootward.FailureDomain]float64),
		}
		for _, d := range s.Domains {
			g.Domains[d.Name] = d.Demand
		}
		gauges = append(gauges, g)
	}
	return gauges
}

func crossingGauges(n *node.Node) []crossingGauge {
	gauges := []crossingGauge{}
	for _, c := range n.Crossings() {
		gauges = append(gauges, crossingGauge{Service: c.Service, To: c.To, Fraction: c.Fraction, Requests: c.Count.Requests, Bytes: c.Count.Bytes})
	}
	return gauges
}

// writeCrossing writes the gauges of the exchange of demand and of crossing.
func writeCrossing(w io.Writer, g gauges) {
	for _, d := range g.Demand {
		fmt.Fprintf(w, "coltsfootward_demand_slots{service=%q} %g\n", d.Service, d.Slots)
	}
	for _, c := range g.Crossing {
		labels := fmt.Sprintf("service=%q,to=%q", c.Service, c.To)
		fmt.Fprintf(w, "coltsfootward_crossing_fraction{%s} %g\n", labels, c.Fraction)
		fmt.Fprintf(w, "coltsfootward_crossing_bytes{%s} %d\n", labels, c.Bytes)
		for _, reason := range placement.Reasons() {
			fmt.Fprintf(w, "coltsfootward_crossing_requests{%s,reason=%q} %d\n", labels, reason, c.Requests[reason])
		}
	}
}
