// Package daemon wires one node together with fx. Several nodes may run in one
// process: nothing in it is global.
package daemon

import (
	"context"
	"fmt"
	"os"
	"reflect"
	"time"

	"coltsfootward/cmd/settings"
	"coltsfootward/core/record"

	"go.uber.org/fx"
	"go.uber.org/fx/fxevent"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

const (
	// startTimeout bounds how long a start may take; it only opens listeners.
	startTimeout = 30 * time.Second
	// StopTimeout bounds how long a graceful stop may take. A download may run
	// for minutes, and a planned stop cuts off no request.
	StopTimeout = 10 * time.Minute
)

// Daemon is one node in this process. Create it with New. It is safe for
// concurrent use.
type Daemon struct {
	app      *fx.App
	parts    *parts
	settings settings.Settings
	level    zap.AtomicLevel
}

// New returns a node that does not run yet.
func New(s settings.Settings, logger *zap.Logger) *Daemon {
	d := &Daemon{settings: s, level: zap.NewAtomicLevelAt(levelOf(s.Log.Level))}
	logger = logger.WithOptions(zap.IncreaseLevel(d.level))
	d.app = fx.New(
		fx.Supply(s, logger),
		fx.WithLogger(func() fxevent.Logger { return fxevent.NopLogger }),
		fx.StartTimeout(startTimeout),
		fx.StopTimeout(StopTimeout),
		fx.Provide(newParts),
		fx.Populate(&d.parts),
	)
	return d
}

// Start opens the node's listeners and runs it.
func (d *Daemon) Start(ctx context.Context) error {
	if err := d.app.Start(ctx); err != nil {
		return fmt.Errorf("daemon: start: %w", err)
	}
	return nil
}

// Signals returns a channel that brings SIGTERM or SIGINT.
func (d *Daemon) Signals() <-chan os.Signal { return d.app.Done() }

// Drained returns a channel that is closed once the node has left, after Stop
// or after an operator's drain: nothing is left to do, and it may exit.
func (d *Daemon) Drained() <-chan struct{} { return d.parts.drained }

// Stop leaves gracefully: the node announces it, takes no new work, finishes
// what runs and closes its faces. The context bounds the wait.
func (d *Daemon) Stop(ctx context.Context) error {
	if err := d.app.Stop(ctx); err != nil {
		return fmt.Errorf("daemon: stop: %w", err)
	}
	return nil
}

// Reload takes new settings in. Only the log level can change while the node
// runs; it says which other settings wait for the next start.
func (d *Daemon) Reload(s settings.Settings) {
	waiting := "no"
	present := d.settings
	present.Log.Level = s.Log.Level
	if !reflect.DeepEqual(present, s) {
		waiting = "yes"
	}
	d.level.SetLevel(levelOf(s.Log.Level))
	d.report(record.New(record.SettingsRead, time.Now(),
		record.Field{Name: "level", Value: s.Log.Level}, record.Field{Name: "waits_for_start", Value: waiting}))
}

// SettingsFailed reports settings that can't be read; those in force stay.
func (d *Daemon) SettingsFailed(err error) {
	d.report(record.New(record.SettingsRefused, time.Now(), record.Field{Name: "error", Value: err.Error()}))
}

func (d *Daemon) report(r record.Record) {
	if d.parts != nil {
		d.parts.reporter.report(r)
	}
}

func levelOf(text string) zapcore.Level {
	level, err := zapcore.ParseLevel(text)
	if err != nil {
		return zapcore.InfoLevel // settings allow known levels only
	}
	return level
}

// Addresses returns where the node listens. Ports that the settings left to
// the machine are known from Start on.
func (d *Daemon) Addresses() settings.Listen { return d.parts.settings.Listen }
