package caller

import (
	"net/http"
	"strings"

	"coltsfootward/io/wire"
)

// The header fields that callers and backend servers use.
const (
	// HeaderTimeout is the caller's timeout in milliseconds.
	HeaderTimeout = "Coltsfootward-Timeout-Ms"
	// HeaderAttempt is the caller's own count of its repeats; the first is 1.
	HeaderAttempt = "Coltsfootward-Attempt"
	// HeaderIdempotencyKey names a request that must not run twice.
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderCallToken is what a backend server passes on with further calls.
	HeaderCallToken = "Coltsfootward-Call-Token"
	// HeaderRequest names the request in answers, logs and the time line.
	HeaderRequest = "Coltsfootward-Request"
	// HeaderOrganisation tells the backend server whom the request is for.
	HeaderOrganisation = "Coltsfootward-Organisation"
	// HeaderExecution says in a refusal whether the request ran.
	HeaderExecution = "Coltsfootward-Execution"
	// HeaderRefusal is the kind of a refusal.
	HeaderRefusal = "Coltsfootward-Refusal"
	// HeaderReplayed marks an answer that is the first request's, kept for
	// repeats of its Idempotency-Key.
	HeaderReplayed = "Coltsfootward-Replayed"
	// HeaderDeadline tells the backend server how many milliseconds are left.
	HeaderDeadline = "Coltsfootward-Deadline-Ms"
)

// ownPrefix marks the fields that only nodes set.
const ownPrefix = "Coltsfootward-"

// credentialFields may hold the caller's key. They end at the entry node.
var credentialFields = map[string]bool{"Authorization": true, "Cookie": true, "X-Api-Key": true}

// PassedOn returns the fields of a request that go to the backend server:
// none that belong to the connection, none that may hold the caller's key and
// none that only nodes set. A field whose name or value holds the key is left
// out whatever it is.
func PassedOn(h http.Header, key string) map[string][]string {
	passed := make(map[string][]string, len(h))
	for name, values := range h {
		if wire.HopField(h, name) || credentialFields[name] || strings.HasPrefix(name, ownPrefix) {
			continue
		}
		if key != "" && (holds(values, key) || containsFold(name, key)) {
			continue
		}
		passed[name] = values
	}
	return passed
}

// AnswerFields returns the fields of a backend server's answer that go back.
func AnswerFields(h http.Header) map[string][]string {
	passed := make(map[string][]string, len(h))
	for name, values := range h {
		if wire.HopField(h, name) || strings.HasPrefix(name, ownPrefix) {
			continue
		}
		passed[name] = values
	}
	return passed
}

func holds(values []string, key string) bool {
	for _, value := range values {
		if strings.Contains(value, key) {
			return true
		}
	}
	return false
}

// containsFold reports whether the text holds the key in any case: the names of
// fields are brought into their canonical one.
func containsFold(text, key string) bool {
	return strings.Contains(strings.ToLower(text), strings.ToLower(key))
}
