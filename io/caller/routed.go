package caller

import (
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"coltsfootward"
	"coltsfootward/core/node"

	"github.com/cespare/xxhash/v2"
)

// bearer is the prefix of the Authorization field with a caller's key.
const bearer = "Bearer "

// ServeRouted serves a request whose service is found by the configuration's
// routes. It requires Options.Routed.
func (h *Handler) ServeRouted(w http.ResponseWriter, r *http.Request) {
	refuse := func(w http.ResponseWriter, refusal coltsfootward.Refusal) { h.writeRoutedRefusal(w, r, refusal) }
	event, refused := h.parseRoutedRequest(w, r)
	if refused != nil {
		refuse(w, *refused)
		return
	}
	body, err := readWhole(r)
	if err != nil {
		refuse(w, coltsfootward.NewRefusal(coltsfootward.RefusalBadRequest, "the body broke off before its end"))
		return
	}
	call := h.loop.Open()
	defer call.Close()
	event.Call = call.ID
	event.Body = xxhash.Sum64(body)
	e := &exchange{handler: h, call: call, request: r, writer: w, body: body, header: h.options.Routed.RequestFields(r.Header), refuse: refuse}
	h.loop.Post(event)
	e.run()
}

// parseRoutedRequest returns the event for the state machine.
func (h *Handler) parseRoutedRequest(w http.ResponseWriter, r *http.Request) (node.RequestArrived, *coltsfootward.Refusal) {
	fields := h.options.Routed
	ids := r.Header.Values(fields.Request)
	if len(ids) != 1 || ids[0] == "" || len(ids[0]) > maximumRequestID {
		return node.RequestArrived{}, newRefusal(coltsfootward.RefusalBadRequest, "give the request one name in "+fields.Request)
	}
	if r.Host == "" || !strings.HasPrefix(r.RequestURI, "/") {
		return node.RequestArrived{}, newRefusal(coltsfootward.RefusalBadRequest, "give a Host and a path that begins with a slash")
	}
	e := node.RequestArrived{
		Routed:  true,
		Host:    hostOf(r),
		Method:  r.Method,
		Path:    r.RequestURI,
		Request: coltsfootward.RequestID(ids[0]),
	}
	e.Key = routedKey(r)
	if milliseconds, err := strconv.ParseInt(r.Header.Get(fields.Deadline), 10, 32); err == nil && milliseconds > 0 {
		// The caller's deadline includes the time that the request has waited behind
		// others on its connection.
		waited := time.Duration(0)
		if a, ok := w.(interface{ Arrived() time.Time }); ok {
			waited = time.Since(a.Arrived())
		}
		e.Timeout = max(time.Duration(milliseconds)*time.Millisecond-waited, time.Millisecond)
		e.Expires = h.loop.Now().Expiry + e.Timeout
	}
	return e, nil
}

// routedKey returns the digest of the request's key, or nothing if it has none.
func routedKey(r *http.Request) coltsfootward.KeyDigest {
	if key, ok := strings.CutPrefix(r.Header.Get("Authorization"), bearer); ok && key != "" {
		return coltsfootward.DigestKey(key)
	}
	return ""
}

// maximumRequestID is the maximum length of a request ID in bytes. Request IDs are
// logged.
const maximumRequestID = 128

// hostOf returns the request's host without the port.
func hostOf(r *http.Request) string {
	if !strings.Contains(r.Host, ":") {
		return r.Host
	}
	if host, _, err := net.SplitHostPort(r.Host); err == nil {
		return host
	}
	return r.Host
}

// EagerIfRepeatable returns a function for ServerOptions.Eager, which reports whether the
// request's route permits the request to run twice. A request that is started early
// may run twice: if the response to a preceding request closes the connection, the
// caller sends all requests after that one again.
func EagerIfRepeatable(configuration func() coltsfootward.Configuration) func(*http.Request) bool {
	return func(r *http.Request) bool {
		route, ok := configuration().Route(hostOf(r), r.RequestURI)
		return ok && !route.Unrepeatable
	}
}

// BodyOwner returns a function for ServerOptions.Owner, which returns the name of the
// organisation that a request is charged to.
func BodyOwner(configuration func() coltsfootward.Configuration) func(*http.Request) (string, *coltsfootward.Refusal) {
	return func(r *http.Request) (string, *coltsfootward.Refusal) {
		_, organisation, refused := node.Authorise(configuration(), hostOf(r), r.RequestURI, routedKey(r))
		return string(organisation.Name), refused
	}
}

// RefuseRouted writes a refusal as the response to a request that was not passed to
// ServeRouted. The request is nil if its header could not be read.
func (h *Handler) RefuseRouted(w http.ResponseWriter, r *http.Request, refusal coltsfootward.Refusal) {
	if r == nil {
		r = &http.Request{}
	}
	h.writeRoutedRefusal(w, r, refusal)
}

// writeRoutedRefusal writes a refusal as the response to a routed request.
func (h *Handler) writeRoutedRefusal(w http.ResponseWriter, r *http.Request, refusal coltsfootward.Refusal) {
	header := w.Header()
	if id := r.Header.Get(h.options.Routed.Request); id != "" {
		header.Set(h.options.Routed.Request, id)
	}
	header.Set("Content-Type", "text/plain; charset=utf-8")
	if refusal.RetryAfter > 0 {
		header.Set("Retry-After", strconv.FormatFloat(refusal.RetryAfter.Seconds(), 'f', 3, 64))
	}
	text := refusal.Detail + "\n"
	header.Set("Content-Length", strconv.Itoa(len(text)))
	w.WriteHeader(RoutedStatus(refusal))
	_, _ = io.WriteString(w, text) // the caller may have disconnected
}

// RoutedStatus returns the HTTP status of a refusal in a routed deployment, where
// callers learn only from the status whether the request may have run: with 429
// and 503 it has not run and never will, with 502 and 504 it may have run.
func RoutedStatus(r coltsfootward.Refusal) int {
	status := r.Status()
	switch {
	case r.Execution != coltsfootward.ExecutionNotRun && r.Kind == coltsfootward.RefusalTimeout:
		return http.StatusGatewayTimeout
	case r.Execution != coltsfootward.ExecutionNotRun:
		return http.StatusBadGateway
	case status >= http.StatusInternalServerError:
		return http.StatusServiceUnavailable
	default:
		return status
	}
}
