package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"text/tabwriter"
	"time"
)

// cost measures the resources that nodes use for calls.
type cost struct {
	Program  string        `long:"program" required:"yes" description:"the node's executable, coltsfootward"`
	Nodes    int           `long:"nodes" default:"4" description:"node processes, 2 to 30"`
	Rates    []int         `long:"rate" default:"0" default:"500" default:"1000" description:"calls per second over all nodes, 0 for nodes at rest; may be given again"`
	Duration time.Duration `long:"duration" default:"10s" description:"how long each rate is held"`
	Warm     time.Duration `long:"warm" default:"2s" description:"how long calls are made at each rate before anything is counted"`
	Seed     uint64        `long:"seed" default:"1" description:"seed of the arrivals, which are a Poisson process"`
	Refused  bool          `long:"refused" description:"make calls that are refused, with a key that nobody holds"`
	JSON     bool          `long:"json" description:"print one object a rate instead of a table"`
	Profile  string        `long:"profile" description:"directory for a processor and an allocation profile of node 0 at the last rate"`
}

// The limits of the number of nodes on one machine.
const (
	minNodes = 2
	maxNodes = 30
)

// costResult is the result of one rate, over all nodes.
type costResult struct {
	Rate      int            `json:"rate"`
	Calls     int            `json:"calls"`
	Failed    map[string]int `json:"failed,omitempty"`
	P50       time.Duration  `json:"p50_nanoseconds"`
	P99       time.Duration  `json:"p99_nanoseconds"`
	PerSecond resourceUsage  `json:"per_node_second"`
	// PerCall is nil if no calls were made.
	PerCall *resourceUsage `json:"per_call,omitempty"`
}

// Execute implements flags.Commander.
func (c *cost) Execute([]string) error {
	if c.Nodes < minNodes || c.Nodes > maxNodes {
		return fmt.Errorf("coltsload: --nodes %d: choose %d to %d", c.Nodes, minNodes, maxNodes)
	}
	if c.Duration <= 0 || c.Warm < 0 {
		return errors.New("coltsload: --duration must be positive, --warm must not be negative")
	}
	for _, rate := range c.Rates {
		if rate < 0 {
			return fmt.Errorf("coltsload: --rate %d: choose 0 or more", rate)
		}
	}
	directory, err := os.MkdirTemp("", "coltsload")
	if err != nil {
		return fmt.Errorf("coltsload: %w", err)
	}
	defer os.RemoveAll(directory)
	f, err := startCostFleet(c.Program, directory, c.Nodes)
	if err != nil {
		return err
	}
	defer f.close()
	return c.measure(f)
}

func (c *cost) measure(f *costFleet) error {
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	if !c.JSON {
		fmt.Printf("seed %d, %d nodes, %v a rate after %v warm-up, open loop, Poisson arrivals\n", c.Seed, c.Nodes, c.Duration, c.Warm)
		fmt.Fprintln(w, "CALLS/S\tCALLS\tP50\tP99\tOF\tCPU\tALLOCATIONS\tBYTES ALLOCATED\tREADS+WRITES\tWAKE-UPS\tFAILED")
	}
	for i, rate := range c.Rates {
		row, err := c.measureRate(f, rate, i == len(c.Rates)-1 && c.Profile != "")
		if err != nil {
			return err
		}
		if c.JSON {
			if err := json.NewEncoder(os.Stdout).Encode(row); err != nil {
				return err
			}
			continue
		}
		row.writeRows(w)
	}
	return w.Flush()
}

// measureRate makes calls at a rate, first for the warm-up and then for the
// measurement, and returns the resources used during the measurement.
func (c *cost) measureRate(f *costFleet, rate int, profiled bool) (costResult, error) {
	callers := f.newCallers(c.Refused)
	defer callers.close()
	callers.run(plan{rate: rate, duration: c.Warm, seed: c.Seed})
	before, err := f.usage()
	if err != nil {
		return costResult{}, err
	}
	var wait sync.WaitGroup
	var profileErr error
	if profiled {
		wait.Go(func() { profileErr = f.writeProfiles(c.Profile, c.Duration) })
	}
	m := callers.run(plan{rate: rate, duration: c.Duration, seed: c.Seed + 1})
	after, err := f.usage()
	wait.Wait()
	if err := errors.Join(err, profileErr); err != nil {
		return costResult{}, err
	}
	used := after.minus(before)
	row := costResult{Rate: rate, Calls: m.calls, Failed: m.failed, P50: m.quantile(50), P99: m.quantile(99),
		PerSecond: used.dividedBy(float64(c.Nodes) * c.Duration.Seconds())}
	if m.calls > 0 {
		perCall := used.dividedBy(float64(m.calls))
		row.PerCall = &perCall
	}
	return row, nil
}

func (r costResult) writeRows(w io.Writer) {
	line := func(unit string, u resourceUsage) {
		fmt.Fprintf(w, "%d\t%d\t%v\t%v\t%s\t%v\t%.1f\t%.0f\t%.1f\t%.1f\t%v\n", r.Rate, r.Calls, r.P50, r.P99, unit,
			u.CPUTime.Round(time.Microsecond), u.Allocations, u.AllocatedBytes, u.ReadsAndWrites, u.WakeUps, r.Failed)
	}
	line("a node, a second", r.PerSecond)
	if r.PerCall != nil {
		line("a call", *r.PerCall)
	}
}

// writeProfiles writes a CPU and an allocation profile of node 0 to directory.
func (f *costFleet) writeProfiles(directory string, duration time.Duration) error {
	if err := os.MkdirAll(directory, 0o755); err != nil {
		return fmt.Errorf("coltsload: profile: %w", err)
	}
	seconds := max(int(duration.Seconds()), 1)
	fetchProfile := func(name, file string) error {
		return download(fmt.Sprintf("http://%s/debug/pprof/%s?seconds=%d", f.nodes[0].Ports().Operators, name, seconds), filepath.Join(directory, file))
	}
	var cpuErr, allocErr error
	var wait sync.WaitGroup
	wait.Go(func() { cpuErr = fetchProfile("profile", "processor.pprof") })
	wait.Go(func() { allocErr = fetchProfile("allocs", "allocations.pprof") })
	wait.Wait()
	return errors.Join(cpuErr, allocErr)
}

// download writes the body of a GET response to a file.
func download(url, file string) error {
	response, err := http.Get(url)
	if err != nil {
		return fmt.Errorf("coltsload: profile: %w", err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("coltsload: profile: %s returned %s", url, response.Status)
	}
	out, err := os.Create(file)
	if err != nil {
		return fmt.Errorf("coltsload: profile: %w", err)
	}
	_, err = io.Copy(out, response.Body)
	return errors.Join(err, out.Close())
}
