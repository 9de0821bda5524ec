package message

import "coltsfootward/core/record"

// Stamped is embedded in the messages that carry the sender's hybrid clock, so
// that the time lines of all nodes merge into one order. The shell sets and
// reads it; the decisions do not.
type Stamped struct {
	Stamp record.Stamp `msgpack:"stamp"`
}

// SetStamp sets the sender's stamp.
func (s *Stamped) SetStamp(stamp record.Stamp) { s.Stamp = stamp }

// SentAt returns the sender's stamp.
func (s *Stamped) SentAt() record.Stamp { return s.Stamp }

// Stamper is a message that carries a stamp.
type Stamper interface {
	SetStamp(stamp record.Stamp)
	SentAt() record.Stamp
}
