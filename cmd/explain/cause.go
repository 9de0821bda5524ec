package explain

import (
	"fmt"
	"strings"

	"coltsfootward"
	"coltsfootward/core/record"
)

// Explanation is what the logs tell of one request.
type Explanation struct {
	Request string `json:"request"`
	// Lines are in the order of their times. Clocks of nodes differ a little.
	Lines []Line `json:"lines"`
	// Cause is a sentence that says what ended the request and on what grounds.
	Cause string `json:"cause"`
	// Dropped are lines that were left out of the logs and may have told more.
	Dropped []Drop `json:"dropped"`
}

// cause puts in words what ended a request, by its lines in order.
func cause(lines []Line) string {
	refused, ok := last(lines, record.RequestRefused)
	if !ok {
		return notRefused(lines)
	}
	where := fmt.Sprintf("%s refused it after %s as %s", refused.Node, waited(refused), refused.Fields["kind"])
	return where + ": " + grounds(lines, refused) + "." + outcome(refused)
}

// notRefused tells of a request of which no refusal to its caller was logged.
func notRefused(lines []Line) string {
	failed, ok := last(lines, record.AttemptFailed)
	if !ok {
		refused, _ := last(lines, record.CallRefused)
		return fmt.Sprintf("%s refused it for its backend server (%s); how it ended for its caller was not logged.", refused.Node, refused.Fields["detail"])
	}
	return fmt.Sprintf("Attempt %s at %s failed (%s) and no refusal followed: a later attempt was answered, or the caller left.",
		failed.Fields["hop"], failed.Fields["instance"], failed.Fields["detail"])
}

// grounds says what decided a refusal.
func grounds(lines []Line, refused Line) string {
	f := refused.Fields
	switch kind := coltsfootward.RefusalKind(f["kind"]); {
	case kind == coltsfootward.RefusalOverRate && f["parts"] != "":
		return fmt.Sprintf("organisation %s has %s a second and a burst of %s (revision %s), and none of its parts had a token: %s",
			f["organisation"], f["rate"], f["burst"], f["revision"], f["parts"])
	case f["full"] != "":
		return fmt.Sprintf("it needs service %s, whose servers want %s of the demand refused (told %s ago), so ranks above %s are refused and its own is %s%s",
			f["full"], f["excess"], f["age"], f["limit"], f["rank"], cold(refused, "; of these servers so many are cold, for another %s, that the service bears little"))
	case kind == coltsfootward.RefusalNoUpstream && f["known"] != "":
		return fmt.Sprintf("of %s backend servers of %s that are known, %s were tried, %s are ejected after failures, %s suspected, %s behind a cut%s",
			f["known"], f["service"], f["tried"], f["ejected"], f["suspected"], f["unreachable"], outOfService(refused))
	case kind == coltsfootward.RefusalOverloaded:
		if full, ok := last(lines, record.CallRefused); ok {
			return busy(full)
		}
	case kind == coltsfootward.RefusalTimeout:
		return timedOut(lines, refused)
	}
	if failed, ok := last(lines, record.AttemptFailed); ok && f["hops"] != "0" {
		return fmt.Sprintf("attempt %s at %s ended after %s: %s", failed.Fields["hop"], failed.Fields["instance"], failed.Fields["took"], f["detail"])
	}
	return f["detail"]
}

// busy says how full a backend server was.
func busy(refused Line) string {
	f := refused.Fields
	return fmt.Sprintf("at %s, with %s of %s running and %s waiting (%s of work) and %s of the request's time left, %s%s",
		refused.Node, f["running"], f["limit"], f["queued"], f["backlog"], f["left"], f["detail"], cold(refused, "; it is cold for another %s"))
}

// cold says how much longer servers are cold, if a refusal was due to that.
func cold(refused Line, format string) string {
	left := refused.Fields["cold"]
	if left == "" {
		return ""
	}
	return fmt.Sprintf(format, left)
}

// outOfService names the failure domains that get no work, if there are any.
func outOfService(refused Line) string {
	out := refused.Fields["out_of_service"]
	if out == "" {
		return ""
	}
	return " or in a failure domain out of service (" + out + ")"
}

// timedOut says where a request's time went.
func timedOut(lines []Line, refused Line) string {
	f := refused.Fields
	text := fmt.Sprintf("%s at hop %s", f["detail"], f["hops"])
	if f["instance"] != "" {
		text += fmt.Sprintf(", under way to %s of service %s", f["instance"], f["service"])
	}
	var spent []string
	for _, line := range lines {
		if line.Code == int(record.AttemptFailed) {
			spent = append(spent, fmt.Sprintf("%s at %s (%s)", line.Fields["took"], line.Fields["instance"], line.Fields["kind"]))
		}
	}
	if len(spent) > 0 {
		text += "; before that " + strings.Join(spent, ", ")
	}
	return text
}

// outcome says what the caller may conclude.
func outcome(refused Line) string {
	if refused.Fields["execution"] == string(coltsfootward.ExecutionNotRun) {
		return fmt.Sprintf(" It has not run; the caller was asked back after %s.", refused.Fields["retry_after"])
	}
	return " Whether it ran is not known."
}

func last(lines []Line, code record.Code) (Line, bool) {
	for i := len(lines) - 1; i >= 0; i-- {
		if lines[i].Code == int(code) {
			return lines[i], true
		}
	}
	return Line{}, false
}

// waited is how long a request had waited; one that was refused as it came has no
// such field.
func waited(refused Line) string {
	if d := refused.Fields["waited"]; d != "" {
		return d
	}
	return "0s"
}
