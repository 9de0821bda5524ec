package caller

import (
	"io"
	"math"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"coltsfootward"
	"coltsfootward/core/node"
	"coltsfootward/io/wire"
)

// bearer is the scheme under which callers send their keys.
const bearer = "Bearer "

// ServeRouted serves a request that the configuration's routes send to a
// service. It is the handler of a face whose options name the header fields.
func (f *Face) ServeRouted(w http.ResponseWriter, r *http.Request) {
	refuse := func(w http.ResponseWriter, refusal coltsfootward.Refusal) { f.writeRouted(w, r, refusal) }
	event, refused := f.routedEvent(w, r)
	if refused != nil {
		refuse(w, *refused)
		return
	}
	body, err := wire.ReadBody(r.Body, math.MaxInt64)
	if err != nil {
		refuse(w, coltsfootward.NewRefusal(coltsfootward.RefusalBadRequest, "the body broke off before its end"))
		return
	}
	call := f.loop.Open()
	defer call.Close()
	event.Call = call.ID
	e := &exchange{face: f, call: call, request: r, writer: w, body: body, header: f.options.Routed.PassedOn(r.Header), refuse: refuse}
	f.loop.Post(event)
	e.run()
}

// routedEvent reads what the decisions need from the request.
func (f *Face) routedEvent(w http.ResponseWriter, r *http.Request) (node.RequestArrived, *coltsfootward.Refusal) {
	fields := f.options.Routed
	ids := r.Header.Values(fields.Request)
	if len(ids) != 1 || ids[0] == "" || len(ids[0]) > maximumRequestID {
		return node.RequestArrived{}, refuse(coltsfootward.RefusalBadRequest, "give the request one name in "+fields.Request)
	}
	if r.Host == "" || !strings.HasPrefix(r.RequestURI, "/") {
		return node.RequestArrived{}, refuse(coltsfootward.RefusalBadRequest, "give a Host and a path that begins with a slash")
	}
	e := node.RequestArrived{
		Routed:  true,
		Host:    hostOf(r),
		Method:  r.Method,
		Path:    r.RequestURI,
		Request: coltsfootward.RequestID(ids[0]),
	}
	if key, ok := strings.CutPrefix(r.Header.Get("Authorization"), bearer); ok && key != "" {
		e.Key = coltsfootward.DigestKey(key)
	}
	if milliseconds, err := strconv.ParseInt(r.Header.Get(fields.Deadline), 10, 32); err == nil && milliseconds > 0 {
		// What the request has waited behind others on its connection counts: its
		// caller has been waiting as long.
		waited := time.Duration(0)
		if a, ok := w.(interface{ Arrived() time.Time }); ok {
			waited = time.Since(a.Arrived())
		}
		e.Timeout = max(time.Duration(milliseconds)*time.Millisecond-waited, time.Millisecond)
	}
	return e, nil
}

// maximumRequestID bounds a request's name in bytes, since it is logged.
const maximumRequestID = 128

// hostOf returns the host that a request names, without a port.
func hostOf(r *http.Request) string {
	if !strings.Contains(r.Host, ":") {
		return r.Host
	}
	if host, _, err := net.SplitHostPort(r.Host); err == nil {
		return host
	}
	return r.Host
}

// EagerIn returns which requests may be begun before those ahead of them on
// their connection have been answered: those that may run twice. If an answer
// ahead closes the connection, the caller sends all that is behind it again.
func EagerIn(configuration func() coltsfootward.Configuration) func(*http.Request) bool {
	return func(r *http.Request) bool {
		route, ok := configuration().Route(hostOf(r), r.RequestURI)
		return ok && !route.Unrepeatable
	}
}

// writeRouted answers a routed request with a refusal, at once.
func (f *Face) writeRouted(w http.ResponseWriter, r *http.Request, refusal coltsfootward.Refusal) {
	h := w.Header()
	h.Set(f.options.Routed.Request, r.Header.Get(f.options.Routed.Request))
	h.Set("Content-Type", "text/plain; charset=utf-8")
	if refusal.RetryAfter > 0 {
		h.Set("Retry-After", strconv.FormatFloat(refusal.RetryAfter.Seconds(), 'f', 3, 64))
	}
	text := refusal.Detail + "\n"
	h.Set("Content-Length", strconv.Itoa(len(text)))
	w.WriteHeader(RoutedStatus(refusal))
	_, _ = io.WriteString(w, text) // the caller may have left
}

// RoutedStatus returns the status of a refusal in a routed deployment, where the
// status alone tells callers whether the request may have run: 429 and 503 say
// that it has not and never will, 502 and 504 say nothing.
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
