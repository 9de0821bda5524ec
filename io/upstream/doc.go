// Package upstream communicates with the local backend server: it sends the requests
// that the node dispatches, receives the backend server's announcements and checks
// its health.
package upstream
