package caller

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync"

	"coltsfootward"
	"coltsfootward/core/claim"
	"coltsfootward/core/node"
	"coltsfootward/io/loop"
	"coltsfootward/io/peer"
)

// copyBuffer is how many bytes of an answer are copied at a time.
const copyBuffer = 32 << 10

// copyBuffers keeps buffers for reuse: one of its own for each call was a third
// of all memory that a node allocated.
var copyBuffers = sync.Pool{New: func() any { return new([copyBuffer]byte) }}

// exchange is one request on its way to its answer.
type exchange struct {
	face    *Face
	call    *loop.Call
	request *http.Request
	writer  http.ResponseWriter
	body    []byte
	header  map[string][]string
	// refuse writes a refusal in the deployment's way.
	refuse func(http.ResponseWriter, coltsfootward.Refusal)
	// keep is set while the answer's body, of which start has been read, may
	// still be kept for repeats.
	keep  bool
	start []byte
	// download is what has gone to the caller so far.
	download download
}

// run carries out the machine's actions for the request until it is answered.
func (e *exchange) run() {
	for {
		select {
		case action := <-e.call.Actions:
			if e.perform(action) {
				return
			}
		case <-e.request.Context().Done():
			e.face.loop.Post(node.CallerLeft{Call: e.call.ID})
			return
		case <-e.face.loop.Done():
			if e.download.begun {
				panic(http.ErrAbortHandler)
			}
			e.refuse(e.writer, coltsfootward.NewRefusal(coltsfootward.RefusalDraining, "the node has stopped").
				WithExecution(coltsfootward.ExecutionUnknown))
			return
		}
	}
}

// perform reports whether the request is over.
func (e *exchange) perform(action node.Action) bool {
	switch a := action.(type) {
	case node.Refuse:
		if e.download.begun {
			panic(http.ErrAbortHandler) // the caller must not take the part that it has for whole
		}
		e.refuse(e.writer, a.Refusal)
		return true
	case node.Replay:
		e.replay(a)
		return true
	case node.Forward:
		return e.forward(a)
	default:
		return false
	}
}

// forward makes one attempt.
func (e *exchange) forward(a node.Forward) bool {
	ctx, cancel := context.WithTimeout(e.request.Context(), a.Head.Timeout)
	defer cancel()
	a.Head.Header = e.download.header(e.header)
	answer, err := e.face.transport.Call(ctx, a.To, a.Head, e.body)
	if err != nil {
		e.face.loop.Post(node.AttemptEnded{Call: e.call.ID, Kind: failedKind(err)})
		return false
	}
	defer answer.Close()
	if answer.Head.Refusal != nil {
		return e.refused(answer)
	}
	e.face.loop.Post(node.AttemptEnded{
		Call: e.call.ID, Kind: node.AttemptAnswered, Load: answer.Head.Load, Status: answer.Head.Status,
	})
	return e.answered(answer)
}

func failedKind(err error) node.AttemptKind {
	var failed *peer.CallError
	if errors.As(err, &failed) && !failed.Sent {
		return node.AttemptUnsent
	}
	return node.AttemptLost
}

// refused reads the refusal's end, which says how many attempts were used.
func (e *exchange) refused(answer *peer.Answer) bool {
	ended := node.AttemptEnded{
		Call: e.call.ID, Kind: node.AttemptRefused, Refusal: *answer.Head.Refusal, Load: answer.Head.Load,
		Attempts: -1,
	}
	if _, err := io.Copy(io.Discard, answer); err == nil {
		end, _ := answer.End()
		ended.Attempts = end.Attempts
	}
	e.face.loop.Post(ended)
	return false
}

// answered passes the answer on and reports whether the request is over. If a
// body breaks off, its rest is fetched where that is possible; else the
// connection to the caller ends, so that the caller never takes it for whole.
func (e *exchange) answered(answer *peer.Answer) bool {
	if !e.begin(answer) {
		e.face.loop.Post(node.CallDone{Call: e.call.ID, Attempts: -1})
		answer.Close()
		panic(http.ErrAbortHandler)
	}
	e.keep = e.request.Header.Get(HeaderIdempotencyKey) != ""
	whole := e.copy(answer)
	if !whole && e.download.resumable() && e.request.Context().Err() == nil {
		e.face.loop.Post(node.ResponseTruncated{Call: e.call.ID})
		return false
	}
	end, ok := answer.End()
	if !ok {
		end.Attempts = -1
	}
	e.face.loop.Post(node.CallDone{Call: e.call.ID, Attempts: end.Attempts, Needed: end.Needed, Complete: whole, Answer: e.kept(answer, whole)})
	if !whole {
		answer.Close()
		panic(http.ErrAbortHandler)
	}
	return true
}

// begin sends the answer's head to the caller, or checks that the answer is the
// rest of what the caller has a part of.
func (e *exchange) begin(answer *peer.Answer) bool {
	if e.download.begun {
		return e.download.continues(answer)
	}
	e.download.begin(e.request.Method, answer)
	h := e.writer.Header()
	for name, values := range answer.Head.Header {
		h[name] = values
	}
	e.writer.WriteHeader(answer.Head.Status)
	return true
}

// kept returns the answer for repeats of the request, or nil.
func (e *exchange) kept(answer *peer.Answer, whole bool) *claim.Answer {
	if !whole || !e.keep {
		return nil
	}
	return &claim.Answer{Status: answer.Head.Status, Header: answer.Head.Header, Body: e.start}
}

// replay answers with the first request's answer.
func (e *exchange) replay(a node.Replay) {
	h := e.writer.Header()
	for name, values := range a.Answer.Header {
		h[name] = values
	}
	h.Set(HeaderReplayed, "true")
	e.writer.WriteHeader(a.Answer.Status)
	_, _ = e.writer.Write(a.Answer.Body) // the caller may have left
}

// note keeps the body's start as long as it is short enough to be kept whole.
func (e *exchange) note(p []byte) {
	if !e.keep {
		return
	}
	e.start = append(e.start, p...)
	if len(e.start) > node.MaximumRetainedAnswerBytes {
		e.keep = false
		e.start = nil
	}
}

// copy passes the body on as it arrives and reports whether it was whole.
func (e *exchange) copy(answer *peer.Answer) bool {
	flusher := http.NewResponseController(e.writer)
	pooled := copyBuffers.Get().(*[copyBuffer]byte)
	defer copyBuffers.Put(pooled)
	buffer := pooled[:]
	for {
		n, err := answer.Read(buffer)
		if n > 0 {
			e.note(buffer[:n])
			if _, failed := e.writer.Write(buffer[:n]); failed != nil {
				e.download.validator = "" // it is the caller that has gone
				return false
			}
			e.download.written += int64(n)
			if n < copyBuffer {
				_ = flusher.Flush() // a caller that left shows at the next write
			}
		}
		if errors.Is(err, io.EOF) {
			return true
		}
		if err != nil || e.request.Context().Err() != nil {
			return false
		}
	}
}
