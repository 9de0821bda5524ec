package peer

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"sync"
	"time"

	"coltsfootward"
	"coltsfootward/core/message"

	"github.com/vmihailenco/msgpack/v5"
)

// ProtocolVersion is the version of the protocol between nodes. A node rejects a
// hello with another version.
const ProtocolVersion = 3

const (
	// maximumFrameSize limits a frame in bytes, so that a hostile or faulty peer cannot
	// make a node allocate unlimited memory.
	maximumFrameSize = 1 << 20
	// maximumPayloadSize leaves room for the frame's header. A larger payload is
	// rejected when it is queued: if only the writer detected it, the connection and
	// every other call on it would fail.
	maximumPayloadSize = maximumFrameSize - 128
	// chunkSize is the maximum number of body bytes in one frame.
	chunkSize = 32 << 10
	// windowChunks is the flow-control window: how many chunks a sender may have sent
	// that the receiver has not read yet, per call and direction.
	windowChunks = 8
	// maximumStreams limits the calls that a peer may have open on one connection, so
	// that it cannot make a node hold an unlimited number of goroutines and buffers. A
	// node has a few hundred calls open to another under overload.
	maximumStreams = 1024
	lengthBytes    = 4
)

// frameKind is the type of a frame, as its name on the wire.
type frameKind string

const (
	frameHello   frameKind = "hello"
	framePing    frameKind = "ping"
	framePong    frameKind = "pong"
	frameMessage frameKind = "message"
	frameCall    frameKind = "call"
	// frameAnswer carries the head of a response.
	frameAnswer frameKind = "answer"
	// frameWhole carries a complete response: head, body and end.
	frameWhole  frameKind = "whole"
	frameBody   frameKind = "body"
	frameCredit frameKind = "credit"
	frameEnd    frameKind = "end"
	frameReset  frameKind = "reset"
	// frameGoodbye announces that the sender shuts down and requests that the receiver
	// send no further calls.
	frameGoodbye frameKind = "goodbye"
	// frameNoMoreCalls acknowledges a goodbye: no call follows on the connection.
	frameNoMoreCalls frameKind = "no_more_calls"
)

// frame is the unit of the protocol. On the wire it is a big-endian length of four
// bytes, then the kind, stream, sending time and payload length in msgpack, then the
// payload unchanged.
type frame struct {
	Kind frameKind
	// Stream is the ID of the call that the frame belongs to; zero for none.
	Stream uint32
	// Sent is the sender's monotonic clock, in nanoseconds, when the frame was written.
	Sent    int64
	Payload []byte
}

// frameKindsByName maps names to kinds, so that reading a known kind allocates no
// string.
var frameKindsByName = func() map[string]frameKind {
	kinds := make(map[string]frameKind)
	for _, kind := range []frameKind{
		frameHello, framePing, framePong, frameMessage, frameCall, frameAnswer, frameWhole, frameBody,
		frameCredit, frameEnd, frameReset, frameGoodbye, frameNoMoreCalls,
	} {
		kinds[string(kind)] = kind
	}
	return kinds
}()

// maximumKindLength limits the name of a frame's kind in bytes.
const maximumKindLength = 32

// hello is the payload of the first frame that each side sends on a connection.
type hello struct {
	Version  int                    `msgpack:"version"`
	Instance coltsfootward.Instance `msgpack:"instance"`
	// Probe is the sender's expiry clock in nanoseconds. The dialler echoes the
	// acceptor's in a pong.
	Probe int64 `msgpack:"probe"`
}

// probe is the payload of ping and pong: the expiry clock, in nanoseconds, of the side
// that sends the ping.
type probe struct {
	Probe int64 `msgpack:"probe"`
}

// completeResponse is the payload of a frame of kind frameWhole.
type completeResponse struct {
	Head message.Response    `msgpack:"head"`
	Body []byte              `msgpack:"body"`
	End  message.ResponseEnd `msgpack:"end"`
}

// completeResponseFields is the number of fields of a completeResponse on the wire.
const completeResponseFields = 3

// EncodeMsgpack implements msgpack.CustomEncoder.
func (r *completeResponse) EncodeMsgpack(encoder *msgpack.Encoder) error {
	return errors.Join(
		encoder.EncodeArrayLen(completeResponseFields),
		r.Head.EncodeMsgpack(encoder),
		encoder.EncodeBytes(r.Body),
		r.End.EncodeMsgpack(encoder),
	)
}

// DecodeMsgpack implements msgpack.CustomDecoder.
func (r *completeResponse) DecodeMsgpack(decoder *msgpack.Decoder) error {
	count, err := decoder.DecodeArrayLen()
	if err != nil {
		return err
	}
	if count != completeResponseFields {
		return fmt.Errorf("got %d fields, want %d", count, completeResponseFields)
	}
	if err := r.Head.DecodeMsgpack(decoder); err != nil {
		return err
	}
	if r.Body, err = decoder.DecodeBytes(); err != nil {
		return err
	}
	return r.End.DecodeMsgpack(decoder)
}

// FrameError is the error of bytes that are not a valid frame or that violate the
// protocol.
type FrameError struct {
	Reason string
	Err    error
}

// Error implements error.
func (e *FrameError) Error() string {
	if e.Err != nil {
		return fmt.Sprintf("peer: invalid frame: %s: %v: check that both nodes run the same version", e.Reason, e.Err)
	}
	return fmt.Sprintf("peer: invalid frame: %s: check that both nodes run the same version", e.Reason)
}

// Unwrap returns the underlying error, or nil.
func (e *FrameError) Unwrap() error { return e.Err }

// frameWriter writes frames and reuses its buffer from one frame to the next. It is
// not safe for concurrent use.
type frameWriter struct {
	w       *bufio.Writer
	buffer  bytes.Buffer
	encoder *msgpack.Encoder
}

func newFrameWriter(w *bufio.Writer) *frameWriter {
	f := &frameWriter{w: w}
	f.encoder = msgpack.NewEncoder(&f.buffer)
	return f
}

// maximumReusedBuffer limits the buffer that is reused for the next frame, in bytes.
const maximumReusedBuffer = 64 << 10

func (fw *frameWriter) write(f frame) error {
	if fw.buffer.Cap() > maximumReusedBuffer {
		fw.buffer = bytes.Buffer{}
	}
	fw.buffer.Reset()
	if err := fw.encodeHeader(f); err != nil {
		return fmt.Errorf("peer: encode frame: %w", err)
	}
	size := fw.buffer.Len() + len(f.Payload)
	if size > maximumFrameSize {
		return &FrameError{Reason: fmt.Sprintf("%d bytes are more than %d", size, maximumFrameSize)}
	}
	var length [lengthBytes]byte
	binary.BigEndian.PutUint32(length[:], uint32(size))
	for _, part := range [][]byte{length[:], fw.buffer.Bytes(), f.Payload} {
		if _, err := fw.w.Write(part); err != nil {
			return err
		}
	}
	return nil
}

// encodeHeader encodes all of a frame but its payload.
func (fw *frameWriter) encodeHeader(f frame) error {
	if err := fw.encoder.EncodeString(string(f.Kind)); err != nil {
		return err
	}
	for _, number := range []int64{int64(f.Stream), f.Sent, int64(len(f.Payload))} {
		if err := fw.encoder.EncodeInt(number); err != nil {
			return err
		}
	}
	return nil
}

// frameReader reads frames and reuses its decoder from one frame to the next. It is
// not safe for concurrent use.
type frameReader struct {
	r       io.Reader
	decoder *byteDecoder
	length  [lengthBytes]byte
	kind    [maximumKindLength]byte
}

func newFrameReader(r io.Reader) *frameReader {
	return &frameReader{r: r, decoder: newByteDecoder()}
}

// readFrame reads one frame from r and nothing beyond it.
func readFrame(r io.Reader) (frame, error) { return newFrameReader(r).read() }

// read reads one frame. It returns io.EOF only between two frames, and a
// *FrameError for bytes that are not a valid frame.
func (fr *frameReader) read() (frame, error) {
	var f frame
	if _, err := io.ReadFull(fr.r, fr.length[:]); err != nil {
		if errors.Is(err, io.ErrUnexpectedEOF) {
			return f, &FrameError{Reason: "truncated length", Err: err}
		}
		return f, err
	}
	size := binary.BigEndian.Uint32(fr.length[:])
	if size > maximumFrameSize {
		return f, &FrameError{Reason: fmt.Sprintf("%d bytes are more than %d", size, maximumFrameSize)}
	}
	data := make([]byte, size)
	if _, err := io.ReadFull(fr.r, data); err != nil {
		return f, &FrameError{Reason: "truncated body", Err: err}
	}
	return fr.parse(data)
}

// parse decodes a frame. The payload is a slice of data, not a copy.
func (fr *frameReader) parse(data []byte) (frame, error) {
	var f frame
	fr.decoder.load(data)
	kind, err := fr.readKind()
	if err != nil {
		return f, &FrameError{Reason: "undecodable", Err: err}
	}
	var numbers [3]int64
	for i := range numbers {
		if numbers[i], err = fr.decoder.DecodeInt64(); err != nil {
			return f, &FrameError{Reason: "undecodable", Err: err}
		}
	}
	f = frame{Kind: kind, Stream: uint32(numbers[0]), Sent: numbers[1], Payload: fr.decoder.remainder(data)}
	if int64(len(f.Payload)) != numbers[2] || int64(f.Stream) != numbers[0] {
		return f, &FrameError{Reason: "the fields of the frame do not fit its length"}
	}
	return f, nil
}

func (fr *frameReader) readKind() (frameKind, error) {
	length, err := fr.decoder.DecodeBytesLen()
	if err != nil {
		return "", err
	}
	if length < 0 || length > maximumKindLength {
		return "", fmt.Errorf("frame kind of %d bytes", length)
	}
	name := fr.kind[:length]
	if err := fr.decoder.ReadFull(name); err != nil {
		return "", err
	}
	if kind, ok := frameKindsByName[string(name)]; ok {
		return kind, nil
	}
	return frameKind(name), nil
}

// byteDecoder is a msgpack decoder that can be reused for several byte slices.
type byteDecoder struct {
	*msgpack.Decoder
	source bytes.Reader
}

func newByteDecoder() *byteDecoder {
	d := &byteDecoder{}
	d.Decoder = msgpack.NewDecoder(&d.source)
	return d
}

// load makes the decoder read from the start of data.
func (d *byteDecoder) load(data []byte) {
	d.source.Reset(data)
	d.Reset(&d.source)
}

// remainder returns the part of data that is not decoded yet. The decoder must have
// been loaded with data.
func (d *byteDecoder) remainder(data []byte) []byte { return data[len(data)-d.source.Len():] }

// byteDecoderPool holds decoders for reuse.
var byteDecoderPool = sync.Pool{New: func() any { return newByteDecoder() }}

// decode decodes a payload. It converts a panic of the decoder, which hostile bytes
// can cause, to a *FrameError.
func decode(data []byte, into any) (err error) {
	defer func() {
		if r := recover(); r != nil {
			err = &FrameError{Reason: fmt.Sprintf("undecodable: %v", r)}
		}
	}()
	if custom, ok := into.(msgpack.CustomDecoder); ok {
		d := byteDecoderPool.Get().(*byteDecoder)
		d.load(data)
		err = custom.DecodeMsgpack(d.Decoder)
		d.load(nil)
		byteDecoderPool.Put(d)
	} else {
		err = msgpack.Unmarshal(data, into)
	}
	if err != nil {
		return &FrameError{Reason: "undecodable", Err: err}
	}
	return nil
}

// typicalPayloadSize is the initial capacity of an encoding buffer in bytes. Most
// payloads fit into it.
const typicalPayloadSize = 512

// encodeWith returns the bytes that write encodes.
func encodeWith(write func(*msgpack.Encoder) error) ([]byte, error) {
	encoder := msgpack.GetEncoder()
	defer msgpack.PutEncoder(encoder)
	data := bytes.NewBuffer(make([]byte, 0, typicalPayloadSize))
	encoder.Reset(data)
	if err := write(encoder); err != nil {
		return nil, fmt.Errorf("peer: encode: %w", err)
	}
	return data.Bytes(), nil
}

func encode(value any) ([]byte, error) {
	if custom, ok := value.(msgpack.CustomEncoder); ok {
		return encodeWith(custom.EncodeMsgpack)
	}
	return encodeWith(func(encoder *msgpack.Encoder) error { return encoder.Encode(value) })
}

// encodeMessage encodes the kind of a message followed by the message.
func encodeMessage(m message.Message) ([]byte, error) {
	return encodeWith(func(encoder *msgpack.Encoder) error {
		if err := encoder.EncodeString(string(m.MessageKind())); err != nil {
			return err
		}
		return encoder.Encode(m)
	})
}

func decodeMessage(data []byte) (message.Message, error) {
	d := byteDecoderPool.Get().(*byteDecoder)
	d.load(data)
	kind, err := d.DecodeString()
	remainder := d.remainder(data)
	d.load(nil)
	byteDecoderPool.Put(d)
	if err != nil {
		return nil, &FrameError{Reason: "undecodable", Err: err}
	}
	m := message.New(message.Kind(kind))
	if m == nil {
		return nil, &FrameError{Reason: fmt.Sprintf("unknown message kind %q", kind)}
	}
	if err := decode(remainder, m); err != nil {
		return nil, err
	}
	return m, nil
}

// clockDrift is the maximum drift between the monotonic clocks of two nodes per
// second.
const clockDrift = 500 * time.Microsecond

// clockOffset is a lower bound of the offset from the peer's monotonic clock to this
// node's expiry clock.
//
// A frame may stay in a socket buffer while this node is paused, and its contents then
// look more recent than they are. The peer therefore echoes a probe that holds this
// node's expiry clock, and stamps the echo with its own monotonic clock. When the peer
// wrote the stamp, this node's clock read the probe's value or later. A frame with
// stamp s was thus sent no earlier than probe + (s − stamp) by this node's clock, which
// gives an upper bound of its age without comparing wall clocks.
type clockOffset struct {
	valid bool
	// lowerBound is probe − stamp of the best echo so far, measuredAt the local time at
	// which that echo was processed.
	lowerBound time.Duration
	measuredAt time.Duration
}

// update applies an echoed probe: it replaces the bound if the new one is tighter.
func (o *clockOffset) update(now, probe, stamp time.Duration) {
	bound := probe - stamp
	if !o.valid || bound > o.lowerBoundAt(now) {
		o.valid = true
		o.lowerBound = bound
		o.measuredAt = now
	}
}

// lowerBoundAt returns the bound, reduced by the drift that is possible since it was
// measured.
func (o *clockOffset) lowerBoundAt(now time.Duration) time.Duration {
	drift := time.Duration((now - o.measuredAt).Seconds() * float64(clockDrift))
	return o.lowerBound - drift
}

// age returns an upper bound of the time since the peer stamped a frame.
func (o *clockOffset) age(now, stamp time.Duration) time.Duration {
	if !o.valid {
		return now
	}
	return max(now-(stamp+o.lowerBoundAt(now)), 0)
}
