package caller

import (
	"context"
	"errors"
	"io"
	"net/http"

	"coltsfootward"
	"coltsfootward/core/node"
	"coltsfootward/io/loop"
	"coltsfootward/io/peer"
)

// copyBuffer is how many bytes of an answer are copied at a time.
const copyBuffer = 32 << 10

// exchange is one request on its way to its answer.
type exchange struct {
	face    *Face
	call    *loop.Call
	request *http.Request
	writer  http.ResponseWriter
	body    []byte
	header  map[string][]string
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
			writeRefusal(e.writer, coltsfootward.NewRefusal(coltsfootward.RefusalDraining, "the node has stopped").
				WithExecution(coltsfootward.ExecutionUnknown))
			return
		}
	}
}

// perform reports whether the request is over.
func (e *exchange) perform(action node.Action) bool {
	switch a := action.(type) {
	case node.Refuse:
		writeRefusal(e.writer, a.Refusal)
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
	a.Head.Header = e.header
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
	e.answered(answer)
	return true
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

// answered passes the answer on. A body that breaks off ends the connection to
// the caller, so that the caller never takes it for whole.
func (e *exchange) answered(answer *peer.Answer) {
	h := e.writer.Header()
	for name, values := range answer.Head.Header {
		h[name] = values
	}
	e.writer.WriteHeader(answer.Head.Status)
	whole := e.copy(answer)
	end, ok := answer.End()
	if !ok {
		end.Attempts = -1
	}
	e.face.loop.Post(node.CallDone{Call: e.call.ID, Attempts: end.Attempts, Needed: end.Needed, Whole: whole})
	if !whole {
		answer.Close()
		panic(http.ErrAbortHandler)
	}
}

// copy passes the body on as it arrives and reports whether it was whole.
func (e *exchange) copy(answer *peer.Answer) bool {
	flusher := http.NewResponseController(e.writer)
	buffer := make([]byte, copyBuffer)
	for {
		n, err := answer.Read(buffer)
		if n > 0 {
			if _, failed := e.writer.Write(buffer[:n]); failed != nil {
				return false
			}
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
