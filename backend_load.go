package coltsfootward

// BackendLoad holds the figures that a backend server states about its load. A figure that
// the server did not state, or that could not be used, is absent. The zero value states
// nothing.
type BackendLoad struct {
	running, waiting, slots statedCount
	// slowdown is zero if it is absent.
	slowdown float64
}

// statedCount is a number that may be absent.
type statedCount struct {
	value  int
	stated bool
}

// WithRunning returns a copy that states the number of requests in service.
func (l BackendLoad) WithRunning(count int) BackendLoad {
	l.running = statedCount{value: count, stated: true}
	return l
}

// WithWaiting returns a copy that states the number of requests that wait at the server.
func (l BackendLoad) WithWaiting(count int) BackendLoad {
	l.waiting = statedCount{value: count, stated: true}
	return l
}

// WithSlots returns a copy that states the number of requests that the server handles at once.
func (l BackendLoad) WithSlots(count int) BackendLoad {
	l.slots = statedCount{value: count, stated: true}
	return l
}

// WithSlowdown returns a copy that states how many times as long as usual work takes at
// the server now. Zero states nothing.
func (l BackendLoad) WithSlowdown(factor float64) BackendLoad {
	l.slowdown = factor
	return l
}

// Running returns the number of requests in service, or false if it is absent.
func (l BackendLoad) Running() (int, bool) { return l.running.value, l.running.stated }

// Waiting returns the number of requests that wait at the server, or false if it is absent.
func (l BackendLoad) Waiting() (int, bool) { return l.waiting.value, l.waiting.stated }

// Slots returns the number of slots, or false if it is absent.
func (l BackendLoad) Slots() (int, bool) { return l.slots.value, l.slots.stated }

// Slowdown returns how many times as long as usual work takes at the server now, or false
// if it is absent.
func (l BackendLoad) Slowdown() (float64, bool) { return l.slowdown, l.slowdown > 0 }
