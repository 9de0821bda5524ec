package wire_test

import (
	"bytes"
	"errors"
	"io"
	"testing"
	"testing/iotest"

	"coltsfootward/io/wire"
)

func TestReadBody(t *testing.T) {
	for _, size := range []int{0, 1, 16<<10 - 1, 16 << 10, 16<<10 + 1, 100 << 10} {
		want := bytes.Repeat([]byte{'x'}, size)
		got, err := wire.ReadBody(bytes.NewReader(want), 1<<20)
		if err != nil || !bytes.Equal(got, want) {
			t.Errorf("%d bytes: got %d bytes and %v, want all of them", size, len(got), err)
		}
		if got, err := wire.ReadBody(iotest.OneByteReader(bytes.NewReader(want)), 10); err != nil || len(got) != min(size, 10) {
			t.Errorf("%d bytes with a limit of 10: got %d bytes and %v", size, len(got), err)
		}
	}
}

// A caller disconnects while it sends the body of an order. If the part that arrived
// were taken for the complete body, a different order would be forwarded.
func TestReadBodyTruncated(t *testing.T) {
	for _, err := range []error{io.ErrClosedPipe, io.ErrUnexpectedEOF} {
		for _, size := range []int{0, 5, 20 << 10} {
			truncated := io.MultiReader(bytes.NewReader(make([]byte, size)), iotest.ErrReader(err))
			if _, got := wire.ReadBody(truncated, 1<<20); !errors.Is(got, err) {
				t.Errorf("%d bytes, then %v: got error %v", size, err, got)
			}
		}
	}
}
