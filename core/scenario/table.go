package scenario

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

// Row is one line of the table of outcomes: one scenario on one deployment and
// variant.
type Row struct {
	Deployment string
	Scenario   string
	Variant    Variant
	Measures   Measures
}

// parallelRuns limits the concurrent runs and so their memory use.
const parallelRuns = 8

// RunAll runs every scenario that include accepts on every deployment and
// variant, for count consecutive seeds from first on. The runs are independent
// and execute in parallel.
func RunAll(first uint64, count int, include func(Scenario) bool) []Row {
	var rows []Row
	for _, d := range Deployments() {
		for _, s := range All() {
			for _, v := range Variants() {
				if include(s) {
					rows = append(rows, Row{Deployment: d.Name, Scenario: s.Name, Variant: v})
				}
			}
		}
	}
	var group sync.WaitGroup
	slots := make(chan struct{}, parallelRuns)
	for i := range rows {
		group.Go(func() {
			slots <- struct{}{}
			rows[i].run(first, count)
			<-slots
		})
	}
	group.Wait()
	return rows
}

func (r *Row) run(first uint64, count int) {
	s, _ := Named(r.Scenario)
	for _, d := range Deployments() {
		if d.Name == r.Deployment {
			r.Measures = RunSeeds(s, d, r.Variant, first, count)
		}
	}
}

// Table renders rows as a Markdown table.
func Table(rows []Row) string {
	var b strings.Builder
	b.WriteString("| deployment | scenario | variant | goodput/s | in trouble/s | answered | critical answered | recovery | worst-served | in-rate refused | work wasted |\n")
	b.WriteString("|---|---|---|---:|---:|---:|---:|---:|---:|---:|---:|\n")
	for _, r := range rows {
		m := r.Measures
		fmt.Fprintf(&b, "| %s | %s | %s | %.0f | %.0f | %.1f%% | %.1f%% | %s | %.1f%% | %d (%.1f%%) | %.1f%% |\n",
			r.Deployment, r.Scenario, r.Variant, m.Goodput(), m.DisturbanceGoodput(), 100*m.AnsweredShare(), 100*m.CriticalShare(),
			recoveryText(m), 100*m.WorstServed().Share(), m.InRateRefused, 100*m.InRateRefusedShare(), 100*m.WastedShare())
	}
	return b.String()
}

func recoveryText(m Measures) string {
	if !m.Recovered {
		return fmt.Sprintf("not in %.0f s", recoveryTime.Seconds())
	}
	return fmt.Sprintf("%.1f s", m.Recovery.Round(100*time.Millisecond).Seconds())
}
