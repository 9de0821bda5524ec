// Command coltsfootctl is the operators' command-line client. It can connect to any node.
// The exit codes are documented in docs/OPERATIONS.md and in the help text.
package main

import (
	"os"
)

func main() {
	os.Exit(run(os.Args[1:], os.Stdin, os.Stdout, os.Stderr))
}
