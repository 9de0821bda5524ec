package explain

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"coltsfootward/core/record"
)

const (
	// recentLines is how many lines about requests a search by kind keeps, because the
	// refusal that selects the request comes after other lines of that request.
	recentLines = 100_000
	// maximumDrops bounds the reports of dropped lines that a search keeps.
	maximumDrops = 100_000
	// dropMargin is how long before the first or after the last line of a request a
	// report of dropped lines may still concern that request.
	dropMargin = 2 * time.Second
)

// Drop reports that a node dropped lines with one code from its log.
type Drop struct {
	// Time is when the node reported it. The lines were dropped in the second before.
	Time  time.Time `json:"time"`
	Node  string    `json:"node"`
	Code  int       `json:"code"`
	Count int       `json:"count"`
}

// Search collects the log lines of one request. Create it with NewSearch or
// NewSearchFirst.
type Search struct {
	request string
	kind    string
	lines   []Line
	// recent is a ring buffer of the latest lines about any request. It is used until
	// the request is selected.
	recent []Line
	next   int
	drops  []Drop
}

// NewSearch returns a search for the request with the given id.
func NewSearch(request string) *Search { return &Search{request: request} }

// NewSearchFirst returns a search for the first request that was refused with kind.
func NewSearchFirst(kind string) *Search { return &Search{kind: kind} }

// Add processes the next line.
func (s *Search) Add(line Line) {
	if line.Code == int(record.RecordsDropped) {
		s.addDrop(line)
		return
	}
	request := line.Request()
	if request == "" {
		return
	}
	if s.request == "" {
		s.keepRecent(line)
		if line.Code == int(record.RequestRefused) && line.Fields["kind"] == s.kind {
			s.selectRequest(request)
		}
		return
	}
	if request == s.request {
		s.lines = append(s.lines, line)
	}
}

func (s *Search) addDrop(line Line) {
	code, err := strconv.Atoi(line.Fields["of"])
	if err != nil || !isRequestCode(record.Code(code)) || len(s.drops) >= maximumDrops {
		return
	}
	s.drops = append(s.drops, Drop{Time: line.Time, Node: line.Node, Code: code, Count: line.count()})
}

func isRequestCode(code record.Code) bool {
	return code == record.RequestRefused || code == record.AttemptFailed || code == record.CallRefused
}

func (s *Search) keepRecent(line Line) {
	if len(s.recent) < recentLines {
		s.recent = append(s.recent, line)
		return
	}
	s.recent[s.next] = line
	s.next = (s.next + 1) % recentLines
}

// selectRequest selects the request and moves its recent lines to the result.
func (s *Search) selectRequest(request string) {
	s.request = request
	for _, line := range s.recent {
		if line.Request() == request {
			s.lines = append(s.lines, line)
		}
	}
	s.recent = nil
}

// Result returns the explanation, or false if the logs have no line of the request.
func (s *Search) Result() (Explanation, bool) {
	if len(s.lines) == 0 {
		return Explanation{}, false
	}
	lines := slices.Clone(s.lines)
	slices.SortStableFunc(lines, func(a, b Line) int { return cmp.Or(a.Time.Compare(b.Time), cmp.Compare(a.Code, b.Code)) })
	return Explanation{Request: s.request, Lines: lines, Cause: cause(lines), Dropped: s.dropsNear(lines)}, true
}

// dropsNear returns the drops that may concern the request: those of the nodes that
// handled it, within dropMargin of its lines.
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
