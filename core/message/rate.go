package message

import (
	"time"

	"coltsfootward"
)

// The kinds of message for drawing tokens of an organisation's rate.
const (
	KindDraw      Kind = "draw"
	KindGrant     Kind = "grant"
	KindSlotOffer Kind = "slot_offer"
)

// SlotOffer notifies a node that a slot of its failure domain was released for it to
// acquire.
type SlotOffer struct {
	Domain coltsfootward.FailureDomain `msgpack:"domain"`
	Slot   int                         `msgpack:"slot"`
}

// MessageKind implements Message.
func (*SlotOffer) MessageKind() Kind { return KindSlotOffer }

// Draw requests tokens of an organisation's rate from the holder of a slot.
type Draw struct {
	// ID identifies the draw at the requesting node; the grant returns it.
	ID           uint64                         `msgpack:"id"`
	Organisation coltsfootward.OrganisationName `msgpack:"organisation"`
	Domain       coltsfootward.FailureDomain    `msgpack:"domain"`
	Slot         int                            `msgpack:"slot"`
	// Need is the number of requests that wait for a token, Prefetch the number of
	// further requests that are expected.
	Need     int64 `msgpack:"need"`
	Prefetch int64 `msgpack:"ahead"`
	// From is the instance to which the grant is sent.
	From coltsfootward.Instance `msgpack:"from"`
}

// MessageKind implements Message.
func (*Draw) MessageKind() Kind { return KindDraw }

// Grant is the reply to a Draw.
type Grant struct {
	ID uint64 `msgpack:"id"`
	// IsHolder is set if the sender holds the slot. Otherwise no tokens are granted.
	IsHolder bool `msgpack:"held"`
	// Holder is the slot's holder if the sender is not. Its ID is empty if the sender
	// does not know the holder.
	Holder coltsfootward.Instance `msgpack:"ask"`
	Epoch  uint64                 `msgpack:"epoch"`
	// Tokens is the number of tokens granted.
	Tokens int64 `msgpack:"tokens"`
	// Lifetime is the lifetime of the tokens, measured from before the draw was sent.
	Lifetime time.Duration `msgpack:"life"`
	// RetryAfter is the delay after which to draw again if fewer tokens than needed
	// were granted.
	RetryAfter time.Duration `msgpack:"empty_for"`
	// Remaining is the number of tokens that remain at the holder.
	Remaining int64 `msgpack:"level"`
}

// MessageKind implements Message.
func (*Grant) MessageKind() Kind { return KindGrant }
