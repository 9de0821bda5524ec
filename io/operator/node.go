package operator

import (
	"context"

	"coltsfootward"
	"coltsfootward/core/node"
	coltsfootwardv1 "coltsfootward/schema/coltsfootward/v1"

	"connectrpc.com/connect"
)

// Status returns the state of this node, its peers and the backend servers known to
// it.
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

			Speed:    u.View.Speed,
			Slowdown: u.View.Slowdown,

			SlowdownAgeMilliseconds: u.View.SlowdownAge.Milliseconds(),
			Share:                   u.View.Share,
		})
	}
	return connect.NewResponse(response), nil
}

// Drain has the node start draining. It does not wait for the end of the drain.
func (s *Service) Drain(context.Context, *connect.Request[coltsfootwardv1.DrainRequest]) (*connect.Response[coltsfootwardv1.DrainResponse], error) {
	s.loop.Post(node.DrainRequested{})
	return connect.NewResponse(&coltsfootwardv1.DrainResponse{}), nil
}

// Timeline returns the newest events of this node's timeline, oldest first and up to
// the requested limit. A limit of zero or less means all.
func (s *Service) Timeline(_ context.Context, r *connect.Request[coltsfootwardv1.TimelineRequest]) (*connect.Response[coltsfootwardv1.TimelineResponse], error) {
	var self coltsfootward.Instance
	s.loop.Inspect(func(n *node.Node) { self = n.Status().Self })
	response := &coltsfootwardv1.TimelineResponse{}
	for _, entry := range s.timeline.Last(int(r.Msg.Limit)) {
		event := &coltsfootwardv1.TimelineEvent{
			Code: int32(entry.Code), Name: entry.Name, WallNanoseconds: entry.Wall.UnixNano(), Instance: string(self.ID),
			HybridNanoseconds: entry.Stamp.Wall, Logical: uint64(entry.Stamp.Logical),
		}
		for _, f := range entry.Fields {
			event.Fields = append(event.Fields, &coltsfootwardv1.TimelineField{Name: f.Name, Value: f.Value})
		}
		response.Events = append(response.Events, event)
	}
	return connect.NewResponse(response), nil
}
