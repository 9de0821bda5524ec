package upstream

import (
	"net/http"

	"coltsfootward"
	"coltsfootward/core/node"
)

// reportCondition passes on what the backend server states about itself with the
// response. A response that states nothing is passed on only if the state machine
// expects a condition to end, so that usual responses cost no event.
func (d *dispatch) reportCondition(response *http.Response) {
	condition, err := d.server.fields.Condition(response.Header)
	event := node.BackendAnswered{Call: d.call.ID, Condition: condition}
	if err != nil {
		event.Unreadable = err.Error()
	}
	if err != nil || d.action.ConditionExpected || condition != (coltsfootward.BackendCondition{}) {
		d.server.loop.Post(event)
	}
}

// readLoad reads the load that the response states. It reaches the state machine with the
// end of the dispatch. A response with another request's ID is a surplus one, and status 421
// comes from another server.
func (d *dispatch) readLoad(response *http.Response) {
	fields := d.server.options.Routed
	if fields == nil || response.StatusCode == http.StatusMisdirectedRequest {
		return
	}
	if id := response.Header.Get(fields.Request); id != "" && id != string(d.head.Request) {
		return
	}
	load, err := fields.BackendLoad(response.Header)
	d.load, d.loadAt = load, d.server.clock.Now().Monotonic
	if err != nil {
		d.unusableLoad = err.Error()
	}
}
