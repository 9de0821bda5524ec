package demand

import (
	"fmt"
	"slices"
	"time"

	"coltsfootward"

	"github.com/vmihailenco/msgpack/v5"
)

// Bands is the number of importance bands: four priorities with four secondary
// priorities each. Band 0 is the most important.
const Bands = 16

// ByBand is demand in slot seconds per second, by importance band.
type ByBand [Bands]float64

// Total returns the demand of all bands.
func (b ByBand) Total() float64 {
	total := 0.0
	for _, d := range b {
		total += d
	}
	return total
}

// Organisation is the demand of one organisation. Messages hold dozens of them, so they
// are encoded without the names of their fields.
type Organisation struct {
	Name   coltsfootward.OrganisationName
	Demand ByBand
}

// EncodeMsgpack implements msgpack.CustomEncoder.
func (o *Organisation) EncodeMsgpack(encoder *msgpack.Encoder) error {
	return encodeArray(encoder, o.Name, &o.Demand)
}

// DecodeMsgpack implements msgpack.CustomDecoder.
func (o *Organisation) DecodeMsgpack(decoder *msgpack.Decoder) error {
	return decodeArray(decoder, &o.Name, &o.Demand)
}

// Domain is the demand that entered in one failure domain. It is encoded without the
// names of its fields.
type Domain struct {
	Name   coltsfootward.FailureDomain
	Demand float64
	// Admitted is the part of the demand that was not refused where it entered.
	Admitted float64
}

// EncodeMsgpack implements msgpack.CustomEncoder.
func (d *Domain) EncodeMsgpack(encoder *msgpack.Encoder) error {
	return encodeArray(encoder, d.Name, d.Demand, d.Admitted)
}

// DecodeMsgpack implements msgpack.CustomDecoder.
func (d *Domain) DecodeMsgpack(decoder *msgpack.Decoder) error {
	return decodeArray(decoder, &d.Name, &d.Demand, &d.Admitted)
}

func encodeArray(encoder *msgpack.Encoder, fields ...any) error {
	if err := encoder.EncodeArrayLen(len(fields)); err != nil {
		return err
	}
	return encoder.EncodeMulti(fields...)
}

func decodeArray(decoder *msgpack.Decoder, fields ...any) error {
	size, err := decoder.DecodeArrayLen()
	if err != nil {
		return err
	}
	if size != len(fields) {
		return fmt.Errorf("demand: got %d fields, want %d: check that both nodes run the same version", size, len(fields))
	}
	return decoder.DecodeMulti(fields...)
}

// Summary is the demand of the whole fleet for one service, before refusals, as far as
// the collector that made it knows. The zero value is invalid.
type Summary struct {
	Service coltsfootward.ServiceName `msgpack:"service"`
	// At is when the summary arrived, by Instant.Monotonic of the node that holds it.
	At time.Duration `msgpack:"-"`
	// Total is the demand of all organisations.
	Total ByBand `msgpack:"total"`
	// Organisations holds the organisations with the most demand, Others the demand of
	// all further ones and OtherCount their number, as far as it is known.
	Organisations []Organisation `msgpack:"organisations"`
	Others        ByBand         `msgpack:"others"`
	OtherCount    int            `msgpack:"other_count"`
	// Domains holds the demand by the failure domain in which it entered.
	Domains []Domain `msgpack:"domains"`
	// Admitted is the part of the demand that was not refused where it entered.
	Admitted float64 `msgpack:"admitted"`
	// Entries is the number of entry nodes whose demand is included.
	Entries int `msgpack:"entries"`
	// Interval is the time until the next report to the collector.
	Interval time.Duration `msgpack:"interval,omitempty"`
	// Contended is set if some of the entry nodes have seen that the service is
	// contended.
	Contended bool `msgpack:"contended"`
}

// withoutImplausible returns the summary with zero in place of figures that a peer cannot
// mean. Sums with a figure that is not a number would not be numbers either.
func (s Summary) withoutImplausible() Summary {
	s.Admitted = plausibleOrZero(s.Admitted)
	s.Domains = slices.Clone(s.Domains)
	for i, d := range s.Domains {
		s.Domains[i].Demand, s.Domains[i].Admitted = plausibleOrZero(d.Demand), plausibleOrZero(d.Admitted)
	}
	return s
}

// Received returns a summary from a collector as it is held at the entry node from now on.
func (s Summary) Received(now time.Duration) Summary {
	s = s.withoutImplausible()
	s.At = now
	return s
}

// Lifetime is how long a summary is used. If the interval between reports is long, it
// is used for one and a half intervals.
const Lifetime = 2 * time.Second

// Valid reports whether the summary may be used at now.
func (s Summary) Valid(now time.Duration) bool {
	return s.Service != "" && now-s.At <= max(Lifetime, min(s.Interval, maxInterval)*3/2)
}

// AdmittedFraction returns the part of the demand that was not refused where it entered,
// 0 to 1.
func (s Summary) AdmittedFraction() float64 {
	total := s.Total.Total()
	if total <= 0 {
		return 1
	}
	return min(s.Admitted/total, 1)
}

// From returns the demand that entered in a failure domain.
func (s Summary) From(domain coltsfootward.FailureDomain) Domain {
	for _, d := range s.Domains {
		if d.Name == domain {
			return d
		}
	}
	return Domain{Name: domain}
}
