package tour

import (
	"context"
	"fmt"
	"net/http"

	"coltsfootward"
	coltsfootwardv1 "coltsfootward/schema/coltsfootward/v1"
	"coltsfootward/schema/coltsfootward/v1/coltsfootwardv1connect"

	"connectrpc.com/connect"
)

// configure sets up the deployment with the same calls that coltsfootctl makes
// for an operator.
func configure(ctx context.Context, node string) error {
	client := coltsfootwardv1connect.NewOperatorServiceClient(http.DefaultClient, "http://"+node)
	steps := []func() (*connect.Response[coltsfootwardv1.ChangeResponse], error){
		func() (*connect.Response[coltsfootwardv1.ChangeResponse], error) {
			return client.SetService(ctx, connect.NewRequest(&coltsfootwardv1.SetServiceRequest{
				Context: change("service"),
				Service: &coltsfootwardv1.Service{Name: service, Marks: []*coltsfootwardv1.Mark{
					{Method: http.MethodPost, PathPrefix: "/orders", Priority: "critical", Unrepeatable: true},
					{Method: http.MethodGet, PathPrefix: "/archive", Priority: "low"},
				}},
			}))
		},
		func() (*connect.Response[coltsfootwardv1.ChangeResponse], error) {
			return client.SetOrganisation(ctx, connect.NewRequest(&coltsfootwardv1.SetOrganisationRequest{
				Context: change("traders"), Name: "traders", RatePerSecond: 1000, Burst: 200,
			}))
		},
		func() (*connect.Response[coltsfootwardv1.ChangeResponse], error) {
			return client.SetOrganisation(ctx, connect.NewRequest(&coltsfootwardv1.SetOrganisationRequest{
				Context: change("visitors"), Name: "visitors", RatePerSecond: 1, Burst: 4,
			}))
		},
		func() (*connect.Response[coltsfootwardv1.ChangeResponse], error) {
			return issueKey(ctx, client, "traders", tradersKey)
		},
		func() (*connect.Response[coltsfootwardv1.ChangeResponse], error) {
			return issueKey(ctx, client, "visitors", visitorsKey)
		},
	}
	for _, step := range steps {
		if _, err := step(); err != nil {
			return fmt.Errorf("operate: %w", err)
		}
	}
	return nil
}

func issueKey(ctx context.Context, client coltsfootwardv1connect.OperatorServiceClient, organisation, key string) (*connect.Response[coltsfootwardv1.ChangeResponse], error) {
	return client.IssueKey(ctx, connect.NewRequest(&coltsfootwardv1.IssueKeyRequest{
		Context: change(organisation + "-key"), Id: organisation + "-1", Organisation: organisation,
		Digest: string(coltsfootward.DigestKey(key)),
	}))
}

// change returns the context of a change that waits until the change is in
// force.
func change(id string) *coltsfootwardv1.ChangeContext {
	const wait = 13_000
	return &coltsfootwardv1.ChangeContext{ChangeId: "quickstart-" + id, WaitMilliseconds: wait}
}
