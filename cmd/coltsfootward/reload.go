package main

import (
	"bytes"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"

	"coltsfootward/cmd/daemon"
	"coltsfootward/cmd/settings"
)

// reloadInterval is the time between two checks of the settings file for changes, since
// the file may change without a signal.
const reloadInterval = 5 * time.Second

// settingsWatcher reloads the settings file on SIGHUP and when its content has changed.
type settingsWatcher struct {
	file   string
	daemon *daemon.Daemon
	hangup chan os.Signal
	done   chan struct{}
	wait   sync.WaitGroup
	last   []byte
}

// watchSettings starts watching. It handles SIGHUP before the node starts, because by
// default the signal terminates the process and aborts all requests.
func watchSettings(file string, d *daemon.Daemon) *settingsWatcher {
	w := &settingsWatcher{file: file, daemon: d, hangup: make(chan os.Signal, 1), done: make(chan struct{})}
	signal.Notify(w.hangup, syscall.SIGHUP)
	w.last, _ = os.ReadFile(file) // the file was read just before; the next check reports an error
	w.wait.Go(w.run)
	return w
}

func (w *settingsWatcher) close() {
	signal.Stop(w.hangup)
	close(w.done)
	w.wait.Wait()
}

func (w *settingsWatcher) run() {
	ticker := time.NewTicker(reloadInterval)
	defer ticker.Stop()
	for {
		select {
		case <-w.hangup:
			w.check(true)
		case <-ticker.C:
			w.check(false)
		case <-w.done:
			return
		}
	}
}

// check reloads the file if its content has changed. If forced is set, it also reloads
// an unchanged file, so that every SIGHUP is followed by a log record of the outcome.
func (w *settingsWatcher) check(forced bool) {
	data, err := os.ReadFile(w.file)
	if err == nil && !forced && bytes.Equal(data, w.last) {
		return
	}
	if err != nil {
		w.daemon.SettingsFailed(err)
		return
	}
	w.last = data
	s, err := settings.Parse(w.file, data)
	if err != nil {
		w.daemon.SettingsFailed(err)
		return
	}
	w.daemon.Reload(s)
}
