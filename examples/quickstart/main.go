// Command quickstart demonstrates coltsfootward in one process: a stand-in
// platform, two nodes in two failure domains, a backend server, an operator and
// callers. It needs no settings and exits when the demonstration is complete.
package main

import (
	"context"
	"fmt"
	"os"
	"time"

	"coltsfootward/examples/quickstart/tour"
)

// timeLimit ends a tour that hangs.
const timeLimit = 2 * time.Minute

func main() {
	ctx, cancel := context.WithTimeout(context.Background(), timeLimit)
	defer cancel()
	if err := tour.Run(ctx, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "quickstart:", err)
		os.Exit(1)
	}
}
