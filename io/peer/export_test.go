package peer

import (
	"bufio"
	"bytes"
	"io"

	"coltsfootward/core/message"
)

// Limits that the tests reach and exceed.
const (
	MaximumFrameSize = maximumFrameSize
	MaximumStreams   = maximumStreams
	WindowChunks     = windowChunks
)

// Frame is exported for tests.
type Frame = frame

// Hello is exported for tests.
type Hello = hello

// The kinds of frames that the tests send themselves or expect.
const (
	FrameHello  = frameHello
	FrameCall   = frameCall
	FrameBody   = frameBody
	FrameCredit = frameCredit
	FrameEnd    = frameEnd
	FrameAnswer = frameAnswer
	FrameReset  = frameReset
)

// NewFrame returns a frame of the given kind, which may be an unknown one.
func NewFrame(kind string, stream uint32, payload []byte) Frame {
	return Frame{Kind: frameKind(kind), Stream: stream, Payload: payload}
}

// EncodeFrame returns the encoding of a frame on the wire.
func EncodeFrame(f Frame) []byte {
	var buffer bytes.Buffer
	w := bufio.NewWriter(&buffer)
	if err := newFrameWriter(w).write(f); err != nil {
		panic(err)
	}
	if err := w.Flush(); err != nil {
		panic(err)
	}
	return buffer.Bytes()
}

// Encode returns the encoding of a payload.
func Encode(value any) []byte {
	data, err := encode(value)
	if err != nil {
		panic(err)
	}
	return data
}

// ReadFrame reads a frame.
func ReadFrame(r io.Reader) (Frame, error) { return readFrame(r) }

// ReadHello reads a hello.
func ReadHello(r io.Reader) (Hello, error) { return readHello(r) }

// DecodeMessage decodes a message's payload.
func DecodeMessage(data []byte) (message.Message, error) { return decodeMessage(data) }

// EncodeMessage encodes a message's payload.
func EncodeMessage(m message.Message) ([]byte, error) { return encodeMessage(m) }

// Decode decodes a payload.
func Decode(data []byte, into any) error { return decode(data, into) }

// ProbeActivePeers probes the clocks of the peers that have sent a call or message since
// the last probe.
func (t *Transport) ProbeActivePeers() { t.probeActivePeers() }

// FrameMessage and FramePing are further kinds of frames.
const (
	FrameMessage = frameMessage
	FramePing    = framePing
)
