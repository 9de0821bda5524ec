package node

import (
	"math"
	"time"

	"coltsfootward"
	"coltsfootward/core/completion"
	"coltsfootward/core/message"
	"coltsfootward/core/placement"
	"coltsfootward/core/record"
)

const (
	// badFigureInterval is the minimum time between two reports of figures that cannot be used.
	// A faulty server states them with each response.
	badFigureInterval = time.Minute
	// slowdownReportInterval is the minimum time between two reports of a changed slowdown, and of
	// notices received. The figures may change many times a second.
	slowdownReportInterval = time.Second
	// statedLoadLifetime is the age from which a stated slowdown is void. A server that no
	// longer states one would otherwise have its service times divided by the last one forever.
	statedLoadLifetime = 10 * time.Second
	// mixedStep is the relative change of the slowdown from which the duration of a request in
	// service is not used, and mixedAfter the time without other durations after which it is used
	// all the same.
	mixedStep  = 0.25
	mixedAfter = 2 * time.Second
)

// statedLoad holds the load that the local backend server states with its responses, and tells
// entry nodes when it changes. All its times are by Instant.Monotonic.
type statedLoad struct {
	node     *Node
	notifier completion.Notifier
	// current holds the figures stated last, at statedAt. slowdownAt is when a slowdown was
	// stated last.
	current              coltsfootward.BackendLoad
	statedAt, slowdownAt time.Duration
	// reported is the slowdown that was reported last. The times are the earliest ones of the next
	// reports.
	reported                                     float64
	nextChangeReport, nextBadReport, nextReceipt time.Duration
	// sent and received count notices.
	sent, received int
	// total is the integral over time of the stated slowdown, in seconds. measuredAt is when a
	// service time was last used to learn usual durations.
	total      float64
	measuredAt time.Duration
	// voided counts how often the stated slowdown has become void, upon which total starts anew.
	voided int
}

// slowdownMark holds what was stated when a request was dispatched.
type slowdownMark struct {
	slowdown, total float64
	voided          int
}

// mark returns what is stated now. It is to be called when a request is dispatched.
func (p *statedLoad) mark() slowdownMark {
	p.expire()
	slowdown, stated := p.current.Slowdown()
	if !stated {
		return slowdownMark{}
	}
	return slowdownMark{slowdown: slowdown, total: p.totalAt(p.node.now.Monotonic), voided: p.voided}
}

func (p *statedLoad) totalAt(now time.Duration) float64 {
	slowdown, _ := p.current.Slowdown()
	return p.total + slowdown*(now-p.statedAt).Seconds()
}

// during returns the mean slowdown stated while a request was in service, by which its duration is
// divided; zero if nothing was stated. It returns false if the duration says nothing about the
// usual one.
//
// A request that was in service when the slowdown changed took neither its usual time nor the
// slowdown times as long. Divided by the figure at its end, such durations made a server
// that had just become slow look 2.5 times as fast as it is, so that it kept its share of
// the requests. They are used only if there are no others.
func (p *statedLoad) during(began time.Duration, mark slowdownMark) (slowdown float64, usable bool) {
	now := p.node.now.Monotonic
	if mark.slowdown > 0 && mark.voided != p.voided {
		return 0, false
	}
	last, stated := p.current.Slowdown()
	if !stated || mark.slowdown == 0 || now <= began {
		return 0, true
	}
	changed := math.Abs(last-mark.slowdown) >= mixedStep*mark.slowdown
	if changed && now-p.measuredAt < mixedAfter {
		return 0, false
	}
	p.measuredAt = now
	return (p.totalAt(now) - mark.total) / (now - began).Seconds(), true
}

// observed processes the figures of a response or a health check, which were read age ago. A
// figure that is absent does not void what was stated before. Figures older than the last
// stated slowdown are ignored: those of a response that is relayed for seconds arrive late.
func (p *statedLoad) observed(load coltsfootward.BackendLoad, unusable string, age time.Duration) {
	now := p.node.now.Monotonic
	if unusable != "" && now >= p.nextBadReport {
		p.nextBadReport = now + badFigureInterval
		p.node.report(record.BackendLoadUnusable, field("error", unusable))
	}
	p.expire()
	readAt := now - max(age, 0)
	if load == (coltsfootward.BackendLoad{}) || readAt < p.slowdownAt {
		return
	}
	slowdown, stated := load.Slowdown()
	if !stated {
		slowdown, _ = p.current.Slowdown()
	} else {
		p.slowdownAt = readAt
	}
	p.total = p.totalAt(now)
	p.current, p.statedAt = load.WithSlowdown(slowdown), now
}

// expire voids a slowdown that the server has not stated again within its lifetime.
func (p *statedLoad) expire() {
	if _, stated := p.current.Slowdown(); stated && p.node.now.Monotonic-p.slowdownAt >= statedLoadLifetime {
		p.void(p.current.WithSlowdown(0))
	}
}

// void replaces the figures by ones that state no slowdown. Those read before are ignored from
// then on, since they may come from another start of the server.
func (p *statedLoad) void(load coltsfootward.BackendLoad) {
	p.current, p.total, p.slowdownAt = load, 0, p.node.now.Monotonic
	p.voided++
	p.notifier.Reset()
}

// reset forgets what the server stated, because another server or another start of it has taken
// its place.
func (p *statedLoad) reset() { p.void(coltsfootward.BackendLoad{}) }

// addTo adds the stated slowdown and the wait to a load report, if the server states a slowdown.
func (p *statedLoad) addTo(load message.Load) message.Load {
	slowdown, stated := p.current.Slowdown()
	age := p.node.now.Monotonic - p.slowdownAt
	if !stated || age >= statedLoadLifetime {
		return load
	}
	load.Slowdown, load.SlowdownAge = slowdown, age
	load.Wait = p.node.upstream.admission.Backlog() / time.Duration(max(load.Limit, 1))
	return load
}

// used records that an entry node sent a request for the server.
func (p *statedLoad) used(from coltsfootward.InstanceID) {
	if _, stated := p.current.Slowdown(); stated {
		p.notifier.Used(p.node.now.Monotonic, from)
	}
}

// notify tells entry nodes about the load if it has changed enough.
func (p *statedLoad) notify() {
	if _, stated := p.current.Slowdown(); !stated {
		return
	}
	now, admission := p.node.now.Monotonic, p.node.upstream.admission
	load := p.addTo(message.Load{
		Running: admission.Running(), Queued: admission.Queued(), Limit: admission.Limit(), Cold: p.node.upstream.coldRemaining(),
	})
	receivers := p.notifier.Observe(now, load)
	for _, id := range receivers {
		if id == p.node.options.Self.ID {
			p.node.placement.noticeReceived(id, 0, load)
			continue
		}
		p.sent++
		p.node.configuration.send(id, &message.LoadNotice{Load: load})
	}
	if slowdown := load.Slowdown; len(receivers) > 0 && slowdown != p.reported && now >= p.nextChangeReport {
		p.nextChangeReport = now + slowdownReportInterval
		p.node.report(record.BackendSlowdown, field("service", string(p.node.options.Service)), field("slowdown", decimal(slowdown)),
			field("before", decimal(p.reported)), field("age", rounded(load.SlowdownAge)), field("wait", rounded(load.Wait)),
			field("notified", number(len(receivers))))
		p.reported = slowdown
	}
}

// evidence returns the log fields that show the stated slowdown, if there is one.
func (p *statedLoad) evidence(fields []record.Field) []record.Field {
	slowdown, stated := p.current.Slowdown()
	if !stated {
		return fields
	}
	return append(fields, field("slowdown", decimal(slowdown)), field("slowdown_age", rounded(p.node.now.Monotonic-p.slowdownAt)))
}

// noticeReceived applies a load notice of the given age.
func (p *placementComponent) noticeReceived(from coltsfootward.InstanceID, age time.Duration, load message.Load) {
	service, ok := p.serviceOf[from]
	now := p.node.now.Monotonic
	if !ok || !p.poolFor(service).pool.ObserveNotice(now-age, from, load) {
		return
	}
	stated := &p.node.upstream.stated
	stated.received++
	if now < stated.nextReceipt {
		return
	}
	stated.nextReceipt = now + slowdownReportInterval
	p.node.report(record.LoadNoticeReceived, field("instance", string(from)), field("service", string(service)),
		field("slowdown", decimal(load.Slowdown)), field("slowdown_age", rounded(load.SlowdownAge)), field("wait", rounded(load.Wait)),
		field("age", rounded(age)))
}

// Servers describes the backend servers of a service as this node sees them.
func (n *Node) Servers(service coltsfootward.ServiceName) []placement.ServerView {
	s, ok := n.placement.pools[service]
	if !ok {
		return nil
	}
	return s.pool.Servers(n.now.Monotonic)
}

// serverViews returns the views of all backend servers.
func (n *Node) serverViews() map[coltsfootward.InstanceID]placement.ServerView {
	views := make(map[coltsfootward.InstanceID]placement.ServerView)
	for service := range n.placement.pools {
		for _, v := range n.Servers(service) {
			views[v.Instance.ID] = v
		}
	}
	return views
}

// StatedLoad describes what the local backend server states, and the load notices of the node.
type StatedLoad struct {
	// Slowdown is how many times as long as usual work takes, as stated Age ago; zero if
	// nothing is stated.
	Slowdown float64
	Age      time.Duration
	// Load holds all figures stated last.
	Load coltsfootward.BackendLoad
	// NoticesSent and NoticesReceived count load notices.
	NoticesSent, NoticesReceived int
}

// StatedLoad returns what the local backend server states.
func (n *Node) StatedLoad() StatedLoad {
	p := &n.upstream.stated
	s := StatedLoad{Load: p.current, NoticesSent: p.sent, NoticesReceived: p.received}
	if slowdown, stated := p.current.Slowdown(); stated {
		s.Slowdown, s.Age = slowdown, n.now.Monotonic-p.slowdownAt
	}
	return s
}
