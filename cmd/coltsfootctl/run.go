package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os/signal"
	"syscall"

	"github.com/jessevdk/go-flags"
)

const description = `Operates a coltsfootward deployment through any of its nodes.

Exit codes: 0 done; 1 refused or failed; 2 wrong usage; 3 conflict, the object
has changed since you saw it; 4 stored, but not yet in force everywhere; 5 no
answer, the change may have been stored: run it again with its change id.

Example: coltsfootctl --node 10.0.0.1:7004 organisation set traders --rate 50 --burst 100`

// run executes one command line and returns its exit code.
func run(args []string, in io.Reader, out, errout io.Writer) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	s := &session{ctx: ctx, in: in, out: out, errout: errout}
	parser := flags.NewNamedParser("coltsfootctl", flags.HelpFlag|flags.PassDoubleDash)
	parser.LongDescription = description
	if err := register(parser, s); err != nil {
		fmt.Fprintln(errout, err)
		return exitFailed
	}
	_, err := parser.ParseArgs(args)
	var flagsError *flags.Error
	if errors.As(err, &flagsError) {
		if flagsError.Type == flags.ErrHelp {
			fmt.Fprintln(out, err)
			return exitDone
		}
		fmt.Fprintf(errout, "coltsfootctl: %v: see coltsfootctl --help\n", err)
		return exitUsage
	}
	if err != nil {
		fmt.Fprintf(errout, "coltsfootctl: %v\n", err)
	}
	return exitCode(err)
}

// command is one row of the command table.
type command struct {
	parent, name, short, long string
	run                       any
}

// register adds every command to the parser.
func register(parser *flags.Parser, s *session) error {
	if _, err := parser.AddGroup("Common options", "", &s.options); err != nil {
		return fmt.Errorf("coltsfootctl: common options: %w", err)
	}
	for _, c := range commands(s) {
		parent := parser.Command
		if c.parent != "" {
			parent = parser.Find(c.parent)
		}
		if _, err := parent.AddCommand(c.name, c.short, c.long, c.run); err != nil {
			return fmt.Errorf("coltsfootctl: command %s: %w", c.name, err)
		}
	}
	return nil
}

// group is a command that only has subcommands.
type group struct{}

func commands(s *session) []command {
	return []command{
		{"", "organisation", "organisations and their rates", "Organisations, each with its rate and burst over all instances together.", &group{}},
		{"organisation", "set", "create an organisation or change its rate and burst",
			"Creates an organisation, or changes it if --based-on names the revision that list shows.\n\nExample: coltsfootctl organisation set traders --rate 50 --burst 100", &organisationSet{session: s}},
		{"organisation", "list", "list organisations", "Example: coltsfootctl organisation list --output json", &organisationList{session: s}},

		{"", "key", "callers' keys", "Keys, each belonging to one organisation. Only their digests are stored.", &group{}},
		{"key", "issue", "make a key and print it once",
			"Makes a key, stores its digest and prints the key. It cannot be shown again.\n\nExample: coltsfootctl key issue traders-1 --organisation traders", &keyIssue{session: s}},
		{"key", "withdraw", "withdraw a key for good", "Example: coltsfootctl key withdraw traders-1", &keyWithdraw{session: s}},
		{"key", "list", "list keys", "Example: coltsfootctl key list", &keyList{session: s}},

		{"", "service", "services and the marks of their requests", "Services. Backend servers of a service that does not exist get no work.", &group{}},
		{"service", "set", "create a service or change its marks and limits",
			"Creates a service, or changes it if --based-on names the revision that list shows. The longest path prefix that matches marks a request.\n\nExample: coltsfootctl service set bulletins --mark 'POST /orders critical unrepeatable' --mark 'GET /archive low'", &serviceSet{session: s}},
		{"service", "list", "list services and their marks", "Example: coltsfootctl service list", &serviceList{session: s}},
		{"service", "show", "show the backend servers of a service as the node sees them",
			"Shows the learned speed of each server as a multiple of the service's mean, how many times as long as usual work takes there as the server stated and how long ago, and the server's share of this node's requests for the service.\n\nExample: coltsfootctl service show bulletins", &serviceShow{session: s}},
		{"service", "shares", "show the organisations that compete for services without room for all, with the demand, share and refusals of each in slots",
			"Example: coltsfootctl service shares quotes", &serviceShares{session: s}},
		{"service", "crossing", "show what goes from one failure domain to another, and why",
			"Adds up the requests and bytes since the start of each node. FRACTION is the part of a domain's demand that goes there now.\n\nExample: coltsfootctl service crossing quotes", &serviceCrossing{session: s}},

		{"", "status", "show what a node knows of itself and of the deployment", "Example: coltsfootctl --node 10.0.0.1:7004 status", &status{session: s}},
		{"", "watch", "wait until a revision is in force everywhere", "Shows which failure domains and instances the revision still waits for.\n\nExample: coltsfootctl watch 42 --wait 30s", &watch{session: s}},
		{"", "drain", "make a node leave gracefully", "The node accepts no new work, finishes the running requests and exits.\n\nExample: coltsfootctl --node 10.0.0.1:7004 drain", &drain{session: s}},
		{"", "explain", "explain from logs what happened to a request",
			"Reads the logs of nodes, from files or standard input, and shows the path of one request and what ended it. Each log line may be prefixed by a time and an instance. Exit codes: 0 explained; 1 not found; 2 wrong usage; 3 explained in part, since nodes dropped lines from the logs.\n\nExamples: coltsfootctl explain 9c41d07be2a35f68 node-*.log\n          coltsfootctl explain --first over_rate < all.log\n          coltsfootctl explain --summary node-*.log", &explainCommand{session: s}},
		{"", "timeline", "show the recent events of all nodes as one timeline", "Asks the node and the peers that it knows, and merges their events by hybrid logical clock.\n\nExample: coltsfootctl timeline --limit 200", &timeline{session: s}},
	}
}
