package daemon

import (
	"strconv"
	"sync"
	"time"

	"coltsfootward/cmd/settings"
	"coltsfootward/core/message"
	"coltsfootward/core/record"

	"go.uber.org/zap"
)

// reporter writes records to the log and the timeline. It is safe for concurrent use.
type reporter struct {
	logger   *zap.Logger
	timeline *record.Ring

	mu sync.Mutex
	// windowStart is the start of the one-second window in which logged and dropped
	// count records by code.
	windowStart time.Time
	logged      map[record.Code]int
	dropped     map[record.Code]int
}

// maximumLinesPerSecond bounds the lines that are logged per second for one code. Under
// overload a node refuses hundreds of requests a second. A line costs 20 µs, so logging
// all of them would cost more than the refusals themselves. The timeline and the metrics
// include all of them.
const maximumLinesPerSecond = 20

func newReporter(s settings.Settings, logger *zap.Logger) *reporter {
	return &reporter{logger: logger.With(zap.String("node", s.Instance.ID), zap.String("domain", s.Instance.Domain)), timeline: record.NewRing(s.Log.Timeline)}
}

// event reports a record with one field.
func (r *reporter) event(code record.Code, name, value string) {
	r.report(record.New(code, time.Now(), record.Field{Name: name, Value: value}))
}

func (r *reporter) report(rec record.Record) {
	r.timeline.Add(rec)
	dropped, ok := r.admit(rec.Code)
	for code, count := range dropped {
		r.log(record.New(record.RecordsDropped, time.Now(),
			record.Field{Name: "of", Value: strconv.Itoa(int(code))}, record.Field{Name: "count", Value: strconv.Itoa(count)}))
	}
	if ok {
		r.log(rec)
	}
}

// admit reports whether another line with this code may be logged in the current
// second. If a new second starts, it also returns how many lines were dropped in the
// last one, by code.
func (r *reporter) admit(code record.Code) (map[record.Code]int, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var dropped map[record.Code]int
	if now := time.Now(); now.Sub(r.windowStart) >= time.Second || r.logged == nil {
		dropped = r.dropped
		r.windowStart, r.logged, r.dropped = now, make(map[record.Code]int), make(map[record.Code]int)
	}
	if r.logged[code] >= maximumLinesPerSecond {
		r.dropped[code]++
		return dropped, false
	}
	r.logged[code]++
	return dropped, true
}

func (r *reporter) log(rec record.Record) {
	fields := []zap.Field{zap.Int("code", int(rec.Code))}
	for _, f := range rec.Fields {
		fields = append(fields, zap.String(f.Name, f.Value))
	}
	write := r.logger.Info
	switch record.Lookup(rec.Code).Level {
	case "debug":
		write = r.logger.Debug
	case "warn":
		write = r.logger.Warn
	case "error":
		write = r.logger.Error
	}
	write(rec.Name, fields...)
}

// stamp sets the hybrid logical clock's time in a message that carries one.
func (r *reporter) stamp(m message.Message) {
	if stamper, ok := m.(message.Stamper); ok {
		stamper.SetStamp(r.timeline.Stamp(time.Now()))
	}
}

// observeClock updates the hybrid logical clock from a peer's message that carries one.
func (r *reporter) observeClock(m message.Message) {
	if stamper, ok := m.(message.Stamper); ok {
		r.timeline.Observe(stamper.SentAt(), time.Now())
	}
}
