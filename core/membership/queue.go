package membership

import (
	"cmp"
	"slices"

	"coltsfootward"
	"coltsfootward/core/message"
)

// queue contains the updates that are still to be gossiped, at most one per member.
type queue struct {
	items []*queuedUpdate
	index map[coltsfootward.InstanceID]*queuedUpdate
	order uint64
}

type queuedUpdate struct {
	update message.MemberUpdate
	sent   int
	// order is the sequence number of the update in the queue. Among updates that were
	// sent equally often, newer ones go first.
	order uint64
}

func newQueue() *queue {
	return &queue{index: make(map[coltsfootward.InstanceID]*queuedUpdate)}
}

// add queues an update and replaces any queued update of the same member.
func (q *queue) add(update message.MemberUpdate) {
	q.order++
	id := update.Announcement.Instance.ID
	if item, ok := q.index[id]; ok {
		item.update, item.sent, item.order = update, 0, q.order
		return
	}
	item := &queuedUpdate{update: update, order: q.order}
	q.index[id] = item
	q.items = append(q.items, item)
}

// next returns the updates that were sent least often, at most maximumUpdates, and
// counts them as sent once more. Updates that were sent limit times are dropped.
func (q *queue) next(limit int) []message.MemberUpdate {
	if len(q.items) == 0 {
		return nil
	}
	slices.SortFunc(q.items, func(a, b *queuedUpdate) int {
		return cmp.Or(cmp.Compare(a.sent, b.sent), cmp.Compare(b.order, a.order))
	})
	var updates []message.MemberUpdate
	for _, item := range q.items[:min(len(q.items), maximumUpdates)] {
		updates = append(updates, item.update)
		item.sent++
	}
	q.items = slices.DeleteFunc(q.items, func(item *queuedUpdate) bool {
		if item.sent < limit {
			return false
		}
		delete(q.index, item.update.Announcement.Instance.ID)
		return true
	})
	return updates
}
