// Package upstream speaks to the local backend server: it sends the requests
// that the node dispatches and takes the backend server's announcements.
package upstream
