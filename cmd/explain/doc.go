// Package explain follows one request through the logs of many nodes, from its id
// to what ended it.
//
// It reads JSON lines as nodes write them, plain or with a time and an instance
// before each, and keeps no more than it needs to tell of one request or to count
// causes, so that logs of any length can be read from a pipe.
package explain
