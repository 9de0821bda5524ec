package message

import "coltsfootward/core/demand"

// The kinds of message for the demand of the fleet for a service.
const (
	KindDemandReport   Kind = "demand_report"
	KindDemandSummary  Kind = "demand_summary"
	KindDemandExchange Kind = "demand_exchange"
)

// DemandReport tells a collector the demand that enters at the sender.
type DemandReport struct {
	Report demand.Report `msgpack:"report"`
}

// MessageKind implements Message.
func (*DemandReport) MessageKind() Kind { return KindDemandReport }

// DemandSummary tells an entry node the demand of the fleet. It is the reply to a
// DemandReport, and is also sent to entry nodes that do not report.
type DemandSummary struct {
	Summary demand.Summary `msgpack:"summary"`
}

// MessageKind implements Message.
func (*DemandSummary) MessageKind() Kind { return KindDemandSummary }

// DemandExchange tells another collector of the service the sum of the reports that
// the sender has received.
type DemandExchange struct {
	Sum demand.Summary `msgpack:"sum"`
}

// MessageKind implements Message.
func (*DemandExchange) MessageKind() Kind { return KindDemandExchange }
