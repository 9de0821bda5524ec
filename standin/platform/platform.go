// Package platform is a stand-in for the platform: a transactional table and an
// object store in memory, served over HTTP, with switches for its failures.
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

// Failure says how the platform misbehaves. The zero value means not at all.
type Failure struct {
	// Outage makes every operation go unanswered and have no effect.
	Outage bool `json:"outage"`
	// LoseAnswers lets operations take effect and then go unanswered.
	LoseAnswers bool `json:"lose_answers"`
	// LoseWriteAnswers does so for writes alone; reads are answered.
	LoseWriteAnswers bool `json:"lose_write_answers"`
	// Delay is added to every operation, in nanoseconds.
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

// New returns an empty platform that works.
func New() *Platform {
	return &Platform{rows: make(map[string]coltsfootward.Row), objects: make(map[string][]byte)}
}

// Fail switches failures on or off.
func (p *Platform) Fail(f Failure) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.failure = f
}

// Counts returns how many reads (scans included) and writes took effect.
func (p *Platform) Counts() (reads, writes uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.reads, p.writes
}

// operate runs one operation under the failure in force.
func (p *Platform) operate(ctx context.Context, run func() error) error {
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
	err := run()
	p.mu.Unlock()
	if failure.LoseAnswers {
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
	var found []coltsfootward.Row
	err := p.operate(ctx, func() error {
		p.reads++
		for _, key := range slices.Sorted(maps.Keys(p.rows)) {
			if strings.HasPrefix(key, prefix) && key > after && len(found) < limit {
				found = append(found, p.rows[key])
			}
		}
		return nil
	})
	return found, err
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
	if p.losesWriteAnswers() {
		return coltsfootward.ErrUnavailable
	}
	return err
}

func (p *Platform) losesWriteAnswers() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.failure.LoseWriteAnswers
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
	if p.losesWriteAnswers() {
		return coltsfootward.ErrUnavailable
	}
	return err
}
