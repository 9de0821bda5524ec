package node

import (
	"fmt"
	"strings"

	"coltsfootward"
	admissioncontrol "coltsfootward/core/admission"
	"coltsfootward/core/message"
)

// request converts the call to a request for admission control.
func (p *upstreamComponent) request(call *upstreamCall) admissioncontrol.Request {
	organisation, weight := p.node.shares.account(call.head)
	return admissioncontrol.Request{
		ID:           admissioncontrol.RequestID(call.id),
		Priority:     queuePriority(call.head),
		ShedRank:     call.head.ShedRank,
		Deep:         call.head.Depth > 0,
		Attributed:   call.head.Attributed,
		Organisation: organisation,
		Weight:       weight,
		Class:        classOf(call.head),
		Arrived:      call.arrivedAt,
		Deadline:     call.deadline,
		StartBy:      call.startDeadline(),
		Repeatable:   !call.head.Unrepeatable,
	}
}

// queuePriority combines a request's two priorities into its priority in the
// queue. Without a secondary priority only every fourth value is used.
func queuePriority(head message.Call) int {
	secondary := 0
	if head.SecondaryPriority != "" {
		secondary = head.SecondaryPriority.Rank()
	}
	return head.Priority.Rank()*len(coltsfootward.Priorities()) + secondary
}

// classOf returns the class of work that a request belongs to: its route if it
// has one, otherwise its requestClass.
func classOf(head message.Call) string {
	if head.Route != "" {
		return string(head.Route)
	}
	return requestClass(head.Method, head.Path)
}

// requestClass groups requests that probably take equally long: those with the
// same method and the same first two segments of the path. The segments after
// that usually identify a single resource.
func requestClass(method, path string) string {
	end := 0
	for range 2 {
		next := strings.IndexByte(path[min(end+1, len(path)):], '/')
		if next < 0 {
			return method + " " + path
		}
		end += 1 + next
	}
	return method + " " + path[:end]
}

// check returns a refusal for a call that cannot be served on this node at all.
func (p *upstreamComponent) check(call *upstreamCall) *coltsfootward.Refusal {
	local := p.node.membership.local
	if local.Service == "" || local.Service != call.head.Service {
		return refusal(coltsfootward.RefusalNoUpstream, fmt.Sprintf("no backend server of %q runs here", call.head.Service))
	}
	if local.Draining || p.node.draining {
		return refusal(coltsfootward.RefusalDraining, "the backend server takes no new work")
	}
	if p.node.domains.ownDomainOut() {
		return refusal(coltsfootward.RefusalDraining, outOfServiceText)
	}
	if call.head.Budget < 1 {
		return refusal(coltsfootward.RefusalAttempts, "the chain has used its attempts")
	}
	return p.checkDeadlines(call)
}

// checkDeadlines returns a refusal for a call whose deadline has passed or
// whose admission has expired.
func (p *upstreamComponent) checkDeadlines(call *upstreamCall) *coltsfootward.Refusal {
	now := p.node.now.Expiry
	if now >= call.deadline {
		return refusal(coltsfootward.RefusalTimeout, "the caller's time ran out before the request started")
	}
	// Without this check, a node that was paused between admission and dispatch
	// would start work in addition to what the organisation's rate has
	// meanwhile been charged for elsewhere. The admission's short lifetime
	// prevents that: an older call is not dispatched.
	if last := call.startDeadline(); last != 0 && now >= last {
		return refusal(coltsfootward.RefusalStale, "the request waited longer than its admission lasts")
	}
	return nil
}
