package caller

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"coltsfootward"
	"coltsfootward/core/node"
	"coltsfootward/io/loop"
	"coltsfootward/io/peer"
	"coltsfootward/io/wire"

	"github.com/cespare/xxhash/v2"
	"github.com/gorilla/mux"
)

// DefaultMaximumBody is the default of Options.MaximumBody, in bytes.
const DefaultMaximumBody = 1 << 20

// Options are a face's settings. The zero value works.
type Options struct {
	// MaximumBody bounds a request's body in bytes. Zero means DefaultMaximumBody.
	MaximumBody int64
	// Routed, if not nil, has requests routed by host and path, with the header
	// fields that it names.
	Routed *wire.Fields
	// Local is set for the face towards the local backend server: its requests
	// bring a call token instead of a key.
	Local bool
}

// Face takes requests over HTTP and sees each to its answer. Create it with
// New. It is safe for concurrent use.
type Face struct {
	loop      *loop.Loop
	transport *peer.Transport
	options   Options
}

// New returns a face with default options.
func New(l *loop.Loop, t *peer.Transport) *Face {
	return NewWithOptions(l, t, Options{})
}

// NewWithOptions returns a face.
func NewWithOptions(l *loop.Loop, t *peer.Transport, options Options) *Face {
	if options.MaximumBody <= 0 {
		options.MaximumBody = DefaultMaximumBody
	}
	return &Face{loop: l, transport: t, options: options}
}

// Register adds the face's route, /{service}/{path}, to the router. It goes
// last, since it matches every path.
func (f *Face) Register(router *mux.Router) {
	router.SkipClean(true)
	router.UseEncodedPath()
	router.HandleFunc("/{service}", f.serve)
	router.HandleFunc("/{service}/{path:.*}", f.serve)
}

func (f *Face) serve(w http.ResponseWriter, r *http.Request) {
	event, key, refused := f.event(r)
	if refused != nil {
		writeRefusal(w, *refused)
		return
	}
	body, refused := f.body(w, r)
	if refused != nil {
		writeRefusal(w, *refused)
		return
	}
	if key != "" && keyInContent(r, body, key) {
		writeRefusal(w, coltsfootward.NewRefusal(coltsfootward.RefusalBadRequest,
			"path, query, Idempotency-Key or body hold the caller's key, which no backend server may see: send it in Authorization only"))
		return
	}
	call := f.loop.Open()
	defer call.Close()
	event.Call = call.ID
	if event.IdempotencyKey != "" {
		event.Body = xxhash.Sum64(body)
	}
	e := &exchange{face: f, call: call, request: r, writer: w, body: body, header: PassedOn(r.Header, key), refuse: writeRefusal}
	f.loop.Post(event)
	e.run()
}

// event reads what the decisions need from the request. The key leaves this
// function only as a digest, and as a value to keep out of what is passed on.
func (f *Face) event(r *http.Request) (node.RequestArrived, string, *coltsfootward.Refusal) {
	e := node.RequestArrived{
		Service:        coltsfootward.ServiceName(mux.Vars(r)["service"]),
		Method:         r.Method,
		Path:           servicePath(r),
		IdempotencyKey: r.Header.Get(HeaderIdempotencyKey),
	}
	if len(e.IdempotencyKey) > maximumIdempotencyKey {
		return e, "", badRequest(fmt.Errorf("%s is longer than %d bytes", HeaderIdempotencyKey, maximumIdempotencyKey))
	}
	var err error
	if e.Attempt, err = positive(r, HeaderAttempt, 1); err != nil {
		return e, "", badRequest(err)
	}
	milliseconds, err := positive(r, HeaderTimeout, 0)
	if err != nil {
		return e, "", badRequest(err)
	}
	e.Timeout = time.Duration(milliseconds) * time.Millisecond
	if f.options.Local {
		e.Token = node.CallToken(r.Header.Get(HeaderCallToken))
		if e.Token == "" {
			return e, "", refuse(coltsfootward.RefusalCallToken, HeaderCallToken+" is missing")
		}
		return e, "", nil
	}
	key, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok || key == "" {
		return e, "", refuse(coltsfootward.RefusalUnauthenticated, "Authorization is missing or not of the Bearer scheme")
	}
	e.Key = coltsfootward.DigestKey(key)
	return e, key, nil
}

// keyInContent reports whether the key stands where it would be passed on. It
// can't be taken out of there without changing what the caller asks for.
func keyInContent(r *http.Request, body []byte, key string) bool {
	places := []string{r.URL.Path, r.URL.EscapedPath(), r.URL.RawQuery, r.Header.Get(HeaderIdempotencyKey)}
	if query, err := url.QueryUnescape(r.URL.RawQuery); err == nil {
		places = append(places, query)
	}
	return holds(places, key) || bytes.Contains(body, []byte(key))
}

// servicePath returns path and query below the service's name, as sent.
func servicePath(r *http.Request) string {
	path := r.URL.EscapedPath()
	_, rest, _ := strings.Cut(strings.TrimPrefix(path, "/"), "/")
	rest = "/" + rest
	if r.URL.RawQuery != "" {
		rest += "?" + r.URL.RawQuery
	}
	return rest
}

func (f *Face) body(w http.ResponseWriter, r *http.Request) ([]byte, *coltsfootward.Refusal) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, f.options.MaximumBody))
	if err == nil {
		return body, nil
	}
	var large *http.MaxBytesError
	if errors.As(err, &large) {
		return nil, refuse(coltsfootward.RefusalTooLarge, fmt.Sprintf("the body is larger than %d bytes", large.Limit))
	}
	return nil, refuse(coltsfootward.RefusalBadRequest, "the body broke off before its end")
}

// maximumIdempotencyKey bounds an idempotency key in bytes, since holders keep
// many of them in memory.
const maximumIdempotencyKey = 255

// maximumHeaderNumber bounds the numbers in header fields, so that they cannot
// overflow a duration.
const maximumHeaderNumber = math.MaxInt32

func positive(r *http.Request, name string, otherwise int) (int, error) {
	text := r.Header.Get(name)
	if text == "" {
		return otherwise, nil
	}
	n, err := strconv.Atoi(text)
	if err != nil || n < 1 || n > maximumHeaderNumber {
		return 0, fmt.Errorf("%s must be a whole number from 1 to %d", name, maximumHeaderNumber)
	}
	return n, nil
}

func badRequest(err error) *coltsfootward.Refusal {
	return refuse(coltsfootward.RefusalBadRequest, err.Error())
}

func refuse(kind coltsfootward.RefusalKind, detail string) *coltsfootward.Refusal {
	r := coltsfootward.NewRefusal(kind, detail)
	return &r
}

// refusalBody is what a refused caller reads.
type refusalBody struct {
	Kind         coltsfootward.RefusalKind `json:"kind"`
	Execution    coltsfootward.Execution   `json:"execution"`
	Detail       string                    `json:"detail"`
	Remedy       string                    `json:"remedy"`
	RetryAfterMS int64                     `json:"retry_after_ms"`
}

// writeRefusal answers with a refusal, at once.
func writeRefusal(w http.ResponseWriter, r coltsfootward.Refusal) {
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set(HeaderRefusal, string(r.Kind))
	h.Set(HeaderExecution, string(r.Execution))
	if r.RetryAfter > 0 {
		h.Set("Retry-After", strconv.Itoa(int(math.Ceil(r.RetryAfter.Seconds()))))
	}
	w.WriteHeader(r.Status())
	body := refusalBody{
		Kind: r.Kind, Execution: r.Execution, Detail: r.Detail, Remedy: r.Remedy(),
		RetryAfterMS: r.RetryAfter.Milliseconds(),
	}
	_ = json.NewEncoder(w).Encode(body) // the caller may have left
}
