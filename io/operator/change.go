package operator

import (
	"context"
	"errors"
	"fmt"
	"math"
	"regexp"
	"time"

	"coltsfootward"
	"coltsfootward/core/configuration"
	"coltsfootward/core/node"
	coltsfootwardv1 "coltsfootward/schema/coltsfootward/v1"

	"connectrpc.com/connect"
)

// namePattern is what organisations, keys and services may be called.
var namePattern = regexp.MustCompile(`^[a-zA-Z0-9][a-zA-Z0-9._-]{0,127}$`)

var methodPattern = regexp.MustCompile(`^[A-Z]{1,16}$`)

// Bounds of a service, so that one change fits in one row of the table.
const (
	maximumAttempts = 64
	maximumMarks    = 256
	maximumPrefix   = 512
)

var digestPattern = regexp.MustCompile(`^[0-9a-f]{64}$`)

// SetOrganisation implements the operators' interface.
func (s *Service) SetOrganisation(ctx context.Context, r *connect.Request[coltsfootwardv1.SetOrganisationRequest]) (*connect.Response[coltsfootwardv1.ChangeResponse], error) {
	m := r.Msg
	if err := checkName("name", m.Name); err != nil {
		return nil, err
	}
	if math.IsNaN(m.RatePerSecond) || m.RatePerSecond <= 0 || m.RatePerSecond > 1e9 {
		return nil, invalid("rate_per_second is %v: give more than 0 and at most 1e9 requests per second", m.RatePerSecond)
	}
	if m.Burst < 1 || m.Burst > 1e9 {
		return nil, invalid("burst is %d: give 1 to 1e9 requests", m.Burst)
	}
	organisation := &coltsfootward.Organisation{
		Name: coltsfootward.OrganisationName(m.Name),
		Rate: coltsfootward.Rate{PerSecond: m.RatePerSecond, Burst: m.Burst},
	}
	return s.change(ctx, m.Context, coltsfootward.Change{Organisation: organisation})
}

// IssueKey implements the operators' interface.
func (s *Service) IssueKey(ctx context.Context, r *connect.Request[coltsfootwardv1.IssueKeyRequest]) (*connect.Response[coltsfootwardv1.ChangeResponse], error) {
	m := r.Msg
	if err := errors.Join(checkName("id", m.Id), checkName("organisation", m.Organisation)); err != nil {
		return nil, invalid("%v", err)
	}
	if !digestPattern.MatchString(m.Digest) {
		return nil, invalid("digest is no SHA-256 digest in lower-case hexadecimal: let coltsfootctl make the key")
	}
	organisation := coltsfootward.OrganisationName(m.Organisation)
	if !s.await(ctx, func(c coltsfootward.Configuration) bool { _, ok := c.Organisation(organisation); return ok }) {
		return nil, connect.NewError(connect.CodeFailedPrecondition,
			fmt.Errorf("operator: there is no organisation %q: create it with coltsfootctl organisation set", organisation))
	}
	// A key's name belongs to one key for good. Were it given to a second one,
	// withdrawing the name would leave one of the two at work.
	if m.Context != nil {
		m.Context.BasedOn, m.Context.Force = 0, false
	}
	key := &coltsfootward.Key{
		ID:           m.Id,
		Digest:       coltsfootward.KeyDigest(m.Digest),
		Organisation: organisation,
	}
	return s.change(ctx, m.Context, coltsfootward.Change{Key: key})
}

// WithdrawKey implements the operators' interface.
func (s *Service) WithdrawKey(ctx context.Context, r *connect.Request[coltsfootwardv1.WithdrawKeyRequest]) (*connect.Response[coltsfootwardv1.ChangeResponse], error) {
	key, ok := s.keyByID(ctx, r.Msg.Id)
	if !ok {
		return nil, connect.NewError(connect.CodeNotFound, fmt.Errorf("operator: there is no key %q: list them with coltsfootctl key list", r.Msg.Id))
	}
	key.Withdrawn = true
	// Withdrawing wins every race: it only ever grows, so it needs no revision
	// that the operator saw.
	if r.Msg.Context != nil && r.Msg.Context.ChangeId != "" {
		r.Msg.Context.Force = true
		// The key stops now: the platform may take long to store the change.
		s.loop.Inspect(func(n *node.Node) { n.WithdrawKey(key.Digest) })
	}
	return s.change(ctx, r.Msg.Context, coltsfootward.Change{Key: &key})
}

func checkMark(m *coltsfootwardv1.Mark) (coltsfootward.Mark, error) {
	priority, err := coltsfootward.ParsePriority(m.Priority)
	if err != nil {
		return coltsfootward.Mark{}, invalid("%v", err)
	}
	if m.Method != "" && !methodPattern.MatchString(m.Method) {
		return coltsfootward.Mark{}, invalid("method is %q: give an HTTP method in capitals, or none for every method", m.Method)
	}
	if m.PathPrefix != "" && (m.PathPrefix[0] != '/' || len(m.PathPrefix) > maximumPrefix) {
		return coltsfootward.Mark{}, invalid("path_prefix is %q: start it with / and keep it within %d characters", m.PathPrefix, maximumPrefix)
	}
	return coltsfootward.Mark{Method: m.Method, PathPrefix: m.PathPrefix, Priority: priority, Unrepeatable: m.Unrepeatable}, nil
}

func (s *Service) keyByID(ctx context.Context, id string) (key coltsfootward.Key, found bool) {
	found = s.await(ctx, func(c coltsfootward.Configuration) bool {
		for _, candidate := range c.Keys() {
			if candidate.ID == id {
				key = candidate
				return true
			}
		}
		return false
	})
	return key, found
}

// lookupWait is how long an object may be missing here before the operator is
// told so: another node may have stored it a moment ago.
const lookupWait = 3 * time.Second

// await reads the configuration anew until holds is true, for up to lookupWait.
func (s *Service) await(ctx context.Context, holds func(coltsfootward.Configuration) bool) bool {
	ctx, cancel := context.WithTimeout(ctx, lookupWait)
	defer cancel()
	for {
		if holds(s.configuration()) {
			return true
		}
		s.loop.Inspect(func(n *node.Node) { n.Refresh() })
		select {
		case <-time.After(watchInterval):
		case <-ctx.Done():
			return false
		}
	}
}

// SetService implements the operators' interface.
func (s *Service) SetService(ctx context.Context, r *connect.Request[coltsfootwardv1.SetServiceRequest]) (*connect.Response[coltsfootwardv1.ChangeResponse], error) {
	m := r.Msg.Service
	if m == nil {
		return nil, invalid("service is missing: describe the service")
	}
	if err := checkName("name", m.Name); err != nil {
		return nil, err
	}
	if m.Attempts < 0 || m.Attempts > maximumAttempts {
		return nil, invalid("attempts is %d: give 0 (the nodes' setting) to %d", m.Attempts, maximumAttempts)
	}
	if m.TimeoutMilliseconds < 0 || m.TimeoutMilliseconds > time.Hour.Milliseconds() {
		return nil, invalid("timeout_milliseconds is %d: give 0 (the nodes' setting) to %d", m.TimeoutMilliseconds, time.Hour.Milliseconds())
	}
	if len(m.Marks) > maximumMarks {
		return nil, invalid("there are %d marks: give at most %d", len(m.Marks), maximumMarks)
	}
	service := &coltsfootward.Service{
		Name:     coltsfootward.ServiceName(m.Name),
		Attempts: int(m.Attempts),
		Timeout:  time.Duration(m.TimeoutMilliseconds) * time.Millisecond,
	}
	for _, mark := range m.Marks {
		checked, err := checkMark(mark)
		if err != nil {
			return nil, err
		}
		service.Marks = append(service.Marks, checked)
	}
	return s.change(ctx, r.Msg.Context, coltsfootward.Change{Service: service})
}

// change stores a change and waits as asked until it is in force.
func (s *Service) change(ctx context.Context, c *coltsfootwardv1.ChangeContext, change coltsfootward.Change) (*connect.Response[coltsfootwardv1.ChangeResponse], error) {
	if c == nil || c.ChangeId == "" || len(c.ChangeId) > 128 {
		return nil, invalid("context.change_id must have 1 to 128 characters: choose one per change")
	}
	if s.readOnly {
		return nil, connect.NewError(connect.CodeFailedPrecondition,
			errors.New("operator: the configuration of this deployment is a document on its platform: change it there"))
	}
	change.ID = c.ChangeId
	precondition := configuration.Precondition{BasedOn: coltsfootward.Revision(c.BasedOn), Force: c.Force}
	revision, err := s.store.Submit(ctx, change, precondition)
	if err != nil {
		return nil, changeError(err)
	}
	s.loop.Inspect(func(n *node.Node) { n.Refresh() })
	inForce, domains := s.watch(ctx, revision, c.WaitMilliseconds)
	return connect.NewResponse(&coltsfootwardv1.ChangeResponse{Revision: uint64(revision), InForce: inForce, Domains: domains}), nil
}

func changeError(err error) error {
	for code, kinds := range map[connect.Code][]any{
		connect.CodeFailedPrecondition: {new(*configuration.UnknownOrganisationError), new(*configuration.KeyWithdrawnError)},
		connect.CodeAlreadyExists:      {new(*configuration.ChangeIDError), new(*configuration.KeyReusedError)},
		connect.CodeUnavailable:        {new(*configuration.BusyError)},
	} {
		for _, kind := range kinds {
			if errors.As(err, kind) {
				return connect.NewError(code, err)
			}
		}
	}
	var conflict *configuration.ConflictError
	if errors.As(err, &conflict) {
		return connect.NewError(connect.CodeAborted, err)
	}
	var doubt *configuration.UnknownOutcomeError
	if errors.As(err, &doubt) {
		return connect.NewError(connect.CodeUnavailable, err)
	}
	return connect.NewError(connect.CodeInternal, err)
}

func checkName(name, value string) error {
	if namePattern.MatchString(value) {
		return nil
	}
	return invalid("%s is %q: use 1 to 128 letters, digits, dots, dashes or underscores, starting with a letter or digit", name, value)
}

func invalid(format string, args ...any) error {
	return connect.NewError(connect.CodeInvalidArgument, fmt.Errorf("operator: "+format, args...))
}
