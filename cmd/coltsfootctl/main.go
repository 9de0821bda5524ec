// Command coltsfootctl is the operators' client. It speaks to any node; the
// exit codes are in docs/OPERATIONS.md and in its help.
package main

import (
	"os"
)

func main() {
	os.Exit(run(os.Args[1:], os.Stdin, os.Stdout, os.Stderr))
}
