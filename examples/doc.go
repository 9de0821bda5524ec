// Package examples is the parent of runnable examples and ready-made settings.
package examples
