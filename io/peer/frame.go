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

// ProtocolVersion is the version of the protocol between nodes. Nodes of
// different versions refuse each other in the hello.
const ProtocolVersion = 3

const (
	// maximumFrame bounds a frame in bytes, so that a hostile or broken peer
	// cannot make a node allocate without bound.
	maximumFrame = 1 << 20
	// maximumPayload leaves room for the rest of the frame. A larger payload is
	// refused to whoever sends it: found by the writer, it would take down the
	// connection and every other call on it.
	maximumPayload = maximumFrame - 128
	// chunkSize is how many bytes of a body travel in one frame.
	chunkSize = 32 << 10
	// windowChunks is how many chunks a sender may have on the way unread, per
	// call and direction.
	windowChunks = 8
	// maximumStreams bounds the calls that a peer may have open on one
	// connection, so that it cannot make a node hold goroutines and windows
	// without bound. A node sends another a few hundred at once under overload.
	maximumStreams = 1024
	lengthBytes    = 4
)

// frameKind names what a frame carries.
type frameKind string

const (
	frameHello   frameKind = "hello"
	framePing    frameKind = "ping"
	framePong    frameKind = "pong"
	frameMessage frameKind = "message"
	frameCall    frameKind = "call"
	frameAnswer  frameKind = "answer"
	// frameWhole is an answer with its body and end.
	frameWhole  frameKind = "whole"
	frameBody   frameKind = "body"
	frameCredit frameKind = "credit"
	frameEnd    frameKind = "end"
	frameReset  frameKind = "reset"
	// frameGoodbye says that the sender leaves and asks for no further call.
	frameGoodbye frameKind = "goodbye"
	// frameNoMoreCalls answers a goodbye: no call follows on the connection.
	frameNoMoreCalls frameKind = "no_more_calls"
)

// frame is the unit on the wire: a length in four bytes, then kind, stream, stamp and
// the payload's length in msgpack, then the payload as it is.
type frame struct {
	Kind frameKind
	// Stream is the call that the frame belongs to; zero for none.
	Stream uint32
	// Sent is the sender's monotonic clock in nanoseconds.
	Sent    int64
	Payload []byte
}

// frameKinds finds a kind without a new string for each frame.
var frameKinds = func() map[string]frameKind {
	kinds := make(map[string]frameKind)
	for _, kind := range []frameKind{
		frameHello, framePing, framePong, frameMessage, frameCall, frameAnswer, frameWhole, frameBody,
		frameCredit, frameEnd, frameReset, frameGoodbye, frameNoMoreCalls,
	} {
		kinds[string(kind)] = kind
	}
	return kinds
}()

// longestKind bounds the name of a frame's kind in bytes.
const longestKind = 32

// hello opens a connection in both directions.
type hello struct {
	Version  int                    `msgpack:"version"`
	Instance coltsfootward.Instance `msgpack:"instance"`
	// Probe is the acceptor's expiry clock, to be echoed in a pong.
	Probe int64 `msgpack:"probe"`
}

// probe is the payload of ping and pong: the asking side's expiry clock.
type probe struct {
	Probe int64 `msgpack:"probe"`
}

// wholeAnswer is the payload of a whole answer.
type wholeAnswer struct {
	Head message.Response    `msgpack:"head"`
	Body []byte              `msgpack:"body"`
	End  message.ResponseEnd `msgpack:"end"`
}

// wholeFields is how many fields a whole answer has on the wire.
const wholeFields = 3

// EncodeMsgpack implements msgpack.CustomEncoder.
func (a *wholeAnswer) EncodeMsgpack(encoder *msgpack.Encoder) error {
	return errors.Join(
		encoder.EncodeArrayLen(wholeFields),
		a.Head.EncodeMsgpack(encoder),
		encoder.EncodeBytes(a.Body),
		a.End.EncodeMsgpack(encoder),
	)
}

// DecodeMsgpack implements msgpack.CustomDecoder.
func (a *wholeAnswer) DecodeMsgpack(decoder *msgpack.Decoder) error {
	count, err := decoder.DecodeArrayLen()
	if err != nil {
		return err
	}
	if count != wholeFields {
		return fmt.Errorf("%d fields, want %d", count, wholeFields)
	}
	if err := a.Head.DecodeMsgpack(decoder); err != nil {
		return err
	}
	if a.Body, err = decoder.DecodeBytes(); err != nil {
		return err
	}
	return a.End.DecodeMsgpack(decoder)
}

// FrameError says that the bytes received are no valid frame.
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

// Unwrap returns the error that the frame failed with, or nil.
func (e *FrameError) Unwrap() error { return e.Err }

// frameWriter writes frames. Its buffer is kept from one frame to the next. It is
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

// keptBuffer bounds the buffer that is kept from one frame to the next, in bytes.
const keptBuffer = 64 << 10

func (fw *frameWriter) write(f frame) error {
	if fw.buffer.Cap() > keptBuffer {
		fw.buffer = bytes.Buffer{}
	}
	fw.buffer.Reset()
	if err := fw.head(f); err != nil {
		return fmt.Errorf("peer: encode frame: %w", err)
	}
	size := fw.buffer.Len() + len(f.Payload)
	if size > maximumFrame {
		return &FrameError{Reason: fmt.Sprintf("%d bytes are more than %d", size, maximumFrame)}
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

// head encodes all of a frame but its payload.
func (fw *frameWriter) head(f frame) error {
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

// frameReader reads frames. What it needs to take a frame apart is kept from one
// frame to the next. It is not safe for concurrent use.
type frameReader struct {
	r       io.Reader
	decoder *byteDecoder
	length  [lengthBytes]byte
	kind    [longestKind]byte
}

func newFrameReader(r io.Reader) *frameReader {
	return &frameReader{r: r, decoder: newByteDecoder()}
}

// readFrame reads one frame from r and nothing behind it.
func readFrame(r io.Reader) (frame, error) { return newFrameReader(r).read() }

// read reads one frame. It returns io.EOF only at a frame's border and a
// *FrameError for bytes that are no frame.
func (fr *frameReader) read() (frame, error) {
	var f frame
	if _, err := io.ReadFull(fr.r, fr.length[:]); err != nil {
		if errors.Is(err, io.ErrUnexpectedEOF) {
			return f, &FrameError{Reason: "truncated length", Err: err}
		}
		return f, err
	}
	size := binary.BigEndian.Uint32(fr.length[:])
	if size > maximumFrame {
		return f, &FrameError{Reason: fmt.Sprintf("%d bytes are more than %d", size, maximumFrame)}
	}
	data := make([]byte, size)
	if _, err := io.ReadFull(fr.r, data); err != nil {
		return f, &FrameError{Reason: "truncated body", Err: err}
	}
	return fr.parse(data)
}

// parse takes a frame apart. The payload is a part of data.
func (fr *frameReader) parse(data []byte) (frame, error) {
	var f frame
	fr.decoder.take(data)
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
	f = frame{Kind: kind, Stream: uint32(numbers[0]), Sent: numbers[1], Payload: fr.decoder.rest(data)}
	if int64(len(f.Payload)) != numbers[2] || int64(f.Stream) != numbers[0] {
		return f, &FrameError{Reason: "a frame whose parts do not fit its length"}
	}
	return f, nil
}

func (fr *frameReader) readKind() (frameKind, error) {
	length, err := fr.decoder.DecodeBytesLen()
	if err != nil {
		return "", err
	}
	if length < 0 || length > longestKind {
		return "", fmt.Errorf("a kind of %d bytes", length)
	}
	name := fr.kind[:length]
	if err := fr.decoder.ReadFull(name); err != nil {
		return "", err
	}
	if kind, ok := frameKinds[string(name)]; ok {
		return kind, nil
	}
	return frameKind(name), nil
}

// byteDecoder decodes from bytes, and can be given others when it is done.
type byteDecoder struct {
	*msgpack.Decoder
	source bytes.Reader
}

func newByteDecoder() *byteDecoder {
	d := &byteDecoder{}
	d.Decoder = msgpack.NewDecoder(&d.source)
	return d
}

// take begins to decode data.
func (d *byteDecoder) take(data []byte) {
	d.source.Reset(data)
	d.Reset(&d.source)
}

// rest returns what of data, which it has taken, is not decoded yet.
func (d *byteDecoder) rest(data []byte) []byte { return data[len(data)-d.source.Len():] }

// byteDecoders keeps decoders for reuse.
var byteDecoders = sync.Pool{New: func() any { return newByteDecoder() }}

// decode decodes a payload. A panic of the decoder on hostile bytes becomes an
// error like any other.
func decode(data []byte, into any) (err error) {
	defer func() {
		if r := recover(); r != nil {
			err = &FrameError{Reason: fmt.Sprintf("undecodable: %v", r)}
		}
	}()
	if own, ok := into.(msgpack.CustomDecoder); ok {
		d := byteDecoders.Get().(*byteDecoder)
		d.take(data)
		err = own.DecodeMsgpack(d.Decoder)
		d.take(nil)
		byteDecoders.Put(d)
	} else {
		err = msgpack.Unmarshal(data, into)
	}
	if err != nil {
		return &FrameError{Reason: "undecodable", Err: err}
	}
	return nil
}

// usualPayload is the size of most payloads in bytes.
const usualPayload = 512

// encoded returns what write encodes.
func encoded(write func(*msgpack.Encoder) error) ([]byte, error) {
	encoder := msgpack.GetEncoder()
	defer msgpack.PutEncoder(encoder)
	data := bytes.NewBuffer(make([]byte, 0, usualPayload))
	encoder.Reset(data)
	if err := write(encoder); err != nil {
		return nil, fmt.Errorf("peer: encode: %w", err)
	}
	return data.Bytes(), nil
}

func encode(value any) ([]byte, error) {
	if own, ok := value.(msgpack.CustomEncoder); ok {
		return encoded(own.EncodeMsgpack)
	}
	return encoded(func(encoder *msgpack.Encoder) error { return encoder.Encode(value) })
}

// encodeMessage encodes a message behind its kind.
func encodeMessage(m message.Message) ([]byte, error) {
	return encoded(func(encoder *msgpack.Encoder) error {
		if err := encoder.EncodeString(string(m.MessageKind())); err != nil {
			return err
		}
		return encoder.Encode(m)
	})
}

func decodeMessage(data []byte) (message.Message, error) {
	d := byteDecoders.Get().(*byteDecoder)
	d.take(data)
	kind, err := d.DecodeString()
	rest := d.rest(data)
	d.take(nil)
	byteDecoders.Put(d)
	if err != nil {
		return nil, &FrameError{Reason: "undecodable", Err: err}
	}
	m := message.New(message.Kind(kind))
	if m == nil {
		return nil, &FrameError{Reason: fmt.Sprintf("unknown message kind %q", kind)}
	}
	if err := decode(rest, m); err != nil {
		return nil, err
	}
	return m, nil
}

// clockDrift is how much two monotonic clocks may differ per second.
const clockDrift = 500 * time.Microsecond

// offsets bounds the difference between the peer's clock and this node's.
//
// A frame may sit in a socket buffer while this node is paused; its contents
// then look fresh. The peer echoes a probe of this node's expiry clock and
// stamps the echo with its own monotonic clock: at that stamp, this node's
// clock stood at the probe or later. So a frame stamped s was sent no earlier
// than probe + (s − stamp), and its age follows without comparing wall clocks.
type offsets struct {
	known bool
	// bound is probe − stamp of the best echo, taken at probe.
	bound time.Duration
	taken time.Duration
}

// echo takes in an echoed probe.
func (o *offsets) echo(now, probe, stamp time.Duration) {
	bound := probe - stamp
	if !o.known || bound > o.aged(now) {
		o.known = true
		o.bound = bound
		o.taken = now
	}
}

func (o *offsets) aged(now time.Duration) time.Duration {
	drift := time.Duration((now - o.taken).Seconds() * float64(clockDrift))
	return o.bound - drift
}

// age returns an upper bound of the time since the peer stamped a frame.
func (o *offsets) age(now, stamp time.Duration) time.Duration {
	if !o.known {
		return now
	}
	return max(now-(stamp+o.aged(now)), 0)
}
