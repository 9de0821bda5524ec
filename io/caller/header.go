package caller

import (
	"net/http"
	"strings"

	"coltsfootward/io/wire"
)

// The names of the header fields used by callers and backend servers.
const (
	// HeaderTimeout is the caller's timeout in milliseconds.
	HeaderTimeout = "Coltsfootward-Timeout-Ms"
	// HeaderAttempt is the number of the caller's own attempt; the first is 1.
	HeaderAttempt = "Coltsfootward-Attempt"
	// HeaderIdempotencyKey identifies a request that must not run twice.
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderCallToken identifies the request that a backend server is serving. The
	// backend server copies it to its child calls.
	HeaderCallToken = "Coltsfootward-Call-Token"
	// HeaderRequest is the request's ID, used in responses, logs and the timeline.
	HeaderRequest = "Coltsfootward-Request"
	// HeaderOrganisation is the organisation that made the request, for the backend
	// server.
	HeaderOrganisation = "Coltsfootward-Organisation"
	// HeaderExecution is set in a refusal and reports whether the request ran.
	HeaderExecution = "Coltsfootward-Execution"
	// HeaderRefusal is the kind of a refusal.
	HeaderRefusal = "Coltsfootward-Refusal"
	// HeaderReplayed marks a response that was retained from an earlier request
	// with the same Idempotency-Key.
	HeaderReplayed = "Coltsfootward-Replayed"
	// HeaderDeadline is the remaining time for the request in milliseconds, for the
	// backend server.
	HeaderDeadline = "Coltsfootward-Deadline-Ms"
	// HeaderServerLimit, in a backend server's response, is the number of requests per
	// second that the server takes from all nodes together.
	HeaderServerLimit = "Coltsfootward-Server-Limit"
	// HeaderServerLeaving, in a backend server's response, has the value 1 if the
	// server is about to stop and takes no new requests.
	HeaderServerLeaving = "Coltsfootward-Server-Leaving"
)

// reservedPrefix is the prefix of the fields that only nodes may set.
const reservedPrefix = "Coltsfootward-"

// credentialFields are the fields that may contain the caller's key. The entry node
// does not forward them.
var credentialFields = map[string]bool{"Authorization": true, "Cookie": true, "X-Api-Key": true}

// RequestFields returns the header fields of a request that are forwarded to the
// backend server. It omits hop-by-hop fields, credentials, fields that only nodes
// may set, and any field whose name or value contains the caller's key. An empty
// key matches nothing.
func RequestFields(h http.Header, key string) map[string][]string {
	forwarded := make(map[string][]string, len(h))
	for name, values := range h {
		if wire.IsHopByHop(h, name) || credentialFields[name] || strings.HasPrefix(name, reservedPrefix) {
			continue
		}
		if key != "" && (containsKey(values, key) || containsFold(name, key)) {
			continue
		}
		forwarded[name] = values
	}
	return forwarded
}

// ResponseFields returns the header fields of a backend server's response that are
// forwarded to the caller. It omits hop-by-hop fields and fields that only nodes
// may set.
func ResponseFields(h http.Header) map[string][]string {
	forwarded := make(map[string][]string, len(h))
	for name, values := range h {
		if wire.IsHopByHop(h, name) || strings.HasPrefix(name, reservedPrefix) {
			continue
		}
		forwarded[name] = values
	}
	return forwarded
}

func containsKey(values []string, key string) bool {
	for _, value := range values {
		if strings.Contains(value, key) {
			return true
		}
	}
	return false
}

// containsFold reports whether the text contains the key, ignoring case. Field
// names are canonicalised on receipt, so their case differs from that of the key.
func containsFold(text, key string) bool {
	return strings.Contains(strings.ToLower(text), strings.ToLower(key))
}
