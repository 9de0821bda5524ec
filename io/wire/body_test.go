package wire_test

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"testing"
	"testing/iotest"

	"coltsfootward/io/wire"
)

func TestReadBody(t *testing.T) {
	for _, size := range []int64{0, 1, 16<<10 - 1, 16 << 10, 16<<10 + 1, 144 << 10, 144<<10 + 1, 500 << 10} {
		want := bytes.Repeat([]byte{'x'}, int(size))
		for _, stated := range []int64{size, -1} {
			got, err := wire.ReadBody(iotest.HalfReader(bytes.NewReader(want)), stated, size, nil)
			if err != nil || !bytes.Equal(got.Bytes(), want) || got.Size() != size || got.Sum64() != wire.NewBody(want).Sum64() {
				t.Errorf("%d bytes stated as %d: got %d bytes and %v, want all of them", size, stated, got.Size(), err)
			}
			if read, err := io.ReadAll(got.Reader()); err != nil || !bytes.Equal(read, want) {
				t.Errorf("%d bytes stated as %d: the reader returned %d bytes and %v", size, stated, len(read), err)
			}
			if size == 0 {
				continue
			}
			if _, err := wire.ReadBody(bytes.NewReader(want), stated, size-1, nil); !errors.Is(err, wire.ErrBodyTooLarge) {
				t.Errorf("%d bytes stated as %d with a limit of %d: got %v, want ErrBodyTooLarge", size, stated, size-1, err)
			}
		}
	}
}

// A caller disconnects while it sends the body of an order. If the part that arrived
// were taken for the complete body, a different order would be forwarded.
func TestReadBodyTruncated(t *testing.T) {
	for _, err := range []error{io.ErrClosedPipe, io.ErrUnexpectedEOF} {
		for _, size := range []int{0, 5, 20 << 10, 200 << 10} {
			for _, stated := range []int64{-1, int64(size) + 1} {
				truncated := io.MultiReader(bytes.NewReader(make([]byte, size)), iotest.ErrReader(err))
				if _, got := wire.ReadBody(truncated, stated, 1<<20, nil); !errors.Is(got, err) {
					t.Errorf("%d bytes stated as %d, then %v: got error %v", size, stated, err, got)
				}
			}
		}
	}
}

// Guards against a body that takes memory before it was reserved: one without room must not
// be read, or not beyond what was reserved.
func TestReadBodyWithoutRoom(t *testing.T) {
	const size = 1 << 20
	for _, stated := range []int64{size, -1} {
		budget := wire.NewBudget(size / 2)
		reservation := budget.Reserve("farm")
		source := bytes.NewReader(make([]byte, size))
		if _, err := wire.ReadBody(source, stated, size, reservation); !errors.Is(err, wire.ErrNoRoom) {
			t.Errorf("size stated as %d: got %v, want ErrNoRoom", stated, err)
		}
		if read := size - int64(source.Len()); read > size/2 {
			t.Errorf("size stated as %d: %d bytes were read, want at most the budget of %d", stated, read, size/2)
		}
		reservation.Release()
		if used := budget.Used(); used != 0 {
			t.Errorf("size stated as %d: %d bytes are reserved after the release, want none", stated, used)
		}
	}
}

// Guards against an organisation with large bodies that leaves no memory for the others, and
// against a budget that does not serve a single body that it has room for.
func TestBudgetLeavesRoomForOthers(t *testing.T) {
	const total, large, small = 80 << 20, 14 << 20, 24 << 10
	budget := wire.NewBudget(total)
	held := 0
	for budget.Reserve("hot").Grow(large) {
		held++
	}
	if held < 3 {
		t.Errorf("%d large bodies of one organisation were taken, want at least 3", held)
	}
	for i := range 100 {
		if owner := fmt.Sprint("small-", i); !budget.Reserve(owner).Grow(small) {
			t.Fatalf("%s was refused beside %d bytes of another organisation", owner, budget.Held("hot"))
		}
	}
	if !wire.NewBudget(total).Reserve("farm").Grow(64 << 20) {
		t.Error("a body of 64 MiB was refused though nothing else is held")
	}
}

func ExampleBudget() {
	budget := wire.NewBudget(30)
	hot, other := budget.Reserve("hot"), budget.Reserve("other")
	fmt.Println(hot.Grow(20), hot.Grow(10), other.Grow(10))
	hot.Release()
	fmt.Println(budget.Used())
	// Output:
	// true false true
	// 10
}
