package explain

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strconv"
	"time"
)

// maximumLineBytes bounds the length of a log line. Longer lines are skipped.
const maximumLineBytes = 1 << 20

// Line is one event of a node's log.
type Line struct {
	// Time is when the node wrote the line, by the node's wall clock.
	Time   time.Time         `json:"time"`
	Node   string            `json:"node"`
	Domain string            `json:"domain,omitempty"`
	Event  string            `json:"event"`
	Code   int               `json:"code"`
	Fields map[string]string `json:"fields"`
}

// count returns the number in the field "count", or zero if there is none.
func (l Line) count() int {
	count, err := strconv.Atoi(l.Fields["count"])
	if err != nil {
		return 0
	}
	return count
}

// Request returns the id of the request that the line is about, or "" if there is none.
func (l Line) Request() string { return l.Fields["request"] }

// Read calls handle with each line of the log that describes an event of a node. It
// skips all other lines, because logs may be mixed with the output of other programs.
func Read(r io.Reader, handle func(Line)) error {
	reader := bufio.NewReaderSize(r, maximumLineBytes)
	for {
		text, err := reader.ReadSlice('\n')
		switch {
		case err == nil || errors.Is(err, io.EOF):
			if line, ok := parse(text); ok {
				handle(line)
			}
		case errors.Is(err, bufio.ErrBufferFull):
			continue
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return fmt.Errorf("explain: read log: %w", err)
		}
	}
}

// parse decodes the JSON object at the end of a line. It returns false if the line does
// not describe an event of a node.
func parse(text []byte) (Line, bool) {
	start := bytes.IndexByte(text, '{')
	if start < 0 || !bytes.Contains(text, []byte(`"code"`)) {
		return Line{}, false
	}
	var object map[string]any
	if json.Unmarshal(text[start:], &object) != nil {
		return Line{}, false
	}
	line := Line{Fields: make(map[string]string)}
	for name, value := range object {
		switch name {
		case "ts":
			seconds, _ := value.(float64)
			line.Time = time.UnixMicro(int64(seconds * 1e6)).UTC()
		case "code":
			code, _ := value.(float64)
			line.Code = int(code)
		case "node":
			line.Node, _ = value.(string)
		case "domain":
			line.Domain, _ = value.(string)
		case "msg":
			line.Event, _ = value.(string)
		case "level":
		default:
			line.Fields[name] = asText(value)
		}
	}
	return line, line.Code != 0 && line.Node != ""
}

func asText(value any) string {
	switch v := value.(type) {
	case string:
		return v
	case float64:
		return strconv.FormatFloat(v, 'f', -1, 64)
	default:
		return fmt.Sprint(v)
	}
}
