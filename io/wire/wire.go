// Package wire names the header fields that callers, nodes and backend servers
// of a routed deployment use. The deployment's platform fills them in, so that
// the faces know what a field means and not what it is called.
package wire

import (
	"net/http"
	"strings"
)

// Fields are the names of header fields in canonical form.
type Fields struct {
	// Request names the request, in requests and in answers.
	Request string
	// Deadline is how many milliseconds are left for the answer.
	Deadline string
	// Stamp marks the answers that a backend server has made.
	Stamp string
	// Organisation tells the backend server whom a request is for.
	Organisation string
	// Expected names the backend server that a request is meant for.
	Expected string
	// Backend names the backend server that an answer is from.
	Backend string
	// Load is a backend server's running and waiting requests and its slots,
	// separated by commas.
	Load string
	// NotRun is set in the answers of a backend server that did not run the
	// request.
	NotRun string
	// Caller is the service beside the node that the request entered at.
	Caller string
	// Cold is how many milliseconds longer a backend server is cold.
	Cold string
}

// Answers reports whether an answer is a backend server's own to the request of
// that name. An extra answer on a kept connection bears another name, and a success
// without the stamp was made by something else.
func (f Fields) Answers(request string, status int, h http.Header) bool {
	if id := h.Get(f.Request); id != "" && id != request {
		return false
	}
	return status < http.StatusOK || status >= http.StatusMultipleChoices || h.Get(f.Stamp) != ""
}

// hopFields belong to one connection by RFC 9110 and are not passed on. Expect
// is answered by the node that reads the body.
var hopFields = map[string]bool{
	"Expect": true, "Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true, "Proxy-Authorization": true,
	"Proxy-Connection": true, "Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
}

// HopField reports whether a field belongs to one connection by its name or
// because the header's Connection field names it.
func HopField(h http.Header, name string) bool {
	if hopFields[name] {
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

// PassedOn returns the fields of a request that go to the backend server: all
// but those of the connection, the caller's key, and those that nodes set
// themselves whatever the caller sent.
func (f Fields) PassedOn(h http.Header) map[string][]string {
	passed := make(map[string][]string, len(h))
	for name, values := range h {
		if HopField(h, name) || f.own(name) || name == "Authorization" && bearerOnly(values) {
			continue
		}
		passed[name] = values
	}
	return passed
}

// own reports whether nodes set the field themselves.
func (f Fields) own(name string) bool {
	switch name {
	case f.Deadline, f.Organisation, f.Expected, f.Caller, "Content-Length":
		return true
	default:
		return false
	}
}

func bearerOnly(values []string) bool {
	for _, value := range values {
		if scheme, _, _ := strings.Cut(value, " "); strings.EqualFold(scheme, "Bearer") {
			return true
		}
	}
	return false
}

// AnswerFields returns the fields of a backend server's answer that go back to
// the caller: all but those of the connection and those meant for the node.
func (f Fields) AnswerFields(h http.Header) map[string][]string {
	passed := make(map[string][]string, len(h))
	for name, values := range h {
		if HopField(h, name) || name == f.Load || name == f.Backend || name == f.NotRun {
			continue
		}
		passed[name] = values
	}
	return passed
}
