package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"
)

// costUnits is what processes have used.
type costUnits struct {
	Processor time.Duration `json:"processor_nanoseconds"`
	// Allocations counts objects on the heap, Allocated their bytes.
	Allocations float64 `json:"allocations"`
	Allocated   float64 `json:"allocated_bytes"`
	// Transfers counts system calls that read or write.
	Transfers float64 `json:"reads_and_writes"`
	// WakeUps counts how often a thread waited and was woken.
	WakeUps float64 `json:"wake_ups"`
}

func (u costUnits) plus(v costUnits) costUnits {
	return costUnits{u.Processor + v.Processor, u.Allocations + v.Allocations, u.Allocated + v.Allocated, u.Transfers + v.Transfers, u.WakeUps + v.WakeUps}
}

func (u costUnits) minus(v costUnits) costUnits {
	return costUnits{u.Processor - v.Processor, u.Allocations - v.Allocations, u.Allocated - v.Allocated, u.Transfers - v.Transfers, u.WakeUps - v.WakeUps}
}

// per divides each unit.
func (u costUnits) per(count float64) costUnits {
	return costUnits{time.Duration(float64(u.Processor) / count), u.Allocations / count, u.Allocated / count, u.Transfers / count, u.WakeUps / count}
}

// usedBy returns what a node has used since its start. operators is where it answers
// operators.
func usedBy(process int, operators string) (costUnits, error) {
	u, err := usedByProcess(process)
	if err != nil {
		return u, fmt.Errorf("coltsload: process %d: %w", process, err)
	}
	response, err := http.Get("http://" + operators + "/debug/vars")
	if err != nil {
		return u, fmt.Errorf("coltsload: read the node's metrics: %w", err)
	}
	defer response.Body.Close()
	var page struct {
		Memory struct{ Mallocs, TotalAlloc float64 } `json:"memstats"`
	}
	if err := json.NewDecoder(response.Body).Decode(&page); err != nil {
		return u, fmt.Errorf("coltsload: read the node's metrics: %w", err)
	}
	u.Allocations, u.Allocated = page.Memory.Mallocs, page.Memory.TotalAlloc
	return u, nil
}

// usedByProcess reads what Linux tells of a process, see proc(5).
func usedByProcess(process int) (costUnits, error) {
	var u costUnits
	for _, file := range []struct {
		name string
		take func(key, value string) error
	}{
		{"io", func(key, value string) error {
			if key != "syscr" && key != "syscw" {
				return nil
			}
			count, err := strconv.ParseFloat(value, 64)
			u.Transfers += count
			return err
		}},
		{"schedstat", func(key, _ string) error {
			used, err := strconv.ParseInt(strings.Fields(key)[0], 10, 64)
			u.Processor += time.Duration(used)
			return err
		}},
		{"status", func(key, value string) error {
			if key != "voluntary_ctxt_switches" {
				return nil
			}
			count, err := strconv.ParseFloat(value, 64)
			u.WakeUps += count
			return err
		}},
	} {
		if err := eachThread(process, file.name, file.take); err != nil {
			return u, err
		}
	}
	return u, nil
}

// eachThread reads a file of key and value of each thread of a process.
func eachThread(process int, name string, take func(key, value string) error) error {
	directory := fmt.Sprintf("/proc/%d/task", process)
	threads, err := os.ReadDir(directory)
	if err != nil {
		return err
	}
	for _, thread := range threads {
		text, err := os.ReadFile(directory + "/" + thread.Name() + "/" + name)
		if err != nil {
			return err
		}
		for line := range strings.Lines(strings.TrimSpace(string(text))) {
			key, value, _ := strings.Cut(line, ":")
			if err := take(key, strings.TrimSpace(value)); err != nil {
				return fmt.Errorf("%s of thread %s: %w", name, thread.Name(), err)
			}
		}
	}
	return nil
}
