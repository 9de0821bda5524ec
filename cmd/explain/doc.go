// Package explain traces one request through the logs of many nodes and determines what
// ended it. It also summarises the causes of refusals and failed attempts.
//
// It reads the JSON lines that nodes write, optionally prefixed by a time and an
// instance. It keeps only the lines of one request, or counts of causes, in memory, so
// that logs of any length can be read from a pipe.
package explain
