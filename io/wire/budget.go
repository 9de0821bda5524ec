package wire

import "sync"

// ownerFactor is how many times the memory that is left an owner may hold. An owner that
// sends more than there is room for is thus held to two thirds of the budget, and each
// further one to two thirds of the remainder.
const ownerFactor = 2

// Budget limits the memory for bodies that a node holds. A body's bytes are counted before
// they are read, and for their owner: an organisation that sends large bodies leaves room
// for the others. Create it with NewBudget. It is safe for concurrent use.
type Budget struct {
	total int64

	mu     sync.Mutex
	used   int64
	owners map[string]int64
}

// NewBudget returns a budget of the given number of bytes.
func NewBudget(total int64) *Budget {
	return &Budget{total: total, owners: make(map[string]int64)}
}

// Reserve returns an empty reservation for an owner.
func (b *Budget) Reserve(owner string) *Reservation { return &Reservation{budget: b, owner: owner} }

// Used returns the number of bytes that are reserved.
func (b *Budget) Used() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used
}

// Held returns the number of bytes that are reserved for an owner.
func (b *Budget) Held(owner string) int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.owners[owner]
}

func (b *Budget) add(owner string, n int64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	free := b.total - b.used
	if n > free || b.owners[owner]+n > ownerFactor*free {
		return false
	}
	b.used += n
	b.owners[owner] += n
	return true
}

func (b *Budget) remove(owner string, n int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.used -= n
	b.owners[owner] -= n
	if b.owners[owner] == 0 {
		delete(b.owners, owner)
	}
}

// Reservation is the part of a Budget that one body takes. It is not safe for concurrent
// use. A nil Reservation has no limit.
type Reservation struct {
	budget *Budget
	owner  string
	bytes  int64
}

// Grow reserves n more bytes. It returns false, and reserves nothing, if the budget has no
// room for them.
func (r *Reservation) Grow(n int64) bool {
	if r == nil || n <= 0 {
		return true
	}
	if !r.budget.add(r.owner, n) {
		return false
	}
	r.bytes += n
	return true
}

// Release returns all bytes to the budget. The body must not be used any more.
func (r *Reservation) Release() {
	if r == nil || r.bytes == 0 {
		return
	}
	r.budget.remove(r.owner, r.bytes)
	r.bytes = 0
}
