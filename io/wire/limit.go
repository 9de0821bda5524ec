package wire

import (
	"errors"
	"io"
)

// ErrTooLarge is returned by LimitedReader.Read beyond its limit.
var ErrTooLarge = errors.New("wire: header larger than allowed: send a smaller one")

// LimitedReader bounds how much is read from a connection while a header is read.
// The zero value with a Source has no limit. It is not safe for concurrent use.
type LimitedReader struct {
	Source    io.Reader
	remaining int64
	bounded   bool
}

// Bound has reads fail once more than n bytes were read.
func (r *LimitedReader) Bound(n int64) {
	r.remaining = n
	r.bounded = true
}

// Unbound ends the limit.
func (r *LimitedReader) Unbound() { r.bounded = false }

// Read implements io.Reader.
func (r *LimitedReader) Read(p []byte) (int, error) {
	if !r.bounded {
		return r.Source.Read(p)
	}
	if r.remaining <= 0 {
		return 0, ErrTooLarge
	}
	n, err := r.Source.Read(p[:min(int64(len(p)), r.remaining)])
	r.remaining -= int64(n)
	return n, err
}
