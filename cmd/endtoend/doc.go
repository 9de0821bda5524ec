// Package endtoend tests the programs as separate processes.
package endtoend
