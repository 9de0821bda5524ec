package wire

import (
	"bytes"
	"errors"
	"io"
	"sync"

	"github.com/cespare/xxhash/v2"
)

const (
	// pooledSize is the size in bytes of the pooled buffer that a body is first read
	// into. Most requests have no body, and most other bodies fit.
	pooledSize = 16 << 10
	// pieceSize is the size in bytes of the further pieces of a body of unknown size.
	pieceSize = 128 << 10
)

var (
	// ErrNoRoom is returned by ReadBody if the reservation can't grow by the body's next
	// bytes.
	ErrNoRoom = errors.New("wire: no memory left for the body: send it again later")
	// ErrBodyTooLarge is returned by ReadBody for a body above the limit.
	ErrBodyTooLarge = errors.New("wire: body larger than allowed: send a smaller one")
)

// bufferPool holds buffers for reuse.
var bufferPool = sync.Pool{New: func() any { return new([pooledSize]byte) }}

// Body is a complete body in memory. The zero value is empty. It is immutable.
type Body struct {
	pieces [][]byte
	size   int64
}

// NewBody returns a body of the given bytes, which must not be changed any more.
func NewBody(data []byte) Body {
	if len(data) == 0 {
		return Body{}
	}
	return Body{pieces: [][]byte{data}, size: int64(len(data))}
}

// Size returns the number of bytes.
func (b Body) Size() int64 { return b.size }

// Reader returns a reader of the whole body.
func (b Body) Reader() io.Reader {
	readers := make([]io.Reader, len(b.pieces))
	for i, piece := range b.pieces {
		readers[i] = bytes.NewReader(piece)
	}
	return io.MultiReader(readers...)
}

// Bytes returns the body in one piece. It copies a body that was read without knowing its
// size.
func (b Body) Bytes() []byte {
	if len(b.pieces) == 1 {
		return b.pieces[0]
	}
	return bytes.Join(b.pieces, nil)
}

// Sum64 returns a hash of the body.
func (b Body) Sum64() uint64 {
	hash := xxhash.New()
	for _, piece := range b.pieces {
		_, _ = hash.Write(piece) // never fails
	}
	return hash.Sum64()
}

// ReadBody reads a body up to its end. size is the number of bytes that it has, or -1 if
// that is not known. All bytes are reserved before they are read, beyond those of a pooled
// buffer. A body above the limit returns ErrBodyTooLarge, and one for which there is no
// room ErrNoRoom; neither is read to its end. An empty body allocates no memory.
func ReadBody(r io.Reader, size, limit int64, reservation *Reservation) (Body, error) {
	switch {
	case size == 0:
		return Body{}, nil
	case size > limit:
		return Body{}, ErrBodyTooLarge
	case size > 0:
		return readSized(r, size, reservation)
	default:
		return readUnsized(r, limit, reservation)
	}
}

func readSized(r io.Reader, size int64, reservation *Reservation) (Body, error) {
	if !reservation.Grow(size) {
		return Body{}, ErrNoRoom
	}
	data := make([]byte, size)
	if _, err := io.ReadFull(r, data); err != nil {
		return Body{}, unexpectedEnd(err)
	}
	return NewBody(data), nil
}

// unexpectedEnd makes sure that a body that ends before its size is not taken for an
// empty one.
func unexpectedEnd(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

func readUnsized(r io.Reader, limit int64, reservation *Reservation) (Body, error) {
	pooled := bufferPool.Get().(*[pooledSize]byte)
	defer bufferPool.Put(pooled)
	n, err := readPiece(r, pooled[:])
	if int64(n) > limit {
		return Body{}, ErrBodyTooLarge
	}
	if err != nil && !errors.Is(err, io.EOF) {
		return Body{}, err
	}
	if !reservation.Grow(int64(n)) {
		return Body{}, ErrNoRoom
	}
	body := NewBody(bytes.Clone(pooled[:n]))
	for err == nil {
		if !reservation.Grow(pieceSize) {
			return Body{}, ErrNoRoom
		}
		piece := make([]byte, pieceSize)
		n, err = readPiece(r, piece)
		if err != nil && !errors.Is(err, io.EOF) {
			return Body{}, err
		}
		if body.size += int64(n); body.size > limit {
			return Body{}, ErrBodyTooLarge
		}
		if n > 0 {
			body.pieces = append(body.pieces, piece[:n])
		}
	}
	return body, nil
}

// readPiece fills the buffer, or reads up to the body's end and returns io.EOF. Other
// errors mean that the body is truncated, io.ErrUnexpectedEOF included.
func readPiece(r io.Reader, buffer []byte) (int, error) {
	n := 0
	for n < len(buffer) {
		read, err := r.Read(buffer[n:])
		n += read
		if err != nil {
			return n, err
		}
	}
	return n, nil
}
