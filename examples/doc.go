// Package examples is the root of runnable examples and ready settings.
package examples
