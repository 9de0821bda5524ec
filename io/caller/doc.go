// Package caller serves HTTP requests from external callers, and child calls
// from the local backend server.
package caller
