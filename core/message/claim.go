package message

import (
	"coltsfootward"
	"coltsfootward/core/claim"
)

// ClaimRequest requests a claim from the holder of the lease for a key's slot.
type ClaimRequest struct {
	Request claim.Request `msgpack:"request"`
}

// MessageKind implements Message.
func (*ClaimRequest) MessageKind() Kind { return KindClaimRequest }

// ClaimVerdict is the reply to a ClaimRequest.
type ClaimVerdict struct {
	ID      claim.ID      `msgpack:"id"`
	Verdict claim.Verdict `msgpack:"verdict"`
	// Holder is the instance to ask instead if the decision is claim.Elsewhere. It is
	// empty if the holder is not known.
	Holder coltsfootward.Instance `msgpack:"holder"`
}

// MessageKind implements Message.
func (*ClaimVerdict) MessageKind() Kind { return KindClaimVerdict }

// ClaimHandover is one page of the claims of a slot, sent by a holder that releases
// its lease to the instances that may acquire it next.
type ClaimHandover struct {
	Domain coltsfootward.FailureDomain `msgpack:"domain"`
	Slot   int                         `msgpack:"slot"`
	// Epoch is the epoch of the lease term that ends.
	Epoch uint64 `msgpack:"epoch"`
	Page  int    `msgpack:"page"`
	Pages int    `msgpack:"pages"`
	// Handover contains the claims of this page.
	Handover claim.Handover `msgpack:"handover"`
}

// MessageKind implements Message.
func (*ClaimHandover) MessageKind() Kind { return KindClaimHandover }

// ClaimEnd reports to the holder how the request of a claim ended. It is resent until
// it is acknowledged.
type ClaimEnd struct {
	Key       claim.Key               `msgpack:"key"`
	ID        claim.ID                `msgpack:"id"`
	Execution coltsfootward.Execution `msgpack:"execution"`
	// Response is replayed to repeated requests. It is nil if there was no response or
	// it is too large to retain.
	Response *claim.RetainedResponse `msgpack:"answer"`
}

// MessageKind implements Message.
func (*ClaimEnd) MessageKind() Kind { return KindClaimEnd }

// ClaimEndAcknowledged acknowledges the receipt of a ClaimEnd.
type ClaimEndAcknowledged struct {
	ID claim.ID `msgpack:"id"`
}

// MessageKind implements Message.
func (*ClaimEndAcknowledged) MessageKind() Kind { return KindClaimEndAcknowledged }
