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

// reporter writes records to the log and the time line. It is safe for
// concurrent use.
type reporter struct {
	logger   *zap.Logger
	timeline *record.Ring

	mu sync.Mutex
	// second is the second that logged and dropped count in, by code.
	second  time.Time
	logged  map[record.Code]int
	dropped map[record.Code]int
}

// linesPerSecond is how many lines of one kind are logged each second. Under
// overload a node refuses hundreds of requests a second; at 20 µs a line, all of
// them would cost more than the refusals do. The time line and the metrics have
// all.
const linesPerSecond = 20

func newReporter(s settings.Settings, logger *zap.Logger) *reporter {
	return &reporter{logger: logger.With(zap.String("node", s.Instance.ID), zap.String("domain", s.Instance.Domain)), timeline: record.NewRing(s.Log.Timeline)}
}

// event reports one event with one field.
func (r *reporter) event(code record.Code, name, value string) {
	r.report(record.New(code, time.Now(), record.Field{Name: name, Value: value}))
}

func (r *reporter) report(found record.Record) {
	r.timeline.Add(found)
	dropped, ok := r.admit(found.Code)
	for code, count := range dropped {
		r.log(record.New(record.RecordsDropped, time.Now(),
			record.Field{Name: "of", Value: strconv.Itoa(int(code))}, record.Field{Name: "count", Value: strconv.Itoa(count)}))
	}
	if ok {
		r.log(found)
	}
}

// admit reports whether one more line of that kind is logged in this second, and
// how many were left out in the last one, if that has just ended.
func (r *reporter) admit(code record.Code) (map[record.Code]int, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var dropped map[record.Code]int
	if now := time.Now(); now.Sub(r.second) >= time.Second || r.logged == nil {
		dropped = r.dropped
		r.second, r.logged, r.dropped = now, make(map[record.Code]int), make(map[record.Code]int)
	}
	if r.logged[code] >= linesPerSecond {
		r.dropped[code]++
		return dropped, false
	}
	r.logged[code]++
	return dropped, true
}

func (r *reporter) log(found record.Record) {
	fields := []zap.Field{zap.Int("code", int(found.Code))}
	for _, f := range found.Fields {
		fields = append(fields, zap.String(f.Name, f.Value))
	}
	write := r.logger.Info
	switch record.Lookup(found.Code).Level {
	case "debug":
		write = r.logger.Debug
	case "warn":
		write = r.logger.Warn
	case "error":
		write = r.logger.Error
	}
	write(found.Name, fields...)
}

// stamp sets the hybrid clock of a message that carries one.
func (r *reporter) stamp(m message.Message) {
	if stamper, ok := m.(message.Stamper); ok {
		stamper.SetStamp(r.timeline.Stamp(time.Now()))
	}
}

// heard takes in the hybrid clock of a peer's message.
func (r *reporter) heard(m message.Message) {
	if stamper, ok := m.(message.Stamper); ok {
		r.timeline.Observe(stamper.SentAt(), time.Now())
	}
}
