package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"runtime/pprof"
	"text/tabwriter"
	"time"
)

// latency measures the latency and CPU time that a pair of nodes adds to a call.
type latency struct {
	Rates    []int         `long:"rate" default:"160" default:"500" default:"1000" default:"2000" description:"calls per second; may be given again"`
	Duration time.Duration `long:"duration" default:"10s" description:"how long each rate is held, directly and through the nodes"`
	Warm     time.Duration `long:"warm" default:"2s" description:"how long calls are made before anything is counted"`
	Seed     uint64        `long:"seed" default:"1" description:"seed of the arrivals, which are a Poisson process"`
	Size     int           `long:"size" default:"200" description:"bytes of each answer's body, besides its first line"`
	Direct   string        `long:"direct" description:"URL of the backend server; without it all parts run in this process"`
	Through  string        `long:"through" description:"URL of the same service at a node"`
	Profile  string        `long:"profile" description:"file for a processor profile of the calls through the nodes at the last rate"`
	Key      string        `long:"key" env:"COLTSFOOTWARD_KEY" description:"the caller's key for --through"`
}

// Execute implements flags.Commander.
func (c *latency) Execute([]string) error {
	if (c.Direct == "") != (c.Through == "") {
		return errors.New("coltsload: give both --direct and --through, or neither")
	}
	ctx := context.Background()
	if c.Direct == "" {
		d, err := startDeployment(ctx)
		if err != nil {
			return err
		}
		defer d.stop(ctx)
		c.Direct, c.Through, c.Key = d.direct, d.through, d.key
	}
	fmt.Printf("seed %d, %v a rate after %v warm-up, answers of %d bytes, open loop, Poisson arrivals, times from the intended start\n",
		c.Seed, c.Duration, c.Warm, c.Size)
	return c.measure(ctx)
}

func (c *latency) measure(ctx context.Context) error {
	suffix := fmt.Sprintf("/page?size=%d", c.Size)
	direct := target{url: c.Direct + suffix}
	through := target{url: c.Through + suffix, key: c.Key}
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "CALLS/S\tPATH\tCALLS\tP50\tP99\tP99.9\tCPU/CALL\tFAILED")
	for i, rate := range c.Rates {
		seed := c.Seed + uint64(i)
		for _, t := range []target{direct, through} {
			measureTarget(ctx, t, plan{rate: rate, duration: c.Warm, seed: seed})
		}
		baseline := measureTarget(ctx, direct, plan{rate: rate, duration: c.Duration, seed: seed})
		nodes, err := c.withProfile(i == len(c.Rates)-1, func() measurement {
			return measureTarget(ctx, through, plan{rate: rate, duration: c.Duration, seed: seed})
		})
		if err != nil {
			return err
		}
		writeRow(w, rate, "direct", baseline)
		writeRow(w, rate, "through", nodes)
		writeDifference(w, rate, baseline, nodes)
	}
	return w.Flush()
}

// withProfile runs measure, and writes a CPU profile of it if enabled and if a file was
// given.
func (c *latency) withProfile(enabled bool, measure func() measurement) (measurement, error) {
	if !enabled || c.Profile == "" {
		return measure(), nil
	}
	file, err := os.Create(c.Profile)
	if err != nil {
		return measurement{}, fmt.Errorf("coltsload: profile: %w", err)
	}
	defer file.Close()
	if err := pprof.StartCPUProfile(file); err != nil {
		return measurement{}, fmt.Errorf("coltsload: profile: %w", err)
	}
	defer pprof.StopCPUProfile()
	return measure(), nil
}

func writeRow(w *tabwriter.Writer, rate int, path string, m measurement) {
	fmt.Fprintf(w, "%d\t%s\t%d\t%v\t%v\t%v\t%v\t%v\n", rate, path, m.calls,
		m.quantile(50), m.quantile(99), m.quantile(99.9), m.cpuTimePerCall(), m.failed)
}

func writeDifference(w *tabwriter.Writer, rate int, baseline, nodes measurement) {
	cpuTime := nodes.cpuTimePerCall() - baseline.cpuTimePerCall()
	perCore := 0.0
	if cpuTime > 0 {
		perCore = float64(time.Second) / float64(cpuTime)
	}
	fmt.Fprintf(w, "%d\tadded\t\t%v\t%v\t%v\t%v (%.0f calls/s per core)\n", rate,
		nodes.quantile(50)-baseline.quantile(50), nodes.quantile(99)-baseline.quantile(99),
		nodes.quantile(99.9)-baseline.quantile(99.9), cpuTime, perCore)
}
