package caller

import (
	"fmt"
	"net/http"
	"strings"
	"time"

	"coltsfootward/io/peer"
)

// download is what has been passed on of an answer, so that its rest can be
// fetched if it breaks off.
type download struct {
	// begun is set once the answer's head has gone to the caller.
	begun bool
	// written counts the bytes of the body that have.
	written int64
	// total is the body's length by the first answer's head.
	total string
	// validator is the strong one by which the rest is known to be of the same
	// body; empty if the answer cannot be resumed.
	validator string
}

// begin notes the first answer's head. The rest of a body may be fetched only
// if that is certain to be of the same body: the backend server gave a strong
// validator and says that it serves ranges. A weak validator would let a
// caller read half of one bulletin and half of another.
func (d *download) begin(method string, answer *peer.Answer) {
	d.begun = true
	head := http.Header(answer.Head.Header)
	if method != http.MethodGet || answer.Head.Status != http.StatusOK || head.Get("Accept-Ranges") != "bytes" {
		return
	}
	if head.Get("Content-Encoding") != "" || head.Get("Content-Length") == "" {
		return
	}
	d.total = head.Get("Content-Length")
	d.validator = strongValidator(head)
}

// strongValidator returns the answer's strong validator, or the empty text. By
// RFC 9110 a date is strong only if the body was left alone since: changed
// twice within one second, it would bear the same date.
func strongValidator(head http.Header) string {
	if tag := head.Get("ETag"); tag != "" {
		if strings.HasPrefix(tag, "W/") {
			return ""
		}
		return tag
	}
	modified, err := http.ParseTime(head.Get("Last-Modified"))
	if err != nil {
		return ""
	}
	sent, err := http.ParseTime(head.Get("Date"))
	if err != nil || sent.Sub(modified) < minimumAge {
		return ""
	}
	return head.Get("Last-Modified")
}

// minimumAge is how long a body must have been left alone for its date to
// identify it.
const minimumAge = time.Minute

// resumable reports whether the rest can be fetched.
func (d *download) resumable() bool { return d.validator != "" && d.written > 0 }

// header returns the request's header with what asks for the rest.
func (d *download) header(h map[string][]string) map[string][]string {
	if !d.begun {
		return h
	}
	asking := make(map[string][]string, len(h)+2)
	for name, values := range h {
		asking[name] = values
	}
	asking["Range"] = []string{fmt.Sprintf("bytes=%d-", d.written)}
	asking["If-Range"] = []string{d.validator}
	return asking
}

// continues reports whether the answer is the rest of the same body. With
// another status the body has changed or the range was not understood.
func (d *download) continues(answer *peer.Answer) bool {
	head := http.Header(answer.Head.Header)
	if answer.Head.Status != http.StatusPartialContent {
		return false
	}
	if tag := head.Get("ETag"); tag != "" && strings.HasPrefix(d.validator, `"`) && tag != d.validator {
		return false
	}
	return strings.HasPrefix(head.Get("Content-Range"), fmt.Sprintf("bytes %d-", d.written)) &&
		strings.HasSuffix(head.Get("Content-Range"), "/"+d.total)
}
