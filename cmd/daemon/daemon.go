// Package daemon wires the components of one node together with fx. It has no global
// state, so several nodes may run in one process.
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
	// startTimeout bounds the duration of a start, which only opens listeners.
	startTimeout = 30 * time.Second
	// StopTimeout bounds the duration of a graceful stop. A download may run for
	// minutes, and a planned stop aborts no request.
	StopTimeout = 10 * time.Minute
)

// Daemon is one node in this process. Create it with New. It is safe for
// concurrent use.
type Daemon struct {
	app        *fx.App
	components *components
	settings   settings.Settings
	level      zap.AtomicLevel
}

// New returns a node that has not been started.
func New(s settings.Settings, logger *zap.Logger) *Daemon {
	d := &Daemon{settings: s, level: zap.NewAtomicLevelAt(levelOf(s.Log.Level))}
	logger = logger.WithOptions(zap.IncreaseLevel(d.level))
	d.app = fx.New(
		fx.Supply(s, logger),
		fx.WithLogger(func() fxevent.Logger { return fxevent.NopLogger }),
		fx.StartTimeout(startTimeout),
		fx.StopTimeout(StopTimeout),
		fx.Provide(newComponents),
		fx.Populate(&d.components),
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

// Signals returns a channel that receives SIGTERM and SIGINT.
func (d *Daemon) Signals() <-chan os.Signal { return d.app.Done() }

// Drained returns a channel that is closed once the node has finished all its work
// after Stop or an operator's drain, so that the process may exit.
func (d *Daemon) Drained() <-chan struct{} { return d.components.drained }

// Stop stops the node gracefully: the node announces the stop to its peers, accepts
// no new work, finishes the running requests and closes its listeners. The context
// bounds the duration.
func (d *Daemon) Stop(ctx context.Context) error {
	if err := d.app.Stop(ctx); err != nil {
		return fmt.Errorf("daemon: stop: %w", err)
	}
	return nil
}

// Reload applies new settings. Only the log level can change while the node runs. The
// log record of the reload states whether other settings differ and need a restart.
func (d *Daemon) Reload(s settings.Settings) {
	needsRestart := "no"
	present := d.settings
	present.Log.Level = s.Log.Level
	if !reflect.DeepEqual(present, s) {
		needsRestart = "yes"
	}
	d.level.SetLevel(levelOf(s.Log.Level))
	d.report(record.New(record.SettingsRead, time.Now(),
		record.Field{Name: "level", Value: s.Log.Level}, record.Field{Name: "waits_for_start", Value: needsRestart}))
}

// SettingsFailed logs that the settings could not be read. The present ones stay in
// force.
func (d *Daemon) SettingsFailed(err error) {
	d.report(record.New(record.SettingsRefused, time.Now(), record.Field{Name: "error", Value: err.Error()}))
}

func (d *Daemon) report(r record.Record) {
	if d.components != nil {
		d.components.reporter.report(r)
	}
}

func levelOf(text string) zapcore.Level {
	level, err := zapcore.ParseLevel(text)
	if err != nil {
		return zapcore.InfoLevel // unreachable: the settings are checked for valid levels
	}
	return level
}

// Addresses returns the addresses that the node listens on. A port that is 0 in the
// settings is replaced by the one that the operating system chose once Start has
// returned.
func (d *Daemon) Addresses() settings.Listen { return d.components.settings.Listen }
