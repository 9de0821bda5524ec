package message

import "coltsfootward/core/record"

// Stamped is embedded in messages that carry a stamp of the sender's hybrid clock, by
// which the timelines of all nodes are merged into one order. The driver of a node sets
// and reads it; package node does not.
type Stamped struct {
	Stamp record.Stamp `msgpack:"stamp"`
}

// SetStamp sets the sender's stamp.
func (s *Stamped) SetStamp(stamp record.Stamp) { s.Stamp = stamp }

// SentAt returns the stamp that the sender set.
func (s *Stamped) SentAt() record.Stamp { return s.Stamp }

// Stamper is a message that carries a stamp.
type Stamper interface {
	SetStamp(stamp record.Stamp)
	SentAt() record.Stamp
}
