// Package caller serves callers over HTTP: those outside, and the local
// backend server where it calls further services.
package caller
