//go:build review

package stand

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"
)

// Answer is what a client received: the status, or 0 and the error.
type Answer struct {
	Status     int
	Stamp      string
	RetryAfter string
	Err        error
}

// String describes the answer.
func (a Answer) String() string {
	if a.Status == 0 {
		return fmt.Sprintf("no answer (%v)", a.Err)
	}
	return strconv.Itoa(a.Status)
}

// NewID returns a request's id.
func NewID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// Send sends a request on a new connection and waits for the answer until the deadline.
func Send(m *Machine, id, method, host, path, key string, body []byte, deadline time.Duration) Answer {
	return SendBody(m, id, method, host, path, key, bytes.NewReader(body), int64(len(body)), deadline)
}

// SendBody is Send with a body that is read from a reader.
func SendBody(m *Machine, id, method, host, path, key string, body io.Reader, length int64, deadline time.Duration) Answer {
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+m.Ports.Callers+path, io.NopCloser(body))
	if err != nil {
		return Answer{Err: err}
	}
	request.Host = host
	request.ContentLength = length
	if length == 0 {
		request.Body = nil
	}
	request.Header.Set("Coltsfootward-Request-Id", id)
	request.Header.Set("Coltsfootward-Deadline-Ms", strconv.FormatInt(deadline.Milliseconds(), 10))
	request.Header.Set("Authorization", "Bearer "+key)
	response, err := (&http.Transport{DisableKeepAlives: true, DisableCompression: true}).RoundTrip(request)
	if err != nil {
		return Answer{Err: err}
	}
	defer response.Body.Close()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return Answer{Err: err}
	}
	return Answer{Status: response.StatusCode, Stamp: response.Header.Get("Coltsfootward-Response-Stamp"), RetryAfter: response.Header.Get("Retry-After")}
}
