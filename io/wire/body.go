package wire

import (
	"errors"
	"io"
	"sync"
)

// firstRead is how many bytes of a body are asked for at first. Most requests
// have no body, and the others' mostly fit.
const firstRead = 16 << 10

// firstBuffers keeps buffers for reuse.
var firstBuffers = sync.Pool{New: func() any { return new([firstRead]byte) }}

// ReadBody reads a body of at most that many bytes to its end, and nothing beyond
// them. A body that is empty costs no memory.
func ReadBody(r io.Reader, most int64) ([]byte, error) {
	pooled := firstBuffers.Get().(*[firstRead]byte)
	defer firstBuffers.Put(pooled)
	limited := io.LimitReader(r, most)
	n := 0
	for n < len(pooled) {
		read, err := limited.Read(pooled[n:])
		n += read
		// A body that breaks off may end with io.ErrUnexpectedEOF; only io.EOF
		// says that it is whole.
		if errors.Is(err, io.EOF) {
			return append([]byte(nil), pooled[:n]...), nil
		}
		if err != nil {
			return nil, err
		}
	}
	rest, err := io.ReadAll(limited)
	return append(append(make([]byte, 0, n+len(rest)), pooled[:n]...), rest...), err
}
