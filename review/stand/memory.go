//go:build review

package stand

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// MemoryLimit is memory_mb of the small sites' machines.
	MemoryLimit = 284 << 20
	// memoryInterval is the time between two looks at a process's memory.
	memoryInterval = 10 * time.Millisecond
	// restartDelay is the time after which a process that ended is started again.
	restartDelay = 300 * time.Millisecond
)

// MemoryWatch kills node processes that exceed MemoryLimit and starts them again, as the
// platform does.
type MemoryWatch struct {
	mu    sync.Mutex
	ends  map[string]int
	peaks map[string]int64
	done  chan struct{}
	wait  sync.WaitGroup
}

// WatchMemory watches the nodes of a fleet until Close.
func WatchMemory(f *Fleet) *MemoryWatch {
	w := &MemoryWatch{ends: make(map[string]int), peaks: make(map[string]int64), done: make(chan struct{})}
	for _, m := range f.Machines {
		w.wait.Go(func() { w.watch(f, m) })
	}
	return w
}

func (w *MemoryWatch) watch(f *Fleet, m *Machine) {
	for {
		select {
		case <-w.done:
			return
		case <-time.After(memoryInterval):
		}
		pid := m.PID()
		if pid == 0 {
			select {
			case <-w.done:
				return
			case <-time.After(restartDelay):
			}
			f.Record.Add("start    %s", m.Name)
			_ = m.Start()
			continue
		}
		bytes, ok := resident(pid)
		w.mu.Lock()
		w.peaks[m.Name] = max(w.peaks[m.Name], bytes)
		w.mu.Unlock()
		if !ok || bytes <= MemoryLimit {
			continue
		}
		ended := m.Signal(syscall.SIGKILL)
		f.Record.Add("platform %s holds %d MB, more than %d: killed", m.Name, bytes>>20, MemoryLimit>>20)
		w.mu.Lock()
		w.ends[m.Name]++
		w.mu.Unlock()
		if ended != nil {
			<-ended
		}
	}
}

// Close stops watching and returns how often each node was killed, and the most memory of
// each in MB.
func (w *MemoryWatch) Close() (ends map[string]int, peaks map[string]int64) {
	close(w.done)
	w.wait.Wait()
	peaks = make(map[string]int64)
	for name, bytes := range w.peaks {
		peaks[name] = bytes >> 20
	}
	return w.ends, peaks
}

// resident returns the resident memory of a process in bytes.
func resident(pid int) (int64, bool) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0, false
	}
	fields := strings.Fields(string(text))
	if len(fields) < 2 {
		return 0, false
	}
	pages, err := strconv.ParseInt(fields[1], 10, 64)
	return pages * int64(os.Getpagesize()), err == nil
}
