package explain

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"coltsfootward/core/record"
)

const (
	// recentLines is how many lines about requests a search by kind remembers, so
	// that it can tell what came before the request was known to be the one.
	recentLines = 100_000
	// maximumDrops bounds the reports of dropped lines that a search remembers.
	maximumDrops = 100_000
	// dropMargin is how far from a request's lines dropped ones may have told of it.
	dropMargin = 2 * time.Second
)

// Drop says that a node left lines of one kind out of its log.
type Drop struct {
	// Time is when the node said so; the lines are of the second before.
	Time  time.Time `json:"time"`
	Node  string    `json:"node"`
	Code  int       `json:"code"`
	Count int       `json:"count"`
}

// Search collects what the logs tell of one request. Create it with NewSearch or
// NewSearchFirst.
type Search struct {
	request string
	kind    string
	lines   []Line
	// recent holds the latest lines about requests, as a ring, while the request is
	// not known.
	recent []Line
	next   int
	drops  []Drop
}

// NewSearch returns a search for a request by its id.
func NewSearch(request string) *Search { return &Search{request: request} }

// NewSearchFirst returns a search for the first request that was refused as kind.
func NewSearchFirst(kind string) *Search { return &Search{kind: kind} }

// Take takes in the next line.
func (s *Search) Take(line Line) {
	if line.Code == int(record.RecordsDropped) {
		s.dropped(line)
		return
	}
	request := line.Request()
	if request == "" {
		return
	}
	if s.request == "" {
		s.remember(line)
		if line.Code == int(record.RequestRefused) && line.Fields["kind"] == s.kind {
			s.found(request)
		}
		return
	}
	if request == s.request {
		s.lines = append(s.lines, line)
	}
}

func (s *Search) dropped(line Line) {
	code, err := strconv.Atoi(line.Fields["of"])
	if err != nil || !aboutRequests(record.Code(code)) || len(s.drops) >= maximumDrops {
		return
	}
	s.drops = append(s.drops, Drop{Time: line.Time, Node: line.Node, Code: code, Count: line.count()})
}

func aboutRequests(code record.Code) bool {
	return code == record.RequestRefused || code == record.AttemptFailed || code == record.CallRefused
}

func (s *Search) remember(line Line) {
	if len(s.recent) < recentLines {
		s.recent = append(s.recent, line)
		return
	}
	s.recent[s.next] = line
	s.next = (s.next + 1) % recentLines
}

// found settles on a request and takes over what was remembered of it.
func (s *Search) found(request string) {
	s.request = request
	for _, line := range s.recent {
		if line.Request() == request {
			s.lines = append(s.lines, line)
		}
	}
	s.recent = nil
}

// Result returns what was found, or false if the logs tell nothing of the request.
func (s *Search) Result() (Explanation, bool) {
	if len(s.lines) == 0 {
		return Explanation{}, false
	}
	lines := slices.Clone(s.lines)
	slices.SortStableFunc(lines, func(a, b Line) int { return cmp.Or(a.Time.Compare(b.Time), cmp.Compare(a.Code, b.Code)) })
	return Explanation{Request: s.request, Lines: lines, Cause: cause(lines), Dropped: s.dropsNear(lines)}, true
}

// dropsNear returns the dropped lines that may have told of the request: those of
// the nodes that it passed, at about its time.
func (s *Search) dropsNear(lines []Line) []Drop {
	nodes := make(map[string]bool)
	for _, line := range lines {
		nodes[line.Node] = true
		nodes[line.Fields["instance"]] = true
	}
	from, to := lines[0].Time.Add(-dropMargin), lines[len(lines)-1].Time.Add(dropMargin)
	var near []Drop
	for _, d := range s.drops {
		if nodes[d.Node] && d.Time.After(from) && d.Time.Before(to) {
			near = append(near, d)
		}
	}
	return near
}
