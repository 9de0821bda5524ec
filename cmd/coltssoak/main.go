// Command coltssoak runs nodes as separate processes on this machine, injects faults
// from outside the processes, and checks the system's guarantees.
package main

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"coltsfootward/cmd/soak"

	"github.com/jessevdk/go-flags"
)

type options struct {
	Program   string        `long:"program" required:"yes" description:"the node's executable, coltsfootward"`
	Directory string        `long:"directory" description:"where settings and logs go; a new temporary one without it"`
	From      uint64        `long:"from" default:"1" description:"the first seed"`
	Seeds     uint64        `long:"seeds" default:"1" description:"how many seeds are played, one after the other"`
	Nodes     int           `long:"nodes" default:"4" description:"node processes"`
	Callers   int           `long:"callers" default:"12" description:"callers that send requests all the time"`
	Duration  time.Duration `long:"duration" default:"15s" description:"how long faults come with each seed"`
	Contended bool          `long:"contended" description:"nodes have the settings for contended services; servers make calls, are slow and reject"`
}

// The exit codes.
const (
	exitOK       = 0
	exitFindings = 1
	exitUsage    = 2
)

func main() { os.Exit(run(os.Args[1:])) }

func run(args []string) int {
	var o options
	_, err := flags.NewParser(&o, flags.HelpFlag|flags.PassDoubleDash).ParseArgs(args)
	var flagged *flags.Error
	if errors.As(err, &flagged) && flagged.Type == flags.ErrHelp {
		fmt.Println(err)
		return exitOK
	}
	if err == nil {
		o.Directory, err = makeDirectory(o.Directory)
	}
	if err != nil {
		fmt.Fprintf(os.Stderr, "coltssoak: %v: see coltssoak --help\n", err)
		return exitUsage
	}
	return runSeeds(o)
}

func makeDirectory(requested string) (string, error) {
	if requested == "" {
		return os.MkdirTemp("", "coltssoak")
	}
	return requested, os.MkdirAll(requested, 0o755)
}

// runSeeds runs the seeds one after the other and prints a line for each.
func runSeeds(o options) int {
	code := exitOK
	fmt.Printf("%-6s %-8s %8s %12s  %s\n", "SEED", "FAULTS", "REQUESTS", "SERVED AFTER", "FINDINGS")
	for seed := o.From; seed < o.From+o.Seeds; seed++ {
		seedDirectory := filepath.Join(o.Directory, fmt.Sprintf("seed-%d", seed))
		err := os.MkdirAll(seedDirectory, 0o755)
		var report soak.Report
		if err == nil {
			report, err = soak.Run(soak.Options{
				Program: o.Program, Directory: seedDirectory, Seed: seed, Nodes: o.Nodes, Callers: o.Callers, Duration: o.Duration, Contended: o.Contended,
			})
		}
		if err != nil {
			fmt.Printf("%-6d not played: %v\n", seed, err)
			code = exitFindings
			continue
		}
		faults := 0
		for _, n := range report.Faults {
			faults += n
		}
		fmt.Printf("%-6d %-8d %8d %5d of %-5d %d %v\n", seed, faults, report.Requests, report.ServedAfterFaults, report.RequestsAfterFaults, len(report.Findings), report.Faults)
		for _, finding := range report.Findings {
			fmt.Println("       " + finding)
			code = exitFindings
		}
	}
	fmt.Println("logs and settings: " + o.Directory)
	return code
}
