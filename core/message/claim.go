package message

import (
	"coltsfootward"
	"coltsfootward/core/claim"
)

// ClaimRequest asks the holder of a key's lease for a claim.
type ClaimRequest struct {
	Request claim.Request `msgpack:"request"`
}

// MessageKind implements Message.
func (*ClaimRequest) MessageKind() Kind { return KindClaimRequest }

// ClaimVerdict answers a ClaimRequest.
type ClaimVerdict struct {
	ID      claim.ID      `msgpack:"id"`
	Verdict claim.Verdict `msgpack:"verdict"`
	// Holder is whom to ask instead if the decision is claim.Elsewhere; empty
	// if it is not known.
	Holder coltsfootward.Instance `msgpack:"holder"`
}

// MessageKind implements Message.
func (*ClaimVerdict) MessageKind() Kind { return KindClaimVerdict }

// ClaimHandover brings the claims of a holder that gives its lease up to those
// who may take it over, in pages.
type ClaimHandover struct {
	Domain coltsfootward.FailureDomain `msgpack:"domain"`
	Slot   int                         `msgpack:"slot"`
	// Epoch is that of the term that ends.
	Epoch uint64 `msgpack:"epoch"`
	Page  int    `msgpack:"page"`
	Pages int    `msgpack:"pages"`
	// Handover holds the page's claims.
	Handover claim.Handover `msgpack:"handover"`
}

// MessageKind implements Message.
func (*ClaimHandover) MessageKind() Kind { return KindClaimHandover }

// ClaimEnd tells the holder how a claim's request ended. It is sent again until
// it is acknowledged.
type ClaimEnd struct {
	Key       claim.Key               `msgpack:"key"`
	ID        claim.ID                `msgpack:"id"`
	Execution coltsfootward.Execution `msgpack:"execution"`
	// Answer is kept for repeats; nil if there is none or it is too large.
	Answer *claim.Answer `msgpack:"answer"`
}

// MessageKind implements Message.
func (*ClaimEnd) MessageKind() Kind { return KindClaimEnd }

// ClaimEndTaken acknowledges a ClaimEnd.
type ClaimEndTaken struct {
	ID claim.ID `msgpack:"id"`
}

// MessageKind implements Message.
func (*ClaimEndTaken) MessageKind() Kind { return KindClaimEndTaken }
