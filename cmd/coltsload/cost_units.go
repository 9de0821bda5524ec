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

// resourceUsage is the resources that processes have used.
type resourceUsage struct {
	CPUTime time.Duration `json:"processor_nanoseconds"`
	// Allocations counts objects allocated on the heap, AllocatedBytes their bytes.
	Allocations    float64 `json:"allocations"`
	AllocatedBytes float64 `json:"allocated_bytes"`
	// ReadsAndWrites counts read and write system calls.
	ReadsAndWrites float64 `json:"reads_and_writes"`
	// WakeUps counts voluntary context switches: how often a thread blocked and was
	// woken.
	WakeUps float64 `json:"wake_ups"`
}

func (u resourceUsage) plus(v resourceUsage) resourceUsage {
	return resourceUsage{u.CPUTime + v.CPUTime, u.Allocations + v.Allocations, u.AllocatedBytes + v.AllocatedBytes, u.ReadsAndWrites + v.ReadsAndWrites, u.WakeUps + v.WakeUps}
}

func (u resourceUsage) minus(v resourceUsage) resourceUsage {
	return resourceUsage{u.CPUTime - v.CPUTime, u.Allocations - v.Allocations, u.AllocatedBytes - v.AllocatedBytes, u.ReadsAndWrites - v.ReadsAndWrites, u.WakeUps - v.WakeUps}
}

// dividedBy divides each figure by count.
func (u resourceUsage) dividedBy(count float64) resourceUsage {
	return resourceUsage{time.Duration(float64(u.CPUTime) / count), u.Allocations / count, u.AllocatedBytes / count, u.ReadsAndWrites / count, u.WakeUps / count}
}

// nodeUsage returns the resources that a node has used since its start. operators is
// the address of its operator listener.
func nodeUsage(pid int, operators string) (resourceUsage, error) {
	u, err := processUsage(pid)
	if err != nil {
		return u, fmt.Errorf("coltsload: process %d: %w", pid, err)
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
	u.Allocations, u.AllocatedBytes = page.Memory.Mallocs, page.Memory.TotalAlloc
	return u, nil
}

// processUsage reads a process's usage from /proc, see proc(5). It leaves the heap
// figures zero.
func processUsage(pid int) (resourceUsage, error) {
	var u resourceUsage
	for _, file := range []struct {
		name  string
		parse func(key, value string) error
	}{
		{"io", func(key, value string) error {
			if key != "syscr" && key != "syscw" {
				return nil
			}
			count, err := strconv.ParseFloat(value, 64)
			u.ReadsAndWrites += count
			return err
		}},
		{"schedstat", func(key, _ string) error {
			used, err := strconv.ParseInt(strings.Fields(key)[0], 10, 64)
			u.CPUTime += time.Duration(used)
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
		if err := forEachThread(pid, file.name, file.parse); err != nil {
			return u, err
		}
	}
	return u, nil
}

// forEachThread parses the lines "key: value" of the named file of each thread of a
// process. A line without a colon is passed to parse as the key.
func forEachThread(pid int, name string, parse func(key, value string) error) error {
	directory := fmt.Sprintf("/proc/%d/task", pid)
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
			if err := parse(key, strings.TrimSpace(value)); err != nil {
				return fmt.Errorf("%s of thread %s: %w", name, thread.Name(), err)
			}
		}
	}
	return nil
}
