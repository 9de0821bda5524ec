// Command standin runs stand-ins for the platform and for backend servers, for tests
// and examples.
package main

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"coltsfootward"
	"coltsfootward/io/upstream"
	"coltsfootward/standin/backend"
	"coltsfootward/standin/platform"

	"github.com/jessevdk/go-flags"
)

type platformCommand struct {
	Listen string `long:"listen" default:"127.0.0.1:7000" description:"IP number and port"`
}

// Execute implements flags.Commander.
func (c *platformCommand) Execute([]string) error {
	listener, err := net.Listen("tcp", c.Listen)
	if err != nil {
		return err
	}
	printAddress(listener)
	server := &http.Server{Handler: platform.New().Handler(), ReadHeaderTimeout: 10 * time.Second}
	go func() { _ = server.Serve(listener) }()
	waitForStop()
	return server.Close()
}

type backendCommand struct {
	Listen       string        `long:"listen" default:"127.0.0.1:0" description:"IP number and port"`
	Node         string        `long:"node" required:"yes" description:"the local node's address for backend servers"`
	Service      string        `long:"service" required:"yes" description:"the service it announces"`
	Slots        int           `long:"slots" default:"10" description:"requests served at once"`
	Connections  int           `long:"connections" default:"100" description:"connections accepted"`
	Time         time.Duration `long:"time" default:"10ms" description:"time a request takes"`
	Jitter       time.Duration `long:"jitter" default:"0s" description:"largest random time added to it"`
	ColdStart    time.Duration `long:"cold-start" default:"0s" description:"how long after the start requests take twice their time"`
	Shed         bool          `long:"shed" description:"answer 503 at once while every slot is taken"`
	ReportLag    time.Duration `long:"report-lag" default:"0s" description:"age of the load that it reports"`
	ReportFactor float64       `long:"report-factor" default:"1" description:"factor by which it misstates its load"`
	Forget       bool          `long:"forget" description:"keep no record of single runs, for measurements under load"`
	Limit        *float64      `long:"limit" description:"limit in requests per second that its responses name"`
	Leaving      bool          `long:"leaving" description:"say in every response that it leaves"`
	Child        []string      `long:"child" description:"a path, /SERVICE/PATH, called while serving; may be repeated"`
}

// Execute implements flags.Commander.
func (c *backendCommand) Execute([]string) error {
	if c.Limit != nil && !(*c.Limit >= 0) {
		return fmt.Errorf("--limit is %v: give a number of requests per second, 0 or more", *c.Limit)
	}
	listener, err := net.Listen("tcp", c.Listen)
	if err != nil {
		return err
	}
	printAddress(listener)
	b := backend.New(listener, backend.Options{
		Announcement: upstream.Announcement{
			Service: coltsfootward.ServiceName(c.Service), Slots: c.Slots, Connections: c.Connections,
		},
		NodeAddress:  c.Node,
		ServiceTime:  c.Time,
		Jitter:       c.Jitter,
		ColdStart:    c.ColdStart,
		ChildPaths:   c.Child,
		Shed:         c.Shed,
		ReportLag:    c.ReportLag,
		ReportFactor: c.ReportFactor,
		DiscardRuns:  c.Forget,
	})
	b.SetCondition(c.Limit, c.Leaving)
	waitForStop()
	b.Close()
	return nil
}

// printAddress prints the address at which the program listens, since the kernel may
// have chosen the port.
func printAddress(listener net.Listener) {
	fmt.Printf("listening on %s\n", listener.Addr())
}

func waitForStop() {
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	<-stop
}

func main() {
	os.Exit(run(os.Args[1:]))
}

// run returns the exit code: 0 for success, 1 for failure, 2 for wrong usage.
func run(args []string) int {
	parser := flags.NewNamedParser("standin", flags.HelpFlag|flags.PassDoubleDash)
	if err := register(parser); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	_, err := parser.ParseArgs(args)
	var flagged *flags.Error
	switch {
	case err == nil:
		return 0
	case errors.As(err, &flagged) && flagged.Type == flags.ErrHelp:
		fmt.Println(err)
		return 0
	case errors.As(err, &flagged):
		fmt.Fprintf(os.Stderr, "standin: %v: see standin --help\n", err)
		return 2
	default:
		fmt.Fprintf(os.Stderr, "standin: %v\n", err)
		return 1
	}
}

func register(parser *flags.Parser) error {
	if _, err := parser.AddCommand("platform", "play the platform",
		"Serves a table and an object store from memory. PUT /failure switches its failures.\n\nExample: standin platform --listen 127.0.0.1:7000", &platformCommand{}); err != nil {
		return err
	}
	_, err := parser.AddCommand("backend", "play a backend server",
		"Serves a service and announces it to its node.\n\nExample: standin backend --node 127.0.0.1:7002 --service quotes --slots 10", &backendCommand{})
	return err
}
