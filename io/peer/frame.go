package peer

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"time"

	"coltsfootward"
	"coltsfootward/core/message"

	"github.com/vmihailenco/msgpack/v5"
)

// ProtocolVersion is the version of the protocol between nodes. Nodes of
// different versions refuse each other in the hello.
const ProtocolVersion = 2

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

// frame is the unit on the wire: a length in four bytes, then this in msgpack.
type frame struct {
	//lint:ignore U1000 msgpack reads the tag of this field
	_msgpack struct{}  `msgpack:",as_array"`
	Kind     frameKind `msgpack:"kind"`
	// Stream is the call that the frame belongs to; zero for none.
	Stream uint32 `msgpack:"stream"`
	// Sent is the sender's monotonic clock in nanoseconds.
	Sent    int64  `msgpack:"sent"`
	Payload []byte `msgpack:"payload"`
}

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
	Head message.Answer `msgpack:"head"`
	Body []byte         `msgpack:"body"`
	End  message.End    `msgpack:"end"`
}

// envelope carries a message with its kind.
type envelope struct {
	Kind    message.Kind       `msgpack:"kind"`
	Message msgpack.RawMessage `msgpack:"message"`
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
	if err := fw.encoder.Encode(&f); err != nil {
		return fmt.Errorf("peer: encode frame: %w", err)
	}
	data := fw.buffer.Bytes()
	if len(data) > maximumFrame {
		return &FrameError{Reason: fmt.Sprintf("%d bytes are more than %d", len(data), maximumFrame)}
	}
	var length [lengthBytes]byte
	binary.BigEndian.PutUint32(length[:], uint32(len(data)))
	if _, err := fw.w.Write(length[:]); err != nil {
		return err
	}
	_, err := fw.w.Write(data)
	return err
}

// readFrame reads one frame. It returns io.EOF only at a frame's border and a
// *FrameError for bytes that are no frame.
func readFrame(r io.Reader) (frame, error) {
	var f frame
	var length [lengthBytes]byte
	if _, err := io.ReadFull(r, length[:]); err != nil {
		if errors.Is(err, io.ErrUnexpectedEOF) {
			return f, &FrameError{Reason: "truncated length", Err: err}
		}
		return f, err
	}
	size := binary.BigEndian.Uint32(length[:])
	if size > maximumFrame {
		return f, &FrameError{Reason: fmt.Sprintf("%d bytes are more than %d", size, maximumFrame)}
	}
	data := make([]byte, size)
	if _, err := io.ReadFull(r, data); err != nil {
		return f, &FrameError{Reason: "truncated body", Err: err}
	}
	if err := decode(data, &f); err != nil {
		return f, err
	}
	return f, nil
}

// decode decodes a payload. A panic of the decoder on hostile bytes becomes an
// error like any other.
func decode(data []byte, into any) (err error) {
	defer func() {
		if r := recover(); r != nil {
			err = &FrameError{Reason: fmt.Sprintf("undecodable: %v", r)}
		}
	}()
	if err := msgpack.Unmarshal(data, into); err != nil {
		return &FrameError{Reason: "undecodable", Err: err}
	}
	return nil
}

func encode(value any) ([]byte, error) {
	data, err := msgpack.Marshal(value)
	if err != nil {
		return nil, fmt.Errorf("peer: encode: %w", err)
	}
	return data, nil
}

func encodeMessage(m message.Message) ([]byte, error) {
	inner, err := encode(m)
	if err != nil {
		return nil, err
	}
	return encode(&envelope{Kind: m.MessageKind(), Message: inner})
}

func decodeMessage(data []byte) (message.Message, error) {
	var e envelope
	if err := decode(data, &e); err != nil {
		return nil, err
	}
	m := message.New(e.Kind)
	if m == nil {
		return nil, &FrameError{Reason: fmt.Sprintf("unknown message kind %q", e.Kind)}
	}
	if err := decode(e.Message, m); err != nil {
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
