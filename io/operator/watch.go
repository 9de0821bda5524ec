package operator

import (
	"context"
	"time"

	"coltsfootward"
	"coltsfootward/core/node"
	coltsfootwardv1 "coltsfootward/schema/coltsfootward/v1"

	"connectrpc.com/connect"
)

// watchInterval is the time between two looks at who has confirmed a revision.
const watchInterval = 50 * time.Millisecond

// maximumWait bounds how long a call may wait.
const maximumWait = 5 * time.Minute

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
