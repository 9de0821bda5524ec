package demand

import (
	"time"

	"coltsfootward"

	"github.com/vmihailenco/msgpack/v5"
)

// Report is the demand for one service that enters at one node.
type Report struct {
	Service coltsfootward.ServiceName `msgpack:"service"`
	// Total is the demand of all organisations.
	Total ByBand `msgpack:"total"`
	// Organisations holds the organisations with the most demand, Others the demand of
	// all further ones and OtherCount their number.
	Organisations []Organisation `msgpack:"organisations"`
	Others        ByBand         `msgpack:"others"`
	OtherCount    int            `msgpack:"other_count"`
	// Admitted is the part of the demand that was not refused where it entered.
	Admitted float64 `msgpack:"admitted"`
	// Contended is set if the node itself has seen that the service is contended. It
	// is not set if the node reports because a summary says so.
	Contended bool `msgpack:"contended"`
}

func (b ByBand) plus(other ByBand) ByBand {
	for i, d := range other {
		b[i] += d
	}
	return b
}

func (b ByBand) times(factor float64) ByBand {
	for i := range b {
		b[i] *= factor
	}
	return b
}

// EncodeMsgpack implements msgpack.CustomEncoder. It encodes only bands with demand,
// which are few, in single precision.
func (b *ByBand) EncodeMsgpack(encoder *msgpack.Encoder) error {
	used := 0
	for _, d := range b {
		if d > 0 {
			used++
		}
	}
	if err := encoder.EncodeMapLen(used); err != nil {
		return err
	}
	for i, d := range b {
		if d <= 0 {
			continue
		}
		if err := encoder.EncodeInt(int64(i)); err != nil {
			return err
		}
		if err := encoder.EncodeFloat32(float32(d)); err != nil {
			return err
		}
	}
	return nil
}

// DecodeMsgpack implements msgpack.CustomDecoder. It ignores bands that this version
// does not have, and demand that is not a positive number.
func (b *ByBand) DecodeMsgpack(decoder *msgpack.Decoder) error {
	*b = ByBand{}
	size, err := decoder.DecodeMapLen()
	if err != nil {
		return err
	}
	for range max(size, 0) {
		band, err := decoder.DecodeInt()
		if err != nil {
			return err
		}
		d, err := decoder.DecodeFloat64()
		if err != nil {
			return err
		}
		if band >= 0 && band < Bands && plausible(d) {
			b[band] = d
		}
	}
	return nil
}

// maxDemand bounds the demand that a peer can state in one figure, in slots.
const maxDemand = 1e9

func plausible(d float64) bool { return d > 0 && d < maxDemand }

func plausibleOrZero(d float64) float64 {
	if plausible(d) {
		return d
	}
	return 0
}

const (
	// ReportInterval is the time between two reports of an entry node, and between two
	// exchanges of a collector.
	ReportInterval = 500 * time.Millisecond
	// contendedTime is how long a service counts as contended after a sign of it.
	contendedTime = 2 * time.Second
	// maxMisses is the number of reports without an answer after which a collector is
	// skipped for skipTime.
	maxMisses = 2
	skipTime  = 5 * time.Second
)

// Reporter decides, on an entry node, when the demand for one service is reported and
// to which collector. The zero value is ready for use.
type Reporter struct {
	// seenUntil is until when the service counts as contended by what this node has
	// seen, toldUntil by what collectors say.
	seenUntil, toldUntil time.Duration
	next                 time.Duration
	interval             time.Duration
	// target is the collector of the last report, and misses the number of reports to
	// it that are not answered.
	target  coltsfootward.InstanceID
	misses  int
	skipped map[coltsfootward.InstanceID]time.Duration
}

// Seen records that a server of the service refuses work, names a limit or is nearly
// full.
func (r *Reporter) Seen(now time.Duration) { r.seenUntil = now + contendedTime }

// SeenContended reports whether this node itself has seen that the service is contended.
func (r *Reporter) SeenContended(now time.Duration) bool { return now < r.seenUntil }

// Contended reports whether the service is contended.
func (r *Reporter) Contended(now time.Duration) bool {
	return now < r.seenUntil || now < r.toldUntil
}

// Due reports whether a report has to be sent now.
func (r *Reporter) Due(now time.Duration) bool { return now >= r.next && r.Contended(now) }

// Choose returns the collector for the next report, and records that it is sent. The
// collectors are given nearest first. skipped is the collector that is passed over from
// now on because it did not answer, if any. Without an eligible collector, ok is false.
func (r *Reporter) Choose(now time.Duration, nearest []coltsfootward.Instance) (to coltsfootward.Instance, skipped coltsfootward.InstanceID, ok bool) {
	r.next = now + max(r.interval, ReportInterval)
	if r.misses >= maxMisses {
		skipped = r.target
		r.skip(now, r.target)
	}
	for _, c := range nearest {
		if now < r.skipped[c.ID] {
			continue
		}
		if c.ID != r.target {
			r.target, r.misses = c.ID, 0
		}
		r.misses++
		return c, skipped, true
	}
	return coltsfootward.Instance{}, skipped, false
}

func (r *Reporter) skip(now time.Duration, id coltsfootward.InstanceID) {
	for skipped, until := range r.skipped {
		if now >= until {
			delete(r.skipped, skipped)
		}
	}
	if r.skipped == nil {
		r.skipped = make(map[coltsfootward.InstanceID]time.Duration)
	}
	r.skipped[id] = now + skipTime
	r.target, r.misses = "", 0
}

// Answered processes a summary from a collector.
func (r *Reporter) Answered(now time.Duration, from coltsfootward.InstanceID, s Summary) {
	if from == r.target {
		r.misses = 0
		r.interval = min(s.Interval, maxInterval)
	}
	if s.Contended {
		r.toldUntil = now + max(contendedTime, r.interval*3/2)
	} else {
		r.toldUntil = 0
	}
}
