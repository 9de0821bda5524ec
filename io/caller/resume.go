package caller

import (
	"fmt"
	"net/http"
	"strings"
	"time"

	"coltsfootward/io/peer"
)

// download is the state of a response that is being sent to the caller. If the
// response is truncated, the remainder of its body may be requested with another
// attempt.
type download struct {
	// begun is set once the response's head has been sent to the caller.
	begun bool
	// written is the number of bytes of the body that have been sent to the caller.
	written int64
	// total is the Content-Length of the first response.
	total string
	// validator is the strong validator of the body, an entity tag or a date. It is
	// empty if the download can't be resumed.
	validator string
}

// begin records the head of the first response. The remainder of a body may be
// requested only if it is certain to belong to the same body: the backend server
// has given a strong validator and supports range requests. With a weak validator
// a caller could receive the first half of one version and the second half of
// another.
func (d *download) begin(method string, response *peer.Response) {
	d.begun = true
	head := http.Header(response.Head.Header)
	if method != http.MethodGet || response.Head.Status != http.StatusOK || head.Get("Accept-Ranges") != "bytes" {
		return
	}
	if head.Get("Content-Encoding") != "" || head.Get("Content-Length") == "" {
		return
	}
	d.total = head.Get("Content-Length")
	d.validator = strongValidator(head)
}

// strongValidator returns the response's strong validator, or the empty string if it
// has none. By RFC 9110 a date is strong only if the body has not changed for some
// time before the response: two changes within one second have the same date.
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
	if err != nil || sent.Sub(modified) < minimumUnmodified {
		return ""
	}
	return head.Get("Last-Modified")
}

// minimumUnmodified is the time without a modification after which Last-Modified
// is a strong validator.
const minimumUnmodified = time.Minute

// resumable reports whether the remainder of the body can be requested.
func (d *download) resumable() bool { return d.validator != "" && d.written > 0 }

// rangeHeader returns the request's header. After a part of the response has been
// sent, it adds the fields that request the remainder.
func (d *download) rangeHeader(h map[string][]string) map[string][]string {
	if !d.begun {
		return h
	}
	ranged := make(map[string][]string, len(h)+2)
	for name, values := range h {
		ranged[name] = values
	}
	ranged["Range"] = []string{fmt.Sprintf("bytes=%d-", d.written)}
	ranged["If-Range"] = []string{d.validator}
	return ranged
}

// isContinuation reports whether the response is the remainder of the same body.
// Any status but 206 means that the body has changed or that the backend server
// has not applied the range.
func (d *download) isContinuation(response *peer.Response) bool {
	head := http.Header(response.Head.Header)
	if response.Head.Status != http.StatusPartialContent {
		return false
	}
	if tag := head.Get("ETag"); tag != "" && strings.HasPrefix(d.validator, `"`) && tag != d.validator {
		return false
	}
	return strings.HasPrefix(head.Get("Content-Range"), fmt.Sprintf("bytes %d-", d.written)) &&
		strings.HasSuffix(head.Get("Content-Range"), "/"+d.total)
}
