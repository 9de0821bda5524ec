package main

import (
	"encoding/json"
	"fmt"
	"strings"
	"text/tabwriter"

	coltsfootwardv1 "coltsfootward/schema/coltsfootward/v1"

	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"
)

// print writes a response as JSON, or as a table of rows with a heading.
func (s *session) print(response proto.Message, heading []string, rows [][]string) error {
	if s.options.Output == "json" {
		return s.printJSON(response)
	}
	return s.printTable(heading, rows)
}

// printTable writes a table with aligned columns.
func (s *session) printTable(heading []string, rows [][]string) error {
	w := tabwriter.NewWriter(s.out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, strings.Join(heading, "\t"))
	for _, row := range rows {
		fmt.Fprintln(w, strings.Join(row, "\t"))
	}
	return w.Flush()
}

// printJSON writes a response as JSON with the field names of the schema. It re-encodes
// the output of protojson, which randomises white space on purpose.
func (s *session) printJSON(response proto.Message) error {
	data, err := protojson.MarshalOptions{UseProtoNames: true, EmitUnpopulated: true}.Marshal(response)
	if err != nil {
		return fmt.Errorf("coltsfootctl: encode response: %w", err)
	}
	var tree any
	if err := json.Unmarshal(data, &tree); err != nil {
		return fmt.Errorf("coltsfootctl: encode response: %w", err)
	}
	encoder := json.NewEncoder(s.out)
	encoder.SetIndent("", "  ")
	return encoder.Encode(tree)
}

func (s *session) printChange(r *coltsfootwardv1.ChangeResponse, changeID string) error {
	if s.options.Output == "json" {
		return s.printJSON(r)
	}
	state := "stored"
	if r.InForce {
		state = "in force"
	}
	fmt.Fprintf(s.out, "revision %d %s (change %s)\n", r.Revision, state, changeID)
	if !r.InForce {
		return s.print(r, domainHeading, domainRows(r.Domains))
	}
	return nil
}

var domainHeading = []string{"DOMAIN", "REVISION", "CONFIRMED", "WAITING FOR"}

func domainRows(domains []*coltsfootwardv1.DomainRevision) [][]string {
	var rows [][]string
	for _, d := range domains {
		rows = append(rows, []string{d.Domain, fmt.Sprint(d.Revision), yesNo(d.Confirmed), strings.Join(d.WaitingFor, ",")})
	}
	return rows
}

func yesNo(b bool) string {
	if b {
		return "yes"
	}
	return "no"
}
