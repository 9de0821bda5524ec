package daemon

import (
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
}

func newReporter(s settings.Settings, logger *zap.Logger) *reporter {
	return &reporter{logger: logger.With(zap.String("node", s.Instance.ID)), timeline: record.NewRing(s.Log.Timeline)}
}

// event reports one event with one field.
func (r *reporter) event(code record.Code, name, value string) {
	r.report(record.New(code, time.Now(), record.Field{Name: name, Value: value}))
}

func (r *reporter) report(found record.Record) {
	r.timeline.Add(found)
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
		r.timeline.Heard(stamper.SentAt(), time.Now())
	}
}
