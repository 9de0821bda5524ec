package membership

import (
	"cmp"
	"slices"

	"coltsfootward"
	"coltsfootward/core/message"
)

// queue holds news that is still to be passed on.
type queue struct {
	items []*queued
	index map[coltsfootward.InstanceID]*queued
	order uint64
}

type queued struct {
	news message.News
	sent int
	// order breaks ties in favour of the younger news.
	order uint64
}

func newQueue() *queue {
	return &queue{index: make(map[coltsfootward.InstanceID]*queued)}
}

// add puts news in place of any earlier news of the same member.
func (q *queue) add(news message.News) {
	q.order++
	id := news.Announcement.Instance.ID
	if item, ok := q.index[id]; ok {
		item.news, item.sent, item.order = news, 0, q.order
		return
	}
	item := &queued{news: news, order: q.order}
	q.index[id] = item
	q.items = append(q.items, item)
}

// take returns the news that was passed on least and counts it as passed on
// once more; news that has reached limit is dropped.
func (q *queue) take(limit int) []message.News {
	if len(q.items) == 0 {
		return nil
	}
	slices.SortFunc(q.items, func(a, b *queued) int {
		return cmp.Or(cmp.Compare(a.sent, b.sent), cmp.Compare(b.order, a.order))
	})
	var taken []message.News
	for _, item := range q.items[:min(len(q.items), maximumNews)] {
		taken = append(taken, item.news)
		item.sent++
	}
	q.items = slices.DeleteFunc(q.items, func(item *queued) bool {
		if item.sent < limit {
			return false
		}
		delete(q.index, item.news.Announcement.Instance.ID)
		return true
	})
	return taken
}
