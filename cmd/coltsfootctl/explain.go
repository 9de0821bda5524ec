package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"strings"
	"time"

	"coltsfootward/cmd/explain"
)

// errNotFound reports that the logs have no line of the request.
var errNotFound = errors.New("no log mentions such a request: give the logs of all nodes that may have handled it, for the time of the request")

// incompleteError reports that nodes dropped log lines that may concern the request, so
// that the explanation may be incomplete.
type incompleteError struct{ dropped []explain.Drop }

// Error implements error.
func (e *incompleteError) Error() string {
	counts := make(map[string]int)
	for _, d := range e.dropped {
		counts[d.Node] += d.Count
	}
	var gaps []string
	for _, node := range slices.Sorted(maps.Keys(counts)) {
		gaps = append(gaps, fmt.Sprintf("%d at %s", counts[node], node))
	}
	return "explained in part: lines about requests were left out of the logs at that time: " + strings.Join(gaps, ", ")
}

// progressInterval is the time between two progress lines while logs are read.
const progressInterval = 2 * time.Second

// worstNodes is the number of nodes with the most lines that a summary lists.
const worstNodes = 8

type explainCommand struct {
	session *session
	First   string `long:"first" value-name:"KIND" description:"explain the first request that was refused as KIND, such as over_rate, instead of one by its id"`
	Summary bool   `long:"summary" description:"count the causes of all refusals and failed attempts by second, service and failure domain"`
	JSON    bool   `long:"json" description:"print JSON; the same as --output json"`
	Args    struct {
		Arguments []string `positional-arg-name:"REQUEST FILE"`
	} `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (c *explainCommand) Execute([]string) error {
	arguments := c.Args.Arguments
	if c.First != "" && c.Summary {
		return &usageError{"--first and --summary exclude each other"}
	}
	if c.Summary {
		return c.summarise(arguments)
	}
	search := explain.NewSearchFirst(c.First)
	if c.First == "" {
		if len(arguments) == 0 || arguments[0] == "" {
			return &usageError{"name a request by its id, or use --first KIND or --summary"}
		}
		search = explain.NewSearch(arguments[0])
		arguments = arguments[1:]
	}
	if err := c.read(arguments, search.Add); err != nil {
		return err
	}
	explanation, ok := search.Result()
	if !ok {
		return errNotFound
	}
	if err := c.print(explanation); err != nil {
		return err
	}
	if len(explanation.Dropped) > 0 {
		return &incompleteError{explanation.Dropped}
	}
	return nil
}

// read reads the files, or standard input if there are none, and passes each line to
// handle.
func (c *explainCommand) read(files []string, handle func(explain.Line)) error {
	if len(files) == 0 {
		return explain.Read(c.progress(c.session.in), handle)
	}
	for _, name := range files {
		file, err := os.Open(name)
		if err != nil {
			return &usageError{fmt.Sprintf("cannot read a log: %v", err)}
		}
		err = explain.Read(c.progress(file), handle)
		file.Close()
		if err != nil {
			return err
		}
	}
	return nil
}

// progressReader prints on standard error how much has been read.
type progressReader struct {
	source     io.Reader
	out        io.Writer
	read       int64
	lastReport time.Time
}

func (c *explainCommand) progress(source io.Reader) io.Reader {
	return &progressReader{source: source, out: c.session.errout, lastReport: time.Now()}
}

// Read implements io.Reader.
func (r *progressReader) Read(p []byte) (int, error) {
	n, err := r.source.Read(p)
	r.read += int64(n)
	if time.Since(r.lastReport) >= progressInterval {
		r.lastReport = time.Now()
		fmt.Fprintf(r.out, "coltsfootctl: %d MB of logs read\n", r.read>>20)
	}
	return n, err
}

func (c *explainCommand) json() bool { return c.JSON || c.session.options.Output == "json" }

func (c *explainCommand) print(explanation explain.Explanation) error {
	if c.json() {
		return c.printJSON(explanation)
	}
	out := c.session.out
	fmt.Fprintf(out, "request %s\n\n", explanation.Request)
	for _, line := range explanation.Lines {
		fmt.Fprintf(out, "%s  %-24s %s\n", line.Time.Format("15:04:05.000000"), line.Node, line.Event)
		for _, name := range slices.Sorted(maps.Keys(line.Fields)) {
			if name != "request" && line.Fields[name] != "" {
				fmt.Fprintf(out, "    %-13s %s\n", name, line.Fields[name])
			}
		}
	}
	_, err := fmt.Fprintf(out, "\n%s\n", explanation.Cause)
	return err
}

func (c *explainCommand) printJSON(value any) error {
	encoder := json.NewEncoder(c.session.out)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}

func (c *explainCommand) summarise(files []string) error {
	summary := explain.NewSummary()
	if err := c.read(files, summary.Add); err != nil {
		return err
	}
	if c.json() {
		return c.printJSON(struct {
			Rows    []explain.SummaryRow `json:"rows"`
			Dropped int                  `json:"dropped"`
		}{summary.Rows(), summary.Dropped})
	}
	fmt.Fprintln(c.session.out, "over all seconds and failure domains")
	c.table(summary.Causes(), "")
	fmt.Fprintln(c.session.out, "\nby second and failure domain")
	c.table(summary.Rows(), "15:04:05")
	_, err := fmt.Fprintf(c.session.out, "\nnodes with the most lines: %s\nlines left out of the logs: %d\n", strings.Join(summary.Worst(worstNodes), ", "), summary.Dropped)
	return err
}

// table prints counts. If layout is not empty, each row starts with the second, in this
// layout, and the failure domain.
func (c *explainCommand) table(rows []explain.SummaryRow, layout string) {
	for _, row := range rows {
		second := ""
		if layout != "" {
			second = row.Second.Format(layout) + "  " + fmt.Sprintf("%-12s ", row.Domain)
		}
		fmt.Fprintf(c.session.out, "%s%6d  %-15s %-16s %-14s %s\n", second, row.Count, row.Event, row.Kind, row.Service, row.Cause)
	}
}
