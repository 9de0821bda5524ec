package caller

import (
	"bytes"
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
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

// Options are the settings of a Handler. The zero value is valid.
type Options struct {
	// MaximumBody is the maximum size of a request body in bytes. Zero means
	// DefaultMaximumBody.
	MaximumBody int64
	// Bodies limits the memory for the bodies of all requests that are not routed; nil
	// means that there is no limit. A body is counted for the key or the call token of
	// its request.
	Bodies *wire.Budget
	// OnBodyRefused, if not nil, is called for such a request that was refused because
	// there is no memory for its body. size is -1 if the body's size is not known.
	OnBodyRefused func(key coltsfootward.KeyDigest, size int64)
	// Routed gives the names of the header fields that ServeRouted uses. It may be
	// nil if ServeRouted is not called.
	Routed *wire.Fields
	// Local is set for the handler that serves the local backend server, whose
	// requests carry a call token instead of a key.
	Local bool
}

// Handler serves HTTP requests: it passes each to the node's state machine and
// carries out the resulting actions until the response is written. Create it
// with New. It is safe for concurrent use.
type Handler struct {
	loop      *loop.Loop
	transport *peer.Transport
	options   Options
}

// New returns a Handler with default options.
func New(l *loop.Loop, t *peer.Transport) *Handler {
	return NewWithOptions(l, t, Options{})
}

// NewWithOptions returns a Handler with the given options.
func NewWithOptions(l *loop.Loop, t *peer.Transport, options Options) *Handler {
	if options.MaximumBody <= 0 {
		options.MaximumBody = DefaultMaximumBody
	}
	return &Handler{loop: l, transport: t, options: options}
}

// Register adds the route /{service}/{path} to the router. It must be the last
// route to be registered, since it matches every path.
func (h *Handler) Register(router *mux.Router) {
	router.SkipClean(true)
	router.UseEncodedPath()
	router.HandleFunc("/{service}", h.serve)
	router.HandleFunc("/{service}/{path:.*}", h.serve)
}

func (h *Handler) serve(w http.ResponseWriter, r *http.Request) {
	event, key, refused := h.parseRequest(r)
	if refused != nil {
		writeRefusal(w, *refused)
		return
	}
	body, memory, refused := h.readBody(event, r)
	defer memory.Release()
	if refused != nil {
		writeRefusal(w, *refused)
		return
	}
	if key != "" && keyInContent(r, body, key) {
		writeRefusal(w, coltsfootward.NewRefusal(coltsfootward.RefusalBadRequest,
			"path, query, Idempotency-Key or body hold the caller's key, which no backend server may see: send it in Authorization only"))
		return
	}
	call := h.loop.Open()
	defer call.Close()
	event.Call = call.ID
	event.Body = xxhash.Sum64(body)
	e := &exchange{handler: h, call: call, request: r, writer: w, body: body, header: RequestFields(r.Header, key), refuse: writeRefusal}
	h.loop.Post(event)
	e.run()
}

// parseRequest returns the event for the state machine and the caller's key. The
// event contains only the key's digest; the key itself is returned so that it can
// be removed from the forwarded request.
func (h *Handler) parseRequest(r *http.Request) (node.RequestArrived, string, *coltsfootward.Refusal) {
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
	if e.Attempt, err = positiveField(r, HeaderAttempt, 1); err != nil {
		return e, "", badRequest(err)
	}
	milliseconds, err := positiveField(r, HeaderTimeout, 0)
	if err != nil {
		return e, "", badRequest(err)
	}
	e.Timeout = time.Duration(milliseconds) * time.Millisecond
	if h.options.Local {
		e.Token = node.CallToken(r.Header.Get(HeaderCallToken))
		if e.Token == "" {
			return e, "", newRefusal(coltsfootward.RefusalCallToken, HeaderCallToken+" is missing")
		}
		return e, "", nil
	}
	key, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok || key == "" {
		return e, "", newRefusal(coltsfootward.RefusalUnauthenticated, "Authorization is missing or not of the Bearer scheme")
	}
	e.Key = coltsfootward.DigestKey(key)
	return e, key, nil
}

// keyInContent reports whether the path, the query, the Idempotency-Key or the
// body contains the key. They are forwarded to the backend server, and the key
// can't be removed from them without changing the request.
func keyInContent(r *http.Request, body []byte, key string) bool {
	contents := []string{r.URL.Path, r.URL.EscapedPath(), r.URL.RawQuery, r.Header.Get(HeaderIdempotencyKey)}
	if query, err := url.QueryUnescape(r.URL.RawQuery); err == nil {
		contents = append(contents, query)
	}
	return containsKey(contents, key) || bytes.Contains(body, []byte(key))
}

// servicePath returns the path after the service's name and the query, escaped as
// in the request.
func servicePath(r *http.Request) string {
	path := r.URL.EscapedPath()
	_, rest, _ := strings.Cut(strings.TrimPrefix(path, "/"), "/")
	rest = "/" + rest
	if r.URL.RawQuery != "" {
		rest += "?" + r.URL.RawQuery
	}
	return rest
}

func (h *Handler) readBody(event node.RequestArrived, r *http.Request) ([]byte, *wire.Reservation, *coltsfootward.Refusal) {
	owner := cmp.Or(string(event.Key), string(event.Token))
	var memory *wire.Reservation
	if h.options.Bodies != nil {
		memory = h.options.Bodies.Reserve(owner)
	}
	body, err := wire.ReadBody(r.Body, r.ContentLength, h.options.MaximumBody, memory)
	switch {
	case err == nil:
		return body.Bytes(), memory, nil
	case errors.Is(err, wire.ErrBodyTooLarge):
		return nil, memory, newRefusal(coltsfootward.RefusalTooLarge, fmt.Sprintf("the body is larger than %d bytes", h.options.MaximumBody))
	case errors.Is(err, wire.ErrNoRoom):
		if h.options.OnBodyRefused != nil {
			h.options.OnBodyRefused(event.Key, r.ContentLength)
		}
		refused := noRoomRefusal()
		return nil, memory, &refused
	default:
		return nil, memory, newRefusal(coltsfootward.RefusalBadRequest, "the body broke off before its end")
	}
}

// noRoomRefusal is the refusal of a request for whose body there is no memory.
func noRoomRefusal() coltsfootward.Refusal {
	return coltsfootward.NewRefusal(coltsfootward.RefusalOverloaded, "the node holds as many request bodies as it has memory for").
		WithRetryAfter(noRoomRetryAfter)
}

// noRoomRetryAfter is the Retry-After of a request for whose body there is no memory.
const noRoomRetryAfter = time.Second

// maximumIdempotencyKey is the maximum length of an idempotency key in bytes.
// Claim holders keep many keys in memory.
const maximumIdempotencyKey = 255

// maximumHeaderNumber is the maximum of a number in a header field. It keeps a
// number of milliseconds from overflowing a time.Duration.
const maximumHeaderNumber = math.MaxInt32

func positiveField(r *http.Request, name string, defaultValue int) (int, error) {
	text := r.Header.Get(name)
	if text == "" {
		return defaultValue, nil
	}
	n, err := strconv.Atoi(text)
	if err != nil || n < 1 || n > maximumHeaderNumber {
		return 0, fmt.Errorf("%s must be a whole number from 1 to %d", name, maximumHeaderNumber)
	}
	return n, nil
}

func badRequest(err error) *coltsfootward.Refusal {
	return newRefusal(coltsfootward.RefusalBadRequest, err.Error())
}

func newRefusal(kind coltsfootward.RefusalKind, detail string) *coltsfootward.Refusal {
	r := coltsfootward.NewRefusal(kind, detail)
	return &r
}

// refusalBody is the JSON body of a refusal.
type refusalBody struct {
	Kind         coltsfootward.RefusalKind `json:"kind"`
	Execution    coltsfootward.Execution   `json:"execution"`
	Detail       string                    `json:"detail"`
	Remedy       string                    `json:"remedy"`
	RetryAfterMS int64                     `json:"retry_after_ms"`
}

// writeRefusal writes a refusal as the response.
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
	_ = json.NewEncoder(w).Encode(body) // the caller may have disconnected
}
