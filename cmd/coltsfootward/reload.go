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

// reloadInterval is the time between two looks at the settings file, which may
// change without a signal.
const reloadInterval = 5 * time.Second

// settingsWatch reads the settings file anew on SIGHUP and when it has changed.
type settingsWatch struct {
	file   string
	daemon *daemon.Daemon
	hangup chan os.Signal
	done   chan struct{}
	wait   sync.WaitGroup
	last   []byte
}

// watchSettings begins to watch. It takes SIGHUP from the first moment: left to
// itself, the signal ends the process and cuts off all that it serves.
func watchSettings(file string, d *daemon.Daemon) *settingsWatch {
	w := &settingsWatch{file: file, daemon: d, hangup: make(chan os.Signal, 1), done: make(chan struct{})}
	signal.Notify(w.hangup, syscall.SIGHUP)
	w.last, _ = os.ReadFile(file) // it was read a moment ago; a failure shows at the next look
	w.wait.Go(w.run)
	return w
}

func (w *settingsWatch) close() {
	signal.Stop(w.hangup)
	close(w.done)
	w.wait.Wait()
}

func (w *settingsWatch) run() {
	ticker := time.NewTicker(reloadInterval)
	defer ticker.Stop()
	for {
		select {
		case <-w.hangup:
			w.look(true)
		case <-ticker.C:
			w.look(false)
		case <-w.done:
			return
		}
	}
}

// look reads the file; asked says that somebody wants to hear how that went.
func (w *settingsWatch) look(asked bool) {
	data, err := os.ReadFile(w.file)
	if err == nil && !asked && bytes.Equal(data, w.last) {
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
