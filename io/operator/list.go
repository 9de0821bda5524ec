package operator

import (
	"context"

	coltsfootwardv1 "coltsfootward/schema/coltsfootward/v1"

	"connectrpc.com/connect"
)

// ListOrganisations returns the organisations in this node's configuration.
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

// ListKeys returns the keys in this node's configuration, without their digests.
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

// ListServices returns the services in this node's configuration.
func (s *Service) ListServices(context.Context, *connect.Request[coltsfootwardv1.ListServicesRequest]) (*connect.Response[coltsfootwardv1.ListServicesResponse], error) {
	c := s.configuration()
	response := &coltsfootwardv1.ListServicesResponse{Revision: uint64(c.Revision())}
	for _, configured := range c.Services() {
		service := &coltsfootwardv1.Service{
			Name: string(configured.Name), Attempts: int32(configured.Attempts),
			TimeoutMilliseconds: configured.Timeout.Milliseconds(), Revision: uint64(configured.Revision),
		}
		for _, mark := range configured.Marks {
			service.Marks = append(service.Marks, &coltsfootwardv1.Mark{
				Method: mark.Method, PathPrefix: mark.PathPrefix, Priority: string(mark.Priority), Unrepeatable: mark.Unrepeatable,
			})
		}
		response.Services = append(response.Services, service)
	}
	return connect.NewResponse(response), nil
}
