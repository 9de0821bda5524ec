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
	// Epoch is the lease's at the holder that decided.
	Epoch uint64 `msgpack:"epoch"`
}

// MessageKind implements Message.
func (*ClaimVerdict) MessageKind() Kind { return KindClaimVerdict }

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
