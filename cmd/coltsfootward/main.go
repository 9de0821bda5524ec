// Command coltsfootward is the node that runs beside each backend server.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"

	"coltsfootward/cmd/daemon"
	"coltsfootward/cmd/settings"

	"github.com/jessevdk/go-flags"
	"go.uber.org/zap"
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
	logger, err := newLogger(s.Log.Level)
	if err != nil {
		return err
	}
	app := daemon.New(s, logger)
	if err := app.Start(context.Background()); err != nil {
		return err
	}
	<-app.Done()
	ctx, cancel := context.WithTimeout(context.Background(), daemon.StopTimeout)
	defer cancel()
	return app.Stop(ctx)
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

func newLogger(level string) (*zap.Logger, error) {
	parsed, err := zap.ParseAtomicLevel(level)
	if err != nil {
		return nil, err
	}
	config := zap.NewProductionConfig()
	config.Level = parsed
	config.Sampling = nil
	return config.Build()
}

func main() {
	parser := flags.NewNamedParser("coltsfootward", flags.HelpFlag|flags.PassDoubleDash)
	commands := []struct {
		name, short, long string
		command           any
	}{
		{"run", "run a node", "Runs a node until SIGTERM, then stops gracefully. Example: coltsfootward run node.toml", &runCommand{}},
		{"check", "check a settings file", "Checks a settings file without starting. Example: coltsfootward check node.toml", &checkCommand{}},
	}
	for _, c := range commands {
		if _, err := parser.AddCommand(c.name, c.short, c.long, c.command); err != nil {
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
