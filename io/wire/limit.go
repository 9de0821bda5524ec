package wire

import (
	"errors"
	"io"
)

// ErrTooLarge is returned by LimitedReader.Read once the limit is reached.
var ErrTooLarge = errors.New("wire: header larger than allowed: send a smaller one")

// LimitedReader limits how many bytes are read from a connection while a header is
// read. It has no limit until SetLimit is called. It is not safe for concurrent use.
type LimitedReader struct {
	Source    io.Reader
	remaining int64
	limited   bool
}

// SetLimit limits the bytes that are read from now on to n. Further reads fail with
// ErrTooLarge.
func (r *LimitedReader) SetLimit(n int64) {
	r.remaining = n
	r.limited = true
}

// RemoveLimit removes the limit.
func (r *LimitedReader) RemoveLimit() { r.limited = false }

// Read implements io.Reader.
func (r *LimitedReader) Read(p []byte) (int, error) {
	if !r.limited {
		return r.Source.Read(p)
	}
	if r.remaining <= 0 {
		return 0, ErrTooLarge
	}
	n, err := r.Source.Read(p[:min(int64(len(p)), r.remaining)])
	r.remaining -= int64(n)
	return n, err
}
