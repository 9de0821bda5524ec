package peer

import (
	"bufio"
	"bytes"
	"io"

	"coltsfootward/core/message"
)

// Limits that the tests go up to and beyond.
const (
	MaximumFrame   = maximumFrame
	MaximumStreams = maximumStreams
	WindowChunks   = windowChunks
)

// Frame is a frame in the tests' hands.
type Frame = frame

// Hello is a hello in the tests' hands.
type Hello = hello

// The kinds of frame that the tests send by hand.
const (
	FrameHello  = frameHello
	FrameCall   = frameCall
	FrameBody   = frameBody
	FrameCredit = frameCredit
	FrameEnd    = frameEnd
	FrameAnswer = frameAnswer
	FrameReset  = frameReset
)

// NewFrame returns a frame of any kind.
func NewFrame(kind string, stream uint32, payload []byte) Frame {
	return Frame{Kind: frameKind(kind), Stream: stream, Payload: payload}
}

// EncodeFrame returns a frame as it goes over the wire.
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

// Encode returns a payload.
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

// ProbeAll probes the clocks of those who have been heard since the last time.
func (t *Transport) ProbeAll() { t.probeAll() }

// FrameMessage and FramePing are further kinds of frame.
const (
	FrameMessage = frameMessage
	FramePing    = framePing
)
