package main

import (
	"fmt"
	"slices"
	"time"

	"coltsfootward/core/scenario"
)

// scenarios runs the overload scenarios.
type scenarios struct {
	Seed  uint64   `long:"seed" default:"1" description:"seed of every random choice"`
	Seeds int      `long:"seeds" default:"1" description:"number of seeds, from --seed on, whose runs are added up"`
	Only  []string `long:"only" description:"name of a scenario to run; may be repeated; all without it"`
}

// Execute implements flags.Commander.
func (c *scenarios) Execute([]string) error {
	for _, name := range c.Only {
		if _, ok := scenario.Named(name); !ok {
			return fmt.Errorf("coltsload: unknown scenario %q: leave --only out to see all", name)
		}
	}
	began := time.Now()
	rows := scenario.RunAll(c.Seed, max(c.Seeds, 1), func(s scenario.Scenario) bool {
		return len(c.Only) == 0 || slices.Contains(c.Only, s.Name)
	})
	fmt.Printf("seed %d, %d seeds\n\n%s\n", c.Seed, max(c.Seeds, 1), scenario.Table(rows))
	fmt.Printf("took %s\n", time.Since(began).Round(time.Millisecond))
	return nil
}
