package operator

import (
	"context"
	"time"

	"coltsfootward"
	"coltsfootward/core/node"
	coltsfootwardv1 "coltsfootward/schema/coltsfootward/v1"

	"connectrpc.com/connect"
)

// pollInterval is the interval at which the confirmed revisions or the configuration
// are read while a call waits.
const pollInterval = 50 * time.Millisecond

// maximumWait limits the time that a call may wait for a revision.
const maximumWait = 5 * time.Minute

// WatchRevision waits until a revision is in force in all failure domains, for at
// most the requested time and 5 min.
func (s *Service) WatchRevision(ctx context.Context, r *connect.Request[coltsfootwardv1.WatchRevisionRequest]) (*connect.Response[coltsfootwardv1.WatchRevisionResponse], error) {
	inForce, domains := s.watch(ctx, coltsfootward.Revision(r.Msg.Revision), r.Msg.WaitMilliseconds)
	return connect.NewResponse(&coltsfootwardv1.WatchRevisionResponse{InForce: inForce, Domains: domains}), nil
}

func (s *Service) watch(ctx context.Context, revision coltsfootward.Revision, milliseconds int64) (bool, []*coltsfootwardv1.DomainRevision) {
	wait := min(time.Duration(max(milliseconds, 0))*time.Millisecond, maximumWait)
	timeout := time.NewTimer(wait)
	defer timeout.Stop()
	ticker := time.NewTicker(pollInterval)
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

// maximumWaitingFor is the maximum number of instances in DomainRevision.WaitingFor.
const maximumWaitingFor = 10

func (s *Service) inForce(revision coltsfootward.Revision) (bool, []*coltsfootwardv1.DomainRevision) {
	var revisions []node.DomainRevision
	s.loop.Inspect(func(n *node.Node) { revisions = n.WatchRevision(revision) })
	allConfirmed := len(revisions) > 0
	var domains []*coltsfootwardv1.DomainRevision
	for _, d := range revisions {
		confirmed := d.Revision >= revision
		allConfirmed = allConfirmed && confirmed
		domain := &coltsfootwardv1.DomainRevision{Domain: string(d.Domain), Revision: uint64(d.Revision), Confirmed: confirmed}
		for _, id := range d.Behind[:min(len(d.Behind), maximumWaitingFor)] {
			domain.WaitingFor = append(domain.WaitingFor, string(id))
		}
		domains = append(domains, domain)
	}
	return allConfirmed, domains
}
