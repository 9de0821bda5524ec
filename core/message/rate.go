package message

import (
	"time"

	"coltsfootward"
)

// The kinds of message by which tokens are drawn.
const (
	KindDraw  Kind = "draw"
	KindGrant Kind = "grant"
	KindOffer Kind = "slot_offer"
)

// SlotOffer tells a node that a slot of its failure domain was released to it.
type SlotOffer struct {
	Domain coltsfootward.FailureDomain `msgpack:"domain"`
	Slot   int                         `msgpack:"slot"`
}

// MessageKind implements Message.
func (*SlotOffer) MessageKind() Kind { return KindOffer }

// Draw asks the holder of a slot for tokens of an organisation.
type Draw struct {
	// ID is the drawer's number for it; the grant repeats it.
	ID           uint64                         `msgpack:"id"`
	Organisation coltsfootward.OrganisationName `msgpack:"organisation"`
	Domain       coltsfootward.FailureDomain    `msgpack:"domain"`
	Slot         int                            `msgpack:"slot"`
	// Need is how many requests wait, Ahead how many more are expected.
	Need  int64 `msgpack:"need"`
	Ahead int64 `msgpack:"ahead"`
	// From is where the grant goes.
	From coltsfootward.Instance `msgpack:"from"`
}

// MessageKind implements Message.
func (*Draw) MessageKind() Kind { return KindDraw }

// Grant answers a draw.
type Grant struct {
	ID uint64 `msgpack:"id"`
	// Held is set if the sender holds the slot; else it grants nothing.
	Held bool `msgpack:"held"`
	// Ask is the holder as far as a sender that is not knows it; its name is
	// empty if it does not.
	Ask   coltsfootward.Instance `msgpack:"ask"`
	Epoch uint64                 `msgpack:"epoch"`
	// Tokens is how many tokens were granted.
	Tokens int64 `msgpack:"tokens"`
	// Life is how long they may be spent, counted from before the draw was sent.
	Life time.Duration `msgpack:"life"`
	// EmptyFor is when to ask again if fewer were granted than needed.
	EmptyFor time.Duration `msgpack:"empty_for"`
	// Level is how many tokens are left at the holder.
	Level int64 `msgpack:"level"`
}

// MessageKind implements Message.
func (*Grant) MessageKind() Kind { return KindGrant }
