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

// namePattern matches the valid names of organisations, keys and services.
var namePattern = regexp.MustCompile(`^[a-zA-Z0-9][a-zA-Z0-9._-]{0,127}$`)

var methodPattern = regexp.MustCompile(`^[A-Z]{1,16}$`)

// Limits on a service, so that a change fits into one row of the table.
const (
	maximumAttempts   = 64
	maximumMarks      = 256
	maximumPathPrefix = 512
)

var digestPattern = regexp.MustCompile(`^[0-9a-f]{64}$`)

// SetOrganisation creates or changes an organisation.
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

// IssueKey adds a key to an organisation.
func (s *Service) IssueKey(ctx context.Context, r *connect.Request[coltsfootwardv1.IssueKeyRequest]) (*connect.Response[coltsfootwardv1.ChangeResponse], error) {
	m := r.Msg
	if err := errors.Join(checkName("id", m.Id), checkName("organisation", m.Organisation)); err != nil {
		return nil, invalid("%v", err)
	}
	if !digestPattern.MatchString(m.Digest) {
		return nil, invalid("digest is no SHA-256 digest in lower-case hexadecimal: let coltsfootctl make the key")
	}
	organisation := coltsfootward.OrganisationName(m.Organisation)
	if !s.waitFor(ctx, func(c coltsfootward.Configuration) bool { _, ok := c.Organisation(organisation); return ok }) {
		return nil, connect.NewError(connect.CodeFailedPrecondition,
			fmt.Errorf("operator: there is no organisation %q: create it with coltsfootctl organisation set", organisation))
	}
	// The ID of a key is never reused. If two keys had the same ID, withdrawing that
	// ID would leave one of them in force. Without BasedOn and Force the change is
	// refused if the ID exists.
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

// WithdrawKey withdraws a key. This node refuses the key before the change is stored.
func (s *Service) WithdrawKey(ctx context.Context, r *connect.Request[coltsfootwardv1.WithdrawKeyRequest]) (*connect.Response[coltsfootwardv1.ChangeResponse], error) {
	key, ok := s.keyByID(ctx, r.Msg.Id)
	if !ok {
		return nil, connect.NewError(connect.CodeNotFound, fmt.Errorf("operator: there is no key %q: list them with coltsfootctl key list", r.Msg.Id))
	}
	key.Withdrawn = true
	// A withdrawal takes precedence over concurrent changes. It can't be undone, so it
	// needs no revision to be based on.
	if r.Msg.Context != nil && r.Msg.Context.ChangeId != "" {
		r.Msg.Context.Force = true
		// Withdraw the key on this node at once, since the platform may take long to
		// store the change.
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
	if m.PathPrefix != "" && (m.PathPrefix[0] != '/' || len(m.PathPrefix) > maximumPathPrefix) {
		return coltsfootward.Mark{}, invalid("path_prefix is %q: start it with / and keep it within %d characters", m.PathPrefix, maximumPathPrefix)
	}
	return coltsfootward.Mark{Method: m.Method, PathPrefix: m.PathPrefix, Priority: priority, Unrepeatable: m.Unrepeatable}, nil
}

func (s *Service) keyByID(ctx context.Context, id string) (key coltsfootward.Key, found bool) {
	found = s.waitFor(ctx, func(c coltsfootward.Configuration) bool {
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

// lookupTimeout limits the wait for an object that this node does not have yet:
// another node may have stored it a moment ago.
const lookupTimeout = 3 * time.Second

// waitFor refreshes the configuration until condition is true. It reports false if
// condition is still false after lookupTimeout.
func (s *Service) waitFor(ctx context.Context, condition func(coltsfootward.Configuration) bool) bool {
	ctx, cancel := context.WithTimeout(ctx, lookupTimeout)
	defer cancel()
	for {
		if condition(s.configuration()) {
			return true
		}
		s.loop.Inspect(func(n *node.Node) { n.Refresh() })
		select {
		case <-time.After(pollInterval):
		case <-ctx.Done():
			return false
		}
	}
}

// SetService creates or changes a service.
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

// change stores a change and waits until it is in force, for at most the requested
// time.
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
	var unknownOutcome *configuration.UnknownOutcomeError
	if errors.As(err, &unknownOutcome) {
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
