// Package cmd is the root of the programs and of what only they share.
package cmd
