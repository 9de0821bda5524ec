package operator

import (
	"coltsfootward"
	"coltsfootward/core/configuration"
	"coltsfootward/core/node"
	"coltsfootward/core/record"
	"coltsfootward/io/loop"
	"coltsfootward/schema/coltsfootward/v1/coltsfootwardv1connect"
)

// Service implements the operators' interface. Create it with New. It is safe
// for concurrent use.
type Service struct {
	coltsfootwardv1connect.UnimplementedOperatorServiceHandler
	loop     *loop.Loop
	store    *configuration.Store
	timeline *record.Ring
	// readOnly is set if the configuration is a document that is changed on the
	// platform.
	readOnly bool
}

// New returns a service that stores configuration changes in table and reads events
// from timeline.
func New(l *loop.Loop, table coltsfootward.Table, timeline *record.Ring) *Service {
	return &Service{loop: l, store: configuration.NewStore(table), timeline: timeline}
}

// ReadOnly makes the service refuse changes and returns it. It is for deployments
// whose configuration is a document on the platform, where a change to the table
// would never be in force.
func (s *Service) ReadOnly() *Service {
	s.readOnly = true
	return s
}

func (s *Service) configuration() coltsfootward.Configuration {
	var c coltsfootward.Configuration
	s.loop.Inspect(func(n *node.Node) { c = n.Configuration() })
	return c
}
