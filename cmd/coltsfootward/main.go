// Command coltsfootward runs a node, which is deployed beside each backend server.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"

	"coltsfootward/cmd/daemon"
	"coltsfootward/cmd/logging"
	"coltsfootward/cmd/settings"

	"github.com/jessevdk/go-flags"
)

type runCommand struct {
	Args struct {
		Settings string `positional-arg-name:"SETTINGS" description:"the settings file"`
	} `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander.
func (c *runCommand) Execute([]string) error {
	s, err := settings.Load(c.Args.Settings)
	if err != nil {
		return err
	}
	lines := logging.NewWriter(os.Stdout)
	defer lines.Close()
	d := daemon.New(s, logging.New(lines))
	watcher := watchSettings(c.Args.Settings, d)
	defer watcher.close()
	if err := d.Start(context.Background()); err != nil {
		return err
	}
	select {
	case <-d.Signals():
	case <-d.Drained():
	}
	ctx, cancel := context.WithTimeout(context.Background(), daemon.StopTimeout)
	defer cancel()
	return d.Stop(ctx)
}

type checkCommand struct {
	Args struct {
		Settings string `positional-arg-name:"SETTINGS" description:"the settings file"`
	} `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander.
func (c *checkCommand) Execute([]string) error {
	if _, err := settings.Load(c.Args.Settings); err != nil {
		return err
	}
	fmt.Println(c.Args.Settings + ": ok")
	return nil
}

func main() {
	tuneMemory()
	os.Exit(run(os.Args[1:]))
}

// Exit codes.
const (
	exitDone   = 0
	exitFailed = 1
	exitUsage  = 2
)

func run(args []string) int {
	parser := flags.NewNamedParser("coltsfootward", flags.HelpFlag|flags.PassDoubleDash)
	parser.LongDescription = "The node that runs beside each backend server. Exit codes: 0 done; 1 failed or bad settings; 2 wrong usage."
	if err := register(parser); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	_, err := parser.ParseArgs(args)
	var flagsError *flags.Error
	switch {
	case err == nil:
		return exitDone
	case errors.As(err, &flagsError) && flagsError.Type == flags.ErrHelp:
		fmt.Println(err)
		return exitDone
	case errors.As(err, &flagsError):
		fmt.Fprintf(os.Stderr, "coltsfootward: %v: see coltsfootward --help\n", err)
		return exitUsage
	default:
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
}

func register(parser *flags.Parser) error {
	if _, err := parser.AddCommand("run", "run a node",
		"Runs a node until SIGTERM, SIGINT or an operator's drain, then stops gracefully: it finishes the running requests and aborts none.\n\nExample: coltsfootward run node.toml", &runCommand{}); err != nil {
		return err
	}
	_, err := parser.AddCommand("check", "check a settings file",
		"Checks a settings file without starting and names every bad value.\n\nExample: coltsfootward check node.toml", &checkCommand{})
	return err
}
