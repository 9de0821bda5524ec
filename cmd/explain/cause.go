package explain

import (
	"fmt"
	"strings"

	"coltsfootward"
	"coltsfootward/core/attribution"
	"coltsfootward/core/record"
)

// Explanation describes the course and the end of one request, as found in the logs.
type Explanation struct {
	Request string `json:"request"`
	// Lines are the request's log lines, ordered by time. The clocks of nodes differ a
	// little, so lines of different nodes may be out of order.
	Lines []Line `json:"lines"`
	// Cause is a sentence that states what ended the request and why.
	Cause string `json:"cause"`
	// Dropped counts lines that nodes dropped from their logs and that may concern this
	// request.
	Dropped []Drop `json:"dropped"`
}

// cause describes what ended a request, given its lines in order.
func cause(lines []Line) string {
	refused, ok := lastWithCode(lines, record.RequestRefused)
	if !ok {
		return notRefused(lines) + parentRequest(lines)
	}
	where := fmt.Sprintf("%s refused it after %s as %s", refused.Node, waitTime(refused), refused.Fields["kind"])
	return where + ": " + refusalReason(lines, refused) + "." + outcome(refused) + parentRequest(lines)
}

// parentRequest names the request that a child call was attributed to, or states why it
// was attributed to none. It returns "" if no attribution was logged.
func parentRequest(lines []Line) string {
	for _, line := range lines {
		f := line.Fields
		switch attribution.Outcome(f["attribution"]) {
		case attribution.OutcomeUnique:
			return fmt.Sprintf(" It is a call of request %s (attribution unique) and counts for organisation %q.", f["parent"], f["account"])
		case attribution.OutcomeAmbiguous:
			return " It is a call of a backend server that several requests in service may have made (attribution ambiguous)."
		case attribution.OutcomeNone:
			return " It is a call of a backend server that no request in service can have made (attribution none)."
		}
	}
	return ""
}

// notRefused describes a request for which no refusal to its caller was logged.
func notRefused(lines []Line) string {
	failed, ok := lastWithCode(lines, record.AttemptFailed)
	if !ok {
		refused, _ := lastWithCode(lines, record.CallRefused)
		return fmt.Sprintf("%s refused it for its backend server (%s); the outcome for its caller was not logged.", refused.Node, refused.Fields["detail"])
	}
	return fmt.Sprintf("Attempt %s at %s failed (%s) and no refusal followed: a later attempt got a response, or the caller cancelled the request.",
		failed.Fields["hop"], failed.Fields["instance"], failed.Fields["detail"])
}

// refusalReason describes why a request was refused.
func refusalReason(lines []Line, refused Line) string {
	f := refused.Fields
	switch kind := coltsfootward.RefusalKind(f["kind"]); {
	case kind == coltsfootward.RefusalOverRate && f["parts"] != "":
		return fmt.Sprintf("organisation %s has a rate of %s requests per second and a burst of %s (revision %s), and no part of the rate had a token: %s",
			f["organisation"], f["rate"], f["burst"], f["revision"], f["parts"])
	case f["full"] != "" && f["resource"] == "retries":
		return fmt.Sprintf("it needs service %s, whose servers reject so much that the retry budget cannot carry a fraction of %s of the demand (reported %s ago), so requests with a rank above %s are refused and this one has rank %s; the lines retries_short of these servers' nodes show the budget",
			f["full"], f["excess"], f["age"], f["limit"], f["rank"])
	case f["full"] != "" && f["contended_band"] != "":
		return shareReason(refused)
	case f["full"] != "":
		return fmt.Sprintf("it needs service %s, whose servers request that a fraction of %s of the demand be refused (reported %s ago), so requests with a rank above %s are refused and this one has rank %s%s%s",
			f["full"], f["excess"], f["age"], f["limit"], f["rank"], limitShortfall(refused),
			coldTime(refused, "; so many of these servers are cold, for another %s, that the service can handle little"))
	case kind == coltsfootward.RefusalQuarantined:
		return quarantineReason(refused)
	case kind == coltsfootward.RefusalNoUpstream && f["known"] != "":
		return fmt.Sprintf("of %s known backend servers of %s, %s were tried, %s are ejected after failures, %s suspected, %s unreachable%s",
			f["known"], f["service"], f["tried"], f["ejected"], f["suspected"], f["unreachable"], outOfService(refused))
	case kind == coltsfootward.RefusalOverloaded && f["limited"] != "" && f["limited"] != "0":
		return fmt.Sprintf("%s: of %s known backend servers of %s, %s name a limit that this node has used up and %s were tried; the lines backend_limited show the limits",
			f["detail"], f["known"], f["service"], f["limited"], f["tried"])
	case kind == coltsfootward.RefusalOverloaded:
		if callRefused, ok := lastWithCode(lines, record.CallRefused); ok {
			return backendLoad(callRefused)
		}
	case kind == coltsfootward.RefusalTimeout:
		return timeoutReason(lines, refused)
	}
	if failed, ok := lastWithCode(lines, record.AttemptFailed); ok && f["hops"] != "0" {
		return fmt.Sprintf("attempt %s at %s ended after %s: %s", failed.Fields["hop"], failed.Fields["instance"], failed.Fields["took"], f["detail"])
	}
	return f["detail"]
}

// shareReason describes a request that was refused by the demand of the whole fleet.
func shareReason(refused Line) string {
	f := refused.Fields
	text := fmt.Sprintf("it needs service %s, which can serve a fraction of %s of the fleet's demand (known %s ago); requests of importance %s do not all fit",
		f["full"], f["passed"], f["summary_age"], f["contended_band"])
	switch {
	case f["asked"] == "":
		text += fmt.Sprintf(", and this one has importance %s (0 is the most important)", f["band"])
	case f["account"] == "others":
		text += fmt.Sprintf(", and its organisation %s is one of those that are not counted by name: together they ask for %s slots at importance %s and get %s",
			f["organisation"], f["asked"], f["band"], f["share"])
	default:
		text += fmt.Sprintf(", and its organisation %s (weight %s) asks for %s slots at importance %s and its share is %s",
			f["account"], f["weight"], f["asked"], f["band"], f["share"])
	}
	return text + limitShortfall(refused) + coldTime(refused, "; so many of its servers are cold, for another %s, that it can handle little")
}

// quarantineReason describes a withheld request. A node that refuses it on behalf of its
// backend server does not log method and path.
func quarantineReason(refused Line) string {
	f := refused.Fields
	text := f["detail"]
	if f["path"] != "" {
		text += fmt.Sprintf("; it is %s %s of organisation %q on route %q", f["method"], f["path"], f["organisation"], f["route"])
	}
	return text + "; equal requests are withheld, and the lines backend_crashed with the fingerprint show which servers crashed and when"
}

// backendLoad describes the load of the backend server that refused a call.
func backendLoad(refused Line) string {
	f := refused.Fields
	return fmt.Sprintf("at %s, with %s requests running (limit %s), %s queued (%s of work) and %s left until the request's deadline: %s%s",
		refused.Node, f["running"], f["limit"], f["queued"], f["backlog"], f["left"], f["detail"], namedLimit(refused)+statedSlowdown(refused)+retryGrant(refused)+coldTime(refused, "; it is cold for another %s"))
}

// namedLimit states the limit that the backend server names, if it names one.
func namedLimit(refused Line) string {
	limit := refused.Fields["named_limit"]
	if limit == "" {
		return ""
	}
	return fmt.Sprintf("; it names a limit of %s requests per second", limit)
}

// statedSlowdown states the slowdown that the backend server stated, if it stated one.
func statedSlowdown(refused Line) string {
	slowdown := refused.Fields["slowdown"]
	if slowdown == "" {
		return ""
	}
	return fmt.Sprintf("; %s before, it stated that work takes %s times as long as usual", refused.Fields["slowdown_age"], slowdown)
}

// retryGrant states that the retry budget of the backend server's node left no retry.
func retryGrant(refused Line) string {
	if refused.Fields["retry_granted"] != "false" {
		return ""
	}
	return fmt.Sprintf("; its node granted no retry (%s left of its part of the retry budget, need %s times what is left)", refused.Fields["retries_left"], refused.Fields["retry_shortage"])
}

// limitShortfall states that the limits which the servers of a service name have no room
// for the demand. It returns "" if the refusal was not due to limits.
func limitShortfall(refused Line) string {
	fraction := refused.Fields["limit_shortfall"]
	if fraction == "" {
		return ""
	}
	return fmt.Sprintf("; all of these servers name limits, which have no room for a fraction of %s of the requests", fraction)
}

// coldTime formats the remaining time for which servers are cold. It returns "" if the
// refusal was not due to cold servers.
func coldTime(refused Line, format string) string {
	left := refused.Fields["cold"]
	if left == "" {
		return ""
	}
	return fmt.Sprintf(format, left)
}

// outOfService lists the failure domains that were out of service, if any.
func outOfService(refused Line) string {
	out := refused.Fields["out_of_service"]
	if out == "" {
		return ""
	}
	return " or in a failure domain out of service (" + out + ")"
}

// timeoutReason describes where the time of a timed-out request was spent.
func timeoutReason(lines []Line, refused Line) string {
	f := refused.Fields
	text := fmt.Sprintf("%s at hop %s", f["detail"], f["hops"])
	if f["instance"] != "" {
		text += fmt.Sprintf(", during an attempt at %s of service %s", f["instance"], f["service"])
	}
	var spent []string
	for _, line := range lines {
		if line.Code == int(record.AttemptFailed) {
			spent = append(spent, fmt.Sprintf("%s at %s (%s)", line.Fields["took"], line.Fields["instance"], line.Fields["kind"]))
		}
	}
	if len(spent) > 0 {
		text += "; earlier attempts: " + strings.Join(spent, ", ")
	}
	return text
}

// outcome states whether the request was executed and when the caller may retry.
func outcome(refused Line) string {
	if refused.Fields["execution"] == string(coltsfootward.ExecutionNotRun) {
		return fmt.Sprintf(" It was not executed; the caller was told to retry after %s.", refused.Fields["retry_after"])
	}
	return " It is not known whether it was executed."
}

func lastWithCode(lines []Line, code record.Code) (Line, bool) {
	for i := len(lines) - 1; i >= 0; i-- {
		if lines[i].Code == int(code) {
			return lines[i], true
		}
	}
	return Line{}, false
}

// waitTime returns how long a request had waited. The field "waited" is missing if the
// request was refused on arrival.
func waitTime(refused Line) string {
	if d := refused.Fields["waited"]; d != "" {
		return d
	}
	return "0s"
}
