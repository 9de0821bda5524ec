package main

import (
	"context"
	"io"
	"net/http"
	"time"

	coltsfootwardv1 "coltsfootward/schema/coltsfootward/v1"
	"coltsfootward/schema/coltsfootward/v1/coltsfootwardv1connect"

	"connectrpc.com/connect"
	"github.com/google/uuid"
)

// options are the options that all commands have.
type options struct {
	Node   string        `long:"node" env:"COLTSFOOTWARD_NODE" default:"127.0.0.1:7004" description:"operators' address of any node"`
	Wait   time.Duration `long:"wait" default:"13s" description:"how long to wait until a change is in force; 0s to only store it"`
	Output string        `long:"output" default:"table" choice:"table" choice:"json" description:"how to print"`
}

// session holds the context, options and streams that all commands use.
type session struct {
	ctx         context.Context
	options     options
	in          io.Reader
	out, errout io.Writer
}

// responseMargin is added to the requested wait to get the timeout of a call to a node.
const responseMargin = 15 * time.Second

func (s *session) client() coltsfootwardv1connect.OperatorServiceClient {
	return s.clientOf(s.options.Node)
}

func (s *session) clientOf(node string) coltsfootwardv1connect.OperatorServiceClient {
	client := &http.Client{Timeout: s.options.Wait + responseMargin}
	return coltsfootwardv1connect.NewOperatorServiceClient(client, "http://"+node)
}

// changeOptions are the options of the commands that change the configuration.
type changeOptions struct {
	BasedOn  uint64 `long:"based-on" description:"revision of the object that you saw; without it the object must not exist"`
	Force    bool   `long:"force" description:"overwrite the object whatever its revision"`
	ChangeID string `long:"change-id" description:"name of this change; give it again to repeat a change whose answer was lost"`
}

const (
	// changeAttempts bounds how often a change is sent while it gets no response.
	changeAttempts = 3
	// changeRetryDelay is the time between two attempts.
	changeRetryDelay = 500 * time.Millisecond
)

// change sends a change and prints the outcome. If no response arrives, it retries with
// the same change id, so that the change is applied at most once.
func (s *session) change(o changeOptions, send func(*coltsfootwardv1.ChangeContext) (*connect.Response[coltsfootwardv1.ChangeResponse], error)) error {
	c := &coltsfootwardv1.ChangeContext{
		ChangeId: o.ChangeID, BasedOn: o.BasedOn, Force: o.Force, WaitMilliseconds: s.options.Wait.Milliseconds(),
	}
	if c.ChangeId == "" {
		c.ChangeId = uuid.NewString()
	}
	response, err := s.sendWithRetries(c, send)
	if err != nil {
		if outcomeUnknown(err) {
			return &unknownOutcomeError{changeID: c.ChangeId, err: err}
		}
		return err
	}
	if err := s.printChange(response.Msg, c.ChangeId); err != nil {
		return err
	}
	if !response.Msg.InForce && s.options.Wait > 0 {
		return &notInForceError{response.Msg.Revision}
	}
	return nil
}

func (s *session) sendWithRetries(c *coltsfootwardv1.ChangeContext, send func(*coltsfootwardv1.ChangeContext) (*connect.Response[coltsfootwardv1.ChangeResponse], error)) (*connect.Response[coltsfootwardv1.ChangeResponse], error) {
	var last error
	for attempt := range changeAttempts {
		if attempt > 0 {
			select {
			case <-time.After(changeRetryDelay):
			case <-s.ctx.Done():
				return nil, last
			}
		}
		response, err := send(c)
		if err == nil || !outcomeUnknown(err) {
			return response, err
		}
		last = err
	}
	return nil, last
}
