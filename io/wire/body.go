package wire

import (
	"errors"
	"io"
	"sync"
)

// pooledSize is the size in bytes of the pooled buffer that a body is first read into.
// Most requests have no body, and most other bodies fit.
const pooledSize = 16 << 10

// bufferPool holds buffers for reuse.
var bufferPool = sync.Pool{New: func() any { return new([pooledSize]byte) }}

// ReadBody reads a body up to its end, but at most limit bytes. It returns no error for
// a longer body, so a caller that wants to detect one passes a limit one byte above
// the maximum. An empty body allocates no memory.
func ReadBody(r io.Reader, limit int64) ([]byte, error) {
	pooled := bufferPool.Get().(*[pooledSize]byte)
	defer bufferPool.Put(pooled)
	limited := io.LimitReader(r, limit)
	n := 0
	for n < len(pooled) {
		read, err := limited.Read(pooled[n:])
		n += read
		// A truncated body may end with io.ErrUnexpectedEOF; only io.EOF means that the
		// body is complete.
		if errors.Is(err, io.EOF) {
			return append([]byte(nil), pooled[:n]...), nil
		}
		if err != nil {
			return nil, err
		}
	}
	remainder, err := io.ReadAll(limited)
	return append(append(make([]byte, 0, n+len(remainder)), pooled[:n]...), remainder...), err
}
