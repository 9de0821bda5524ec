// Package loop runs one node's machine: a single goroutine feeds it events and
// hands its actions to those who carry them out. Rings between them are
// bounded.
package loop
