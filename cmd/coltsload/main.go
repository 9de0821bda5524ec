// Command coltsload measures coltsfootward under load. Each subcommand prints its
// settings together with its results.
package main

import (
	"errors"
	"fmt"
	"os"

	"github.com/jessevdk/go-flags"
)

// subcommand describes a subcommand for the flags parser.
type subcommand struct {
	name, short, long string
	command           flags.Commander
}

func subcommands() []subcommand {
	return []subcommand{
		{"scenarios", "measure overload scenarios under a virtual clock",
			"Runs every overload scenario on both example deployments, against a naive system, and prints a table. Needs no network.\n\nExample: coltsload scenarios --only burst",
			&scenarios{}},
		{"emulate", "emulate a routed deployment with deep call chains under a virtual clock",
			"Runs the state machines of nodes, backend servers that call each other, and callers with latency objectives and retries, and prints the outcomes by request class and time. Needs no network.\n\nExample: coltsload emulate --deployment publisher --burst 1.7 --lost 1",
			&emulate{}},
		{"latency", "measure what a node pair adds to a call",
			"Calls a backend server directly and through two nodes, in one run and at the same rates, and prints both and the difference. Starts all parts in this process unless --direct and --through name others.\n\nExample: coltsload latency --rate 160 --duration 10s",
			&latency{}},
		{"cost", "measure what calls cost the nodes",
			"Starts nodes as processes of their own, calls them at set rates, and prints the cost per node and second and per call: CPU time, allocations, system calls, wake-ups. Rate 0 measures idle nodes.\n\nExample: coltsload cost --program ./coltsfootward --rate 0 --rate 1000 --profile /tmp/profiles",
			&cost{}},
	}
}

func main() {
	parser := flags.NewNamedParser("coltsload", flags.HelpFlag|flags.PassDoubleDash)
	for _, s := range subcommands() {
		if _, err := parser.AddCommand(s.name, s.short, s.long, s.command); err != nil {
			panic(err)
		}
	}
	_, err := parser.Parse()
	var help *flags.Error
	if errors.As(err, &help) && help.Type == flags.ErrHelp {
		fmt.Println(err)
		return
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
