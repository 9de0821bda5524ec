// Command standin plays the platform and backend servers in tests and examples.
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
	server := &http.Server{Handler: platform.New().Handler(), ReadHeaderTimeout: 10 * time.Second}
	go func() { _ = server.Serve(listener) }()
	waitForStop()
	return server.Close()
}

type backendCommand struct {
	Listen      string        `long:"listen" default:"127.0.0.1:0" description:"IP number and port"`
	Node        string        `long:"node" required:"yes" description:"the local node's address for backend servers"`
	Service     string        `long:"service" required:"yes" description:"the service it announces"`
	Slots       int           `long:"slots" default:"10" description:"requests served at once"`
	Connections int           `long:"connections" default:"100" description:"connections accepted"`
	Time        time.Duration `long:"time" default:"10ms" description:"time a request takes"`
	Child       []string      `long:"child" description:"a path, /SERVICE/PATH, called while serving; may be repeated"`
}

// Execute implements flags.Commander.
func (c *backendCommand) Execute([]string) error {
	listener, err := net.Listen("tcp", c.Listen)
	if err != nil {
		return err
	}
	b := backend.New(listener, backend.Options{
		Announcement: upstream.Announcement{
			Service: coltsfootward.ServiceName(c.Service), Slots: c.Slots, Connections: c.Connections,
		},
		NodeAddress: c.Node,
		ServiceTime: c.Time,
		Children:    c.Child,
	})
	waitForStop()
	b.Close()
	return nil
}

func waitForStop() {
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	<-stop
}

func main() {
	parser := flags.NewNamedParser("standin", flags.HelpFlag|flags.PassDoubleDash)
	if _, err := parser.AddCommand("platform", "play the platform", "Serves a table and an object store from memory.", &platformCommand{}); err != nil {
		panic(err)
	}
	if _, err := parser.AddCommand("backend", "play a backend server", "Serves a service and announces it to its node.", &backendCommand{}); err != nil {
		panic(err)
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
