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
	"coltsfootward/core/record"
	"coltsfootward/io/loop"
	coltsfootwardv1 "coltsfootward/schema/coltsfootward/v1"
	"coltsfootward/schema/coltsfootward/v1/coltsfootwardv1connect"

	"connectrpc.com/connect"
)

// watchInterval is the time between two looks at who has confirmed a revision.
const watchInterval = 50 * time.Millisecond

// maximumWait bounds how long a call may wait.
const maximumWait = 5 * time.Minute

// namePattern is what organisations, keys and services may be called.
var namePattern = regexp.MustCompile(`^[a-zA-Z0-9][a-zA-Z0-9._-]{0,127}$`)

var digestPattern = regexp.MustCompile(`^[0-9a-f]{64}$`)

// Service implements the operators' interface. Create it with New. It is safe
// for concurrent use.
type Service struct {
	coltsfootwardv1connect.UnimplementedOperatorServiceHandler
	loop     *loop.Loop
	store    *configuration.Store
	timeline *record.Ring
}

// New returns a service that changes the configuration in table.
func New(l *loop.Loop, table coltsfootward.Table, timeline *record.Ring) *Service {
	return &Service{loop: l, store: configuration.NewStore(table), timeline: timeline}
}

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
	key := &coltsfootward.Key{
		ID:           m.Id,
		Digest:       coltsfootward.KeyDigest(m.Digest),
		Organisation: coltsfootward.OrganisationName(m.Organisation),
	}
	return s.change(ctx, m.Context, coltsfootward.Change{Key: key})
}

// WithdrawKey implements the operators' interface.
func (s *Service) WithdrawKey(ctx context.Context, r *connect.Request[coltsfootwardv1.WithdrawKeyRequest]) (*connect.Response[coltsfootwardv1.ChangeResponse], error) {
	key, ok := s.keyByID(r.Msg.Id)
	if !ok {
		return nil, connect.NewError(connect.CodeNotFound, fmt.Errorf("operator: there is no key %q: list them with coltsfootctl key list", r.Msg.Id))
	}
	key.Withdrawn = true
	return s.change(ctx, r.Msg.Context, coltsfootward.Change{Key: &key})
}

func (s *Service) keyByID(id string) (coltsfootward.Key, bool) {
	for _, key := range s.configuration().Keys() {
		if key.ID == id {
			return key, true
		}
	}
	return coltsfootward.Key{}, false
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
	service := &coltsfootward.Service{
		Name:     coltsfootward.ServiceName(m.Name),
		Attempts: int(m.Attempts),
		Timeout:  time.Duration(m.TimeoutMilliseconds) * time.Millisecond,
	}
	for _, mark := range m.Marks {
		priority, err := coltsfootward.ParsePriority(mark.Priority)
		if err != nil {
			return nil, invalid("%v", err)
		}
		service.Marks = append(service.Marks, coltsfootward.Mark{
			Method: mark.Method, PathPrefix: mark.PathPrefix, Priority: priority, Unrepeatable: mark.Unrepeatable,
		})
	}
	return s.change(ctx, r.Msg.Context, coltsfootward.Change{Service: service})
}

// change stores a change and waits as asked until it is in force.
func (s *Service) change(ctx context.Context, c *coltsfootwardv1.ChangeContext, change coltsfootward.Change) (*connect.Response[coltsfootwardv1.ChangeResponse], error) {
	if c == nil || c.ChangeId == "" || len(c.ChangeId) > 128 {
		return nil, invalid("context.change_id must have 1 to 128 characters: choose one per change")
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
	var conflict *configuration.ConflictError
	if errors.As(err, &conflict) {
		return connect.NewError(connect.CodeAborted, err)
	}
	var doubt *configuration.DoubtError
	if errors.As(err, &doubt) {
		return connect.NewError(connect.CodeUnavailable, err)
	}
	return connect.NewError(connect.CodeInternal, err)
}

// WatchRevision implements the operators' interface.
func (s *Service) WatchRevision(ctx context.Context, r *connect.Request[coltsfootwardv1.WatchRevisionRequest]) (*connect.Response[coltsfootwardv1.WatchRevisionResponse], error) {
	inForce, domains := s.watch(ctx, coltsfootward.Revision(r.Msg.Revision), r.Msg.WaitMilliseconds)
	return connect.NewResponse(&coltsfootwardv1.WatchRevisionResponse{InForce: inForce, Domains: domains}), nil
}

func (s *Service) watch(ctx context.Context, revision coltsfootward.Revision, milliseconds int64) (bool, []*coltsfootwardv1.DomainRevision) {
	wait := min(time.Duration(max(milliseconds, 0))*time.Millisecond, maximumWait)
	timeout := time.NewTimer(wait)
	defer timeout.Stop()
	ticker := time.NewTicker(watchInterval)
	defer ticker.Stop()
	for {
		inForce, domains := s.inForce(revision)
		if inForce {
			return true, domains
		}
		select {
		case <-ticker.C:
		case <-timeout.C:
			return false, domains
		case <-ctx.Done():
			return false, domains
		}
	}
}

// maximumNamed bounds the instances named for each failure domain.
const maximumNamed = 10

func (s *Service) inForce(revision coltsfootward.Revision) (bool, []*coltsfootwardv1.DomainRevision) {
	var found []node.DomainRevision
	s.loop.Inspect(func(n *node.Node) { found = n.InForce(revision) })
	all := len(found) > 0
	var domains []*coltsfootwardv1.DomainRevision
	for _, d := range found {
		confirmed := d.Revision >= revision
		all = all && confirmed
		domain := &coltsfootwardv1.DomainRevision{Domain: string(d.Domain), Revision: uint64(d.Revision), Confirmed: confirmed}
		for _, id := range d.Behind[:min(len(d.Behind), maximumNamed)] {
			domain.WaitingFor = append(domain.WaitingFor, string(id))
		}
		domains = append(domains, domain)
	}
	return all, domains
}

// ListOrganisations implements the operators' interface.
func (s *Service) ListOrganisations(context.Context, *connect.Request[coltsfootwardv1.ListOrganisationsRequest]) (*connect.Response[coltsfootwardv1.ListOrganisationsResponse], error) {
	c := s.configuration()
	response := &coltsfootwardv1.ListOrganisationsResponse{Revision: uint64(c.Revision())}
	for _, o := range c.Organisations() {
		response.Organisations = append(response.Organisations, &coltsfootwardv1.Organisation{
			Name: string(o.Name), RatePerSecond: o.Rate.PerSecond, Burst: o.Rate.Burst, Revision: uint64(o.Revision),
		})
	}
	return connect.NewResponse(response), nil
}

// ListKeys implements the operators' interface.
func (s *Service) ListKeys(context.Context, *connect.Request[coltsfootwardv1.ListKeysRequest]) (*connect.Response[coltsfootwardv1.ListKeysResponse], error) {
	c := s.configuration()
	response := &coltsfootwardv1.ListKeysResponse{Revision: uint64(c.Revision())}
	for _, k := range c.Keys() {
		response.Keys = append(response.Keys, &coltsfootwardv1.Key{
			Id: k.ID, Organisation: string(k.Organisation), Withdrawn: k.Withdrawn, Revision: uint64(k.Revision),
		})
	}
	return connect.NewResponse(response), nil
}

// ListServices implements the operators' interface.
func (s *Service) ListServices(context.Context, *connect.Request[coltsfootwardv1.ListServicesRequest]) (*connect.Response[coltsfootwardv1.ListServicesResponse], error) {
	c := s.configuration()
	response := &coltsfootwardv1.ListServicesResponse{Revision: uint64(c.Revision())}
	for _, found := range c.Services() {
		service := &coltsfootwardv1.Service{
			Name: string(found.Name), Attempts: int32(found.Attempts),
			TimeoutMilliseconds: found.Timeout.Milliseconds(), Revision: uint64(found.Revision),
		}
		for _, mark := range found.Marks {
			service.Marks = append(service.Marks, &coltsfootwardv1.Mark{
				Method: mark.Method, PathPrefix: mark.PathPrefix, Priority: string(mark.Priority), Unrepeatable: mark.Unrepeatable,
			})
		}
		response.Services = append(response.Services, service)
	}
	return connect.NewResponse(response), nil
}

// Status implements the operators' interface.
func (s *Service) Status(context.Context, *connect.Request[coltsfootwardv1.StatusRequest]) (*connect.Response[coltsfootwardv1.StatusResponse], error) {
	var status node.Status
	s.loop.Inspect(func(n *node.Node) { status = n.Status() })
	response := &coltsfootwardv1.StatusResponse{
		Instance:          string(status.Self.ID),
		Domain:            string(status.Self.Domain),
		Incarnation:       uint64(status.Self.Incarnation),
		Revision:          uint64(status.Revision),
		Draining:          status.Draining,
		PlatformAvailable: status.PlatformAvailable,
		Peers:             int32(len(status.Peers)),
	}
	for _, peer := range status.Peers {
		response.PeerOperators = append(response.PeerOperators, peer.OperatorAddress)
	}
	for _, u := range status.Upstreams {
		response.Upstreams = append(response.Upstreams, &coltsfootwardv1.Upstream{
			Instance: string(u.Announcement.Instance.ID),
			Domain:   string(u.Announcement.Instance.Domain),
			Service:  string(u.Announcement.Service),
			Slots:    int32(u.Announcement.Slots),
			Draining: u.Announcement.Draining,
			Running:  int32(u.Load.Running),
			Queued:   int32(u.Load.Queued),
			Limit:    int32(u.Load.Limit),
		})
	}
	return connect.NewResponse(response), nil
}

// Drain implements the operators' interface.
func (s *Service) Drain(context.Context, *connect.Request[coltsfootwardv1.DrainRequest]) (*connect.Response[coltsfootwardv1.DrainResponse], error) {
	s.loop.Post(node.DrainRequested{})
	return connect.NewResponse(&coltsfootwardv1.DrainResponse{}), nil
}

// Timeline implements the operators' interface.
func (s *Service) Timeline(_ context.Context, r *connect.Request[coltsfootwardv1.TimelineRequest]) (*connect.Response[coltsfootwardv1.TimelineResponse], error) {
	var self coltsfootward.Instance
	s.loop.Inspect(func(n *node.Node) { self = n.Status().Self })
	response := &coltsfootwardv1.TimelineResponse{}
	for _, found := range s.timeline.Last(int(r.Msg.Limit)) {
		event := &coltsfootwardv1.TimelineEvent{
			Code: int32(found.Code), Name: found.Name, WallNanoseconds: found.Wall.UnixNano(), Instance: string(self.ID),
		}
		for _, f := range found.Fields {
			event.Fields = append(event.Fields, &coltsfootwardv1.TimelineField{Name: f.Name, Value: f.Value})
		}
		response.Events = append(response.Events, event)
	}
	return connect.NewResponse(response), nil
}

func (s *Service) configuration() coltsfootward.Configuration {
	var c coltsfootward.Configuration
	s.loop.Inspect(func(n *node.Node) { c = n.Configuration() })
	return c
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
