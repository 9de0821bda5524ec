package scenario

import (
	"fmt"
	"strings"
	"time"
)

// Row is one run in the table of outcomes.
type Row struct {
	Deployment string
	Scenario   string
	Variant    Variant
	Measures   Measures
}

// RunAll runs every scenario that keep accepts on every deployment and variant.
func RunAll(seed uint64, keep func(Scenario) bool) []Row {
	var rows []Row
	for _, d := range Deployments() {
		for _, s := range All() {
			if !keep(s) {
				continue
			}
			for _, v := range Variants() {
				rows = append(rows, Row{Deployment: d.Name, Scenario: s.Name, Variant: v, Measures: Run(s, d, v, seed)})
			}
		}
	}
	return rows
}

// Table renders rows as a Markdown table.
func Table(rows []Row) string {
	var b strings.Builder
	b.WriteString("| deployment | scenario | variant | goodput/s | in trouble/s | answered | recovery | worst-served | in-rate refused |\n")
	b.WriteString("|---|---|---|---:|---:|---:|---:|---:|---:|\n")
	for _, r := range rows {
		m := r.Measures
		fmt.Fprintf(&b, "| %s | %s | %s | %.0f | %.0f | %.1f%% | %s | %.1f%% | %d (%.1f%%) |\n",
			r.Deployment, r.Scenario, r.Variant, m.Goodput, m.TroubleGoodput, 100*m.Share(), recoveryText(m),
			100*m.WorstShare, m.InRateRefused, 100*m.InRateShare())
	}
	return b.String()
}

func recoveryText(m Measures) string {
	if !m.Recovered {
		return fmt.Sprintf("not in %.0f s", after.Seconds())
	}
	return fmt.Sprintf("%.1f s", m.Recovery.Round(100*time.Millisecond).Seconds())
}
