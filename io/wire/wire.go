// Package wire describes the HTTP header fields that callers, nodes and backend servers
// of a routed deployment use, and reads bodies and headers with limits. The
// deployment's platform package supplies the names of the fields, so that the HTTP
// handlers depend only on their meaning.
package wire

import (
	"net/http"
	"strings"
)

// Fields holds the names of the header fields in canonical form.
type Fields struct {
	// Request carries the request ID, in requests and in responses.
	Request string
	// Deadline carries the remaining time for the response in milliseconds.
	Deadline string
	// Stamp marks the responses that a backend server has produced itself.
	Stamp string
	// Organisation names, to the backend server, the organisation of a request.
	Organisation string
	// Expected identifies the backend server that a request is intended for.
	Expected string
	// Backend identifies the backend server that sent a response.
	Backend string
	// Load carries the numbers of running requests, waiting requests and slots of a
	// backend server and how long work takes there in percent of the usual duration,
	// separated by commas. Further figures may follow.
	Load string
	// NotRun is set in a response if the backend server did not execute the request.
	NotRun string
	// Caller carries the service of the backend server at the node where the request
	// entered.
	Caller string
	// Cold carries the remaining cold period of a backend server in milliseconds.
	Cold string
	// Limit carries the number of requests per second that a backend server takes from
	// all nodes together.
	Limit string
	// Leaving has the value 1 if the backend server is about to stop.
	Leaving string
}

// IsResponseTo reports whether a response was produced by the backend server for the
// request with the given ID. A surplus response on a keep-alive connection carries
// another ID, and a success without the stamp was produced by another program.
func (f Fields) IsResponseTo(request string, status int, h http.Header) bool {
	if id := h.Get(f.Request); id != "" && id != request {
		return false
	}
	return status < http.StatusOK || status >= http.StatusMultipleChoices || h.Get(f.Stamp) != ""
}

// hopByHopFields apply to one connection only (RFC 9110) and are not forwarded. Expect
// is handled by the node that reads the body.
var hopByHopFields = map[string]bool{
	"Expect": true, "Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true, "Proxy-Authorization": true,
	"Proxy-Connection": true, "Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
}

// IsHopByHop reports whether a field is hop-by-hop, either by its name or because the
// Connection field of h lists it.
func IsHopByHop(h http.Header, name string) bool {
	if hopByHopFields[name] {
		return true
	}
	for _, value := range h["Connection"] {
		for listed := range strings.SplitSeq(value, ",") {
			if http.CanonicalHeaderKey(strings.TrimSpace(listed)) == name {
				return true
			}
		}
	}
	return false
}

// RequestFields returns the header fields of a request that are forwarded to the backend
// server: all except the hop-by-hop fields, the caller's API key, and the fields that
// nodes set themselves, whose values from the caller are ignored.
func (f Fields) RequestFields(h http.Header) map[string][]string {
	forwarded := make(map[string][]string, len(h))
	for name, values := range h {
		if IsHopByHop(h, name) || f.setByNodes(name) || name == "Authorization" && hasBearer(values) {
			continue
		}
		forwarded[name] = values
	}
	return forwarded
}

// setByNodes reports whether nodes set the field themselves.
func (f Fields) setByNodes(name string) bool {
	switch name {
	case f.Deadline, f.Organisation, f.Expected, f.Caller, "Content-Length":
		return true
	default:
		return false
	}
}

func hasBearer(values []string) bool {
	for _, value := range values {
		if scheme, _, _ := strings.Cut(value, " "); strings.EqualFold(scheme, "Bearer") {
			return true
		}
	}
	return false
}

// ResponseFields returns the header fields of a backend server's response that are
// relayed to the caller: all except the hop-by-hop fields and those meant for the node.
func (f Fields) ResponseFields(h http.Header) map[string][]string {
	relayed := make(map[string][]string, len(h))
	for name, values := range h {
		if IsHopByHop(h, name) || name == f.Load || name == f.Backend || name == f.NotRun {
			continue
		}
		relayed[name] = values
	}
	return relayed
}
