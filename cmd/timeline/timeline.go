// Package timeline collects the recent events of nodes and merges them into one timeline.
package timeline

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	coltsfootwardv1 "coltsfootward/schema/coltsfootward/v1"
	"coltsfootward/schema/coltsfootward/v1/coltsfootwardv1connect"

	"connectrpc.com/connect"
)

const (
	// workers is how many nodes are queried concurrently.
	workers = 16
	// nodeTimeout bounds the query of one node, so that a node that is down delays the
	// timeline but does not prevent it.
	nodeTimeout = 5 * time.Second
)

// NodeError reports that a node's events could not be retrieved.
type NodeError struct {
	Node string
	Err  error
}

// Error implements error.
func (e *NodeError) Error() string {
	return fmt.Sprintf("timeline: no events from %s: %v: check that the node runs; its events are missing", e.Node, e.Err)
}

// Unwrap returns the cause.
func (e *NodeError) Unwrap() error { return e.Err }

// Collect queries the nodes at the given operators' addresses for their latest events
// and returns the latest limit events of all nodes in order. A limit of zero means all.
// The error joins a *NodeError for each node that could not be queried; the events of
// the other nodes are returned with it.
func Collect(ctx context.Context, nodes []string, limit int32) ([]*coltsfootwardv1.TimelineEvent, error) {
	queue := make(chan string, len(nodes))
	for _, node := range nodes {
		queue <- node
	}
	close(queue)
	var (
		mu     sync.Mutex
		wait   sync.WaitGroup
		all    []*coltsfootwardv1.TimelineEvent
		failed []error
	)
	for range min(workers, len(nodes)) {
		wait.Go(func() {
			for node := range queue {
				events, err := fetch(ctx, node, limit)
				mu.Lock()
				all = append(all, events...)
				if err != nil {
					failed = append(failed, &NodeError{Node: node, Err: err})
				}
				mu.Unlock()
			}
		})
	}
	wait.Wait()
	return Merge(all, int(limit)), errors.Join(failed...)
}

func fetch(ctx context.Context, node string, limit int32) ([]*coltsfootwardv1.TimelineEvent, error) {
	ctx, cancel := context.WithTimeout(ctx, nodeTimeout)
	defer cancel()
	client := coltsfootwardv1connect.NewOperatorServiceClient(http.DefaultClient, "http://"+node)
	response, err := client.Timeline(ctx, connect.NewRequest(&coltsfootwardv1.TimelineRequest{Limit: limit}))
	if err != nil {
		return nil, err
	}
	return response.Msg.Events, nil
}

// Merge sorts events in place by hybrid logical clock, then by instance, and returns the
// latest limit events. A limit of zero or less means all.
func Merge(events []*coltsfootwardv1.TimelineEvent, limit int) []*coltsfootwardv1.TimelineEvent {
	slices.SortStableFunc(events, func(a, b *coltsfootwardv1.TimelineEvent) int {
		return cmp.Or(
			cmp.Compare(a.HybridNanoseconds, b.HybridNanoseconds),
			cmp.Compare(a.Logical, b.Logical),
			cmp.Compare(a.Instance, b.Instance),
		)
	})
	if limit > 0 && len(events) > limit {
		events = events[len(events)-limit:]
	}
	return events
}

// Heading returns the column names of Rows.
func Heading() []string { return []string{"TIME", "INSTANCE", "CODE", "EVENT", "DETAILS"} }

// Rows returns a table row for each event.
func Rows(events []*coltsfootwardv1.TimelineEvent) [][]string {
	var rows [][]string
	for _, e := range events {
		var details []string
		for _, f := range e.Fields {
			details = append(details, f.Name+"="+f.Value)
		}
		wall := time.Unix(0, e.WallNanoseconds).UTC().Format("2006-01-02T15:04:05.000000Z")
		rows = append(rows, []string{wall, e.Instance, fmt.Sprint(e.Code), e.Name, strings.Join(details, " ")})
	}
	return rows
}
