// Package platform is a stand-in for the platform: a transactional table and an object
// store in memory, served over HTTP, that can simulate failures.
package platform

import (
	"context"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"coltsfootward"
)

// Failure configures the failures that the platform simulates. The zero value means
// none.
type Failure struct {
	// Outage makes every operation fail without a response and without an effect.
	Outage bool `json:"outage"`
	// LoseResponses lets operations take effect and then drops their responses.
	LoseResponses bool `json:"lose_answers"`
	// LoseWriteResponses does the same for writes only.
	LoseWriteResponses bool `json:"lose_write_answers"`
	// Delay is added to every operation; in JSON it is given in nanoseconds.
	Delay time.Duration `json:"delay"`
}

// Platform keeps rows and objects in memory. Create it with New. It implements
// coltsfootward.Table and coltsfootward.Objects and is safe for concurrent use.
type Platform struct {
	mu      sync.Mutex
	rows    map[string]coltsfootward.Row
	objects map[string][]byte
	version uint64
	failure Failure
	reads   uint64
	writes  uint64
}

// New returns an empty platform without failures.
func New() *Platform {
	return &Platform{rows: make(map[string]coltsfootward.Row), objects: make(map[string][]byte)}
}

// SetFailure replaces the simulated failures.
func (p *Platform) SetFailure(f Failure) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.failure = f
}

// Counts returns the number of reads, including scans, and of writes that took effect.
func (p *Platform) Counts() (reads, writes uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.reads, p.writes
}

// operate runs an operation subject to the simulated failures.
func (p *Platform) operate(ctx context.Context, operation func() error) error {
	p.mu.Lock()
	failure := p.failure
	p.mu.Unlock()
	if failure.Delay > 0 {
		select {
		case <-time.After(failure.Delay):
		case <-ctx.Done():
			return coltsfootward.ErrUnavailable
		}
	}
	if failure.Outage {
		return coltsfootward.ErrUnavailable
	}
	p.mu.Lock()
	err := operation()
	p.mu.Unlock()
	if failure.LoseResponses {
		return coltsfootward.ErrUnavailable
	}
	return err
}

// Read implements coltsfootward.Table.
func (p *Platform) Read(ctx context.Context, key string) (coltsfootward.Row, error) {
	var row coltsfootward.Row
	err := p.operate(ctx, func() error {
		p.reads++
		row = p.rows[key]
		row.Key = key
		return nil
	})
	return row, err
}

// Scan implements coltsfootward.Table.
func (p *Platform) Scan(ctx context.Context, prefix, after string, limit int) ([]coltsfootward.Row, error) {
	var rows []coltsfootward.Row
	err := p.operate(ctx, func() error {
		p.reads++
		for _, key := range slices.Sorted(maps.Keys(p.rows)) {
			if strings.HasPrefix(key, prefix) && key > after && len(rows) < limit {
				rows = append(rows, p.rows[key])
			}
		}
		return nil
	})
	return rows, err
}

// Transact implements coltsfootward.Table.
func (p *Platform) Transact(ctx context.Context, t coltsfootward.Transaction) error {
	err := p.operate(ctx, func() error {
		for _, c := range t.Conditions {
			if p.rows[c.Key].Version != c.Version {
				return coltsfootward.ErrConflict
			}
		}
		p.writes++
		for _, w := range t.Writes {
			p.write(w)
		}
		return nil
	})
	if p.losesWriteResponses() {
		return coltsfootward.ErrUnavailable
	}
	return err
}

func (p *Platform) losesWriteResponses() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.failure.LoseWriteResponses
}

func (p *Platform) write(w coltsfootward.Write) {
	if w.Delete {
		delete(p.rows, w.Key)
		return
	}
	p.version++
	p.rows[w.Key] = coltsfootward.Row{Key: w.Key, Value: slices.Clone(w.Value), Version: p.version}
}

// Get implements coltsfootward.Objects.
func (p *Platform) Get(ctx context.Context, name string) ([]byte, error) {
	var data []byte
	err := p.operate(ctx, func() error {
		p.reads++
		stored, ok := p.objects[name]
		if !ok {
			return coltsfootward.ErrNotFound
		}
		data = slices.Clone(stored)
		return nil
	})
	return data, err
}

// Put implements coltsfootward.Objects.
func (p *Platform) Put(ctx context.Context, name string, data []byte) error {
	err := p.operate(ctx, func() error {
		p.writes++
		p.objects[name] = slices.Clone(data)
		return nil
	})
	if p.losesWriteResponses() {
		return coltsfootward.ErrUnavailable
	}
	return err
}
