package message

import (
	"fmt"
	"time"

	"coltsfootward"

	"github.com/vmihailenco/msgpack/v5"
)

// The types that are sent with every call have hand-written codecs. They encode a
// struct as an array of its fields, without field names and without the cost of
// reflection.

// The number of array elements of each type on the wire. An extended type has further
// elements, which are sent only if one of them is not zero, so that nodes that do not use
// them understand each other whatever their version.
const (
	callFields             = 21
	extendedCallFields     = callFields + 3
	loadFields             = 8
	extendedLoadFields     = loadFields + 3
	pressureFields         = 3
	extendedPressureFields = pressureFields + 1
	responseFields         = 4
	extendedResponseFields = responseFields + 1
	responseEndFields      = 2
	drawFields             = 7
	grantFields            = 8
	instanceFields         = 5
)

// writer encodes fields and retains the first error.
type writer struct {
	encoder *msgpack.Encoder
	err     error
}

func (w *writer) setError(err error) {
	if w.err == nil {
		w.err = err
	}
}

func (w *writer) fields(n int)             { w.setError(w.encoder.EncodeArrayLen(n)) }
func (w *writer) text(value string)        { w.setError(w.encoder.EncodeString(value)) }
func (w *writer) number(value int64)       { w.setError(w.encoder.EncodeInt(value)) }
func (w *writer) flag(value bool)          { w.setError(w.encoder.EncodeBool(value)) }
func (w *writer) fraction(value float64)   { w.setError(w.encoder.EncodeFloat64(value)) }
func (w *writer) duration(d time.Duration) { w.number(int64(d)) }

// extendable writes the number of fields that follow and returns extended.
func (w *writer) extendable(extended bool, base, count int) bool {
	if extended {
		base = count
	}
	w.fields(base)
	return extended
}

func (w *writer) header(h map[string][]string) {
	w.setError(w.encoder.EncodeMapLen(len(h)))
	for name, values := range h {
		w.text(name)
		w.fields(len(values))
		for _, value := range values {
			w.text(value)
		}
	}
}

// reader decodes fields and retains the first error. After an error it returns zero
// values.
type reader struct {
	decoder *msgpack.Decoder
	err     error
}

func read[T any](r *reader, decode func() (T, error)) T {
	var value T
	if r.err == nil {
		value, r.err = decode()
	}
	return value
}

func (r *reader) text() string            { return read(r, r.decoder.DecodeString) }
func (r *reader) number() int64           { return read(r, r.decoder.DecodeInt64) }
func (r *reader) flag() bool              { return read(r, r.decoder.DecodeBool) }
func (r *reader) fraction() float64       { return read(r, r.decoder.DecodeFloat64) }
func (r *reader) duration() time.Duration { return time.Duration(r.number()) }

// fields reads the number of fields that follow and sets an error if it differs from
// want.
func (r *reader) fields(want int) {
	if got := r.length(); r.err == nil && got != want {
		r.err = fmt.Errorf("message: got %d fields, want %d: check that both nodes run the same version", got, want)
	}
}

// extendable reads the number of fields that follow, which must be base or extended. It
// reports whether the extended fields are present.
func (r *reader) extendable(base, extended int) bool {
	got := r.length()
	if r.err == nil && got != base && got != extended {
		r.err = fmt.Errorf("message: got %d fields, want %d or %d: check that both nodes run the same version", got, base, extended)
	}
	return got == extended
}

// length reads the number of elements that follow.
func (r *reader) length() int { return max(read(r, r.decoder.DecodeArrayLen), 0) }

// maximumPreallocation bounds the number of values for which memory is allocated in
// advance for a length that a peer sent. A malformed length can therefore not allocate
// much memory.
const maximumPreallocation = 64

func (r *reader) header() map[string][]string {
	size := max(read(r, r.decoder.DecodeMapLen), 0)
	if size == 0 {
		return nil
	}
	h := make(map[string][]string, min(size, maximumPreallocation))
	// Most header fields have one value, so one slice is allocated for the values of
	// shared fields.
	shared := make([]string, 0, min(size, maximumPreallocation))
	for range size {
		name, count := r.text(), r.length()
		first := len(shared)
		for range count {
			shared = append(shared, r.text())
			if r.err != nil {
				return nil
			}
		}
		if r.err != nil {
			return nil
		}
		h[name] = shared[first:len(shared):len(shared)]
	}
	return h
}

func (w *writer) instance(i coltsfootward.Instance) {
	w.fields(instanceFields)
	w.text(string(i.ID))
	w.text(string(i.Domain))
	w.text(i.Address)
	w.text(i.OperatorAddress)
	w.number(int64(i.Incarnation))
}

func (r *reader) instance() coltsfootward.Instance {
	r.fields(instanceFields)
	return coltsfootward.Instance{
		ID: coltsfootward.InstanceID(r.text()), Domain: coltsfootward.FailureDomain(r.text()),
		Address: r.text(), OperatorAddress: r.text(), Incarnation: coltsfootward.Incarnation(r.number()),
	}
}

// EncodeMsgpack implements msgpack.CustomEncoder.
func (c *Call) EncodeMsgpack(encoder *msgpack.Encoder) error {
	w := writer{encoder: encoder}
	extended := w.extendable(c.Account != "" || c.Attributed || c.Sends != 0, callFields, extendedCallFields)
	w.text(string(c.Request))
	w.text(string(c.Organisation))
	w.text(string(c.Service))
	w.text(c.Method)
	w.text(c.Path)
	w.header(c.Header)
	w.text(string(c.Priority))
	w.text(string(c.SecondaryPriority))
	w.number(int64(c.ShedRank))
	w.number(int64(c.Budget))
	w.flag(c.NoRetries)
	w.duration(c.Timeout)
	w.duration(c.StartWithin)
	w.flag(c.Renewable)
	w.flag(c.Unrepeatable)
	w.text(c.IdempotencyKey)
	w.number(int64(c.Depth))
	w.flag(c.Retry)
	w.text(string(c.Route))
	w.text(c.Host)
	w.text(string(c.Caller))
	if extended {
		w.text(string(c.Account))
		w.flag(c.Attributed)
		w.number(int64(c.Sends))
	}
	return w.err
}

// DecodeMsgpack implements msgpack.CustomDecoder.
func (c *Call) DecodeMsgpack(decoder *msgpack.Decoder) error {
	r := reader{decoder: decoder}
	extended := r.extendable(callFields, extendedCallFields)
	c.Request = coltsfootward.RequestID(r.text())
	c.Organisation = coltsfootward.OrganisationName(r.text())
	c.Service = coltsfootward.ServiceName(r.text())
	c.Method = r.text()
	c.Path = r.text()
	c.Header = r.header()
	c.Priority = coltsfootward.Priority(r.text())
	c.SecondaryPriority = coltsfootward.Priority(r.text())
	c.ShedRank = uint32(r.number())
	c.Budget = int(r.number())
	c.NoRetries = r.flag()
	c.Timeout = r.duration()
	c.StartWithin = r.duration()
	c.Renewable = r.flag()
	c.Unrepeatable = r.flag()
	c.IdempotencyKey = r.text()
	c.Depth = int(r.number())
	c.Retry = r.flag()
	c.Route = coltsfootward.RouteName(r.text())
	c.Host = r.text()
	c.Caller = coltsfootward.ServiceName(r.text())
	c.Account, c.Attributed, c.Sends = "", false, 0
	if extended {
		c.Account = coltsfootward.OrganisationName(r.text())
		c.Attributed = r.flag()
		c.Sends = int(r.number())
	}
	return r.err
}

// EncodeMsgpack implements msgpack.CustomEncoder.
func (l *Load) EncodeMsgpack(encoder *msgpack.Encoder) error {
	w := writer{encoder: encoder}
	extended := w.extendable(l.Slowdown != 0 || l.SlowdownAge != 0 || l.Wait != 0, loadFields, extendedLoadFields)
	w.number(int64(l.Running))
	w.number(int64(l.Queued))
	w.number(int64(l.Limit))
	w.duration(l.Cold)
	w.number(int64(l.ShedLevel))
	w.fraction(l.Excess)
	w.fraction(l.Cost)
	w.fields(len(l.Downstream))
	for _, downstream := range l.Downstream {
		named := w.extendable(downstream.Resource != "", pressureFields, extendedPressureFields)
		w.text(string(downstream.Service))
		w.fraction(downstream.Excess)
		w.fraction(downstream.Cost)
		if named {
			w.text(string(downstream.Resource))
		}
	}
	if extended {
		w.fraction(l.Slowdown)
		w.duration(l.SlowdownAge)
		w.duration(l.Wait)
	}
	return w.err
}

// DecodeMsgpack implements msgpack.CustomDecoder.
func (l *Load) DecodeMsgpack(decoder *msgpack.Decoder) error {
	r := reader{decoder: decoder}
	extended := r.extendable(loadFields, extendedLoadFields)
	l.Running = int(r.number())
	l.Queued = int(r.number())
	l.Limit = int(r.number())
	l.Cold = r.duration()
	l.ShedLevel = uint32(r.number())
	l.Excess = r.fraction()
	l.Cost = r.fraction()
	l.Downstream = nil
	for range r.length() {
		named := r.extendable(pressureFields, extendedPressureFields)
		downstream := Pressure{Service: coltsfootward.ServiceName(r.text()), Excess: r.fraction(), Cost: r.fraction()}
		if named {
			downstream.Resource = Resource(r.text())
		}
		if r.err != nil {
			return r.err
		}
		l.Downstream = append(l.Downstream, downstream)
	}
	l.Slowdown, l.SlowdownAge, l.Wait = 0, 0, 0
	if extended {
		l.Slowdown = r.fraction()
		l.SlowdownAge = r.duration()
		l.Wait = r.duration()
	}
	return r.err
}

// EncodeMsgpack implements msgpack.CustomEncoder.
func (resp *Response) EncodeMsgpack(encoder *msgpack.Encoder) error {
	w := writer{encoder: encoder}
	w.extendable(resp.RetryGranted, responseFields, extendedResponseFields)
	w.number(int64(resp.Status))
	w.header(resp.Header)
	w.flag(resp.Refusal != nil)
	if resp.Refusal != nil {
		w.setError(encoder.Encode(resp.Refusal))
	}
	w.setError(resp.Load.EncodeMsgpack(encoder))
	if resp.RetryGranted {
		w.flag(resp.RetryGranted)
	}
	return w.err
}

// DecodeMsgpack implements msgpack.CustomDecoder.
func (resp *Response) DecodeMsgpack(decoder *msgpack.Decoder) error {
	r := reader{decoder: decoder}
	extended := r.extendable(responseFields, extendedResponseFields)
	resp.Status = int(r.number())
	resp.Header = r.header()
	resp.Refusal = nil
	if refused := r.flag(); refused && r.err == nil {
		resp.Refusal = new(coltsfootward.Refusal)
		r.err = decoder.Decode(resp.Refusal)
	}
	if r.err == nil {
		r.err = resp.Load.DecodeMsgpack(decoder)
	}
	resp.RetryGranted = extended && r.flag()
	return r.err
}

// EncodeMsgpack implements msgpack.CustomEncoder.
func (e *ResponseEnd) EncodeMsgpack(encoder *msgpack.Encoder) error {
	w := writer{encoder: encoder}
	w.fields(responseEndFields)
	w.number(int64(e.Attempts))
	w.number(int64(e.Needed))
	return w.err
}

// DecodeMsgpack implements msgpack.CustomDecoder.
func (e *ResponseEnd) DecodeMsgpack(decoder *msgpack.Decoder) error {
	r := reader{decoder: decoder}
	r.fields(responseEndFields)
	e.Attempts = int(r.number())
	e.Needed = int(r.number())
	return r.err
}

// EncodeMsgpack implements msgpack.CustomEncoder.
func (d *Draw) EncodeMsgpack(encoder *msgpack.Encoder) error {
	w := writer{encoder: encoder}
	w.fields(drawFields)
	w.number(int64(d.ID))
	w.text(string(d.Organisation))
	w.text(string(d.Domain))
	w.number(int64(d.Slot))
	w.number(d.Need)
	w.number(d.Prefetch)
	w.instance(d.From)
	return w.err
}

// DecodeMsgpack implements msgpack.CustomDecoder.
func (d *Draw) DecodeMsgpack(decoder *msgpack.Decoder) error {
	r := reader{decoder: decoder}
	r.fields(drawFields)
	d.ID = uint64(r.number())
	d.Organisation = coltsfootward.OrganisationName(r.text())
	d.Domain = coltsfootward.FailureDomain(r.text())
	d.Slot = int(r.number())
	d.Need = r.number()
	d.Prefetch = r.number()
	d.From = r.instance()
	return r.err
}

// EncodeMsgpack implements msgpack.CustomEncoder.
func (g *Grant) EncodeMsgpack(encoder *msgpack.Encoder) error {
	w := writer{encoder: encoder}
	w.fields(grantFields)
	w.number(int64(g.ID))
	w.flag(g.IsHolder)
	w.instance(g.Holder)
	w.number(int64(g.Epoch))
	w.number(g.Tokens)
	w.duration(g.Lifetime)
	w.duration(g.RetryAfter)
	w.number(g.Remaining)
	return w.err
}

// DecodeMsgpack implements msgpack.CustomDecoder.
func (g *Grant) DecodeMsgpack(decoder *msgpack.Decoder) error {
	r := reader{decoder: decoder}
	r.fields(grantFields)
	g.ID = uint64(r.number())
	g.IsHolder = r.flag()
	g.Holder = r.instance()
	g.Epoch = uint64(r.number())
	g.Tokens = r.number()
	g.Lifetime = r.duration()
	g.RetryAfter = r.duration()
	g.Remaining = r.number()
	return r.err
}
