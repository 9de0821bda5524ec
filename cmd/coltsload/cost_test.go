package main

import (
	"os"
	"strings"
	"testing"
	"time"
)

func TestCostRejectsInvalidFlags(t *testing.T) {
	for name, c := range map[string]cost{
		"--nodes 1":    {Nodes: 1, Duration: time.Second},
		"--nodes 31":   {Nodes: 31, Duration: time.Second},
		"--duration":   {Nodes: 2},
		"--rate -1":    {Nodes: 2, Duration: time.Second, Rates: []int{0, -1}},
		"no/such/file": {Nodes: 2, Duration: time.Second, Program: "no/such/file"},
	} {
		if err := c.Execute(nil); err == nil || !strings.Contains(err.Error(), name) {
			t.Errorf("%+v: got %v, want an error that names %q", c, err, name)
		}
	}
}

func TestProcessUsageGrows(t *testing.T) {
	before, err := processUsage(os.Getpid())
	if err != nil {
		t.Fatal(err)
	}
	for begun := time.Now(); time.Since(begun) < 20*time.Millisecond; {
		if _, err := os.ReadFile("/proc/self/stat"); err != nil {
			t.Fatal(err)
		}
	}
	after, err := processUsage(os.Getpid())
	if err != nil {
		t.Fatal(err)
	}
	if used := after.minus(before); used.CPUTime <= 0 || used.ReadsAndWrites < 1 {
		t.Errorf("got %+v, want CPU time and reads", used)
	}
}

func TestOpenLoopRate(t *testing.T) {
	for _, rate := range []int{0, 200} {
		begun := time.Now()
		m := openLoop(plan{rate: rate, duration: 500 * time.Millisecond, seed: 1}, func(int) string { return "" })
		if seen := float64(m.calls); seen < 0.5*float64(rate)/2 || seen > 1.5*float64(rate)/2 {
			t.Errorf("rate %d: %d calls in half a second", rate, m.calls)
		}
		if took := time.Since(begun); took < 500*time.Millisecond {
			t.Errorf("rate %d: ended after %v, want the whole time", rate, took)
		}
	}
}
