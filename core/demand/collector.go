package demand

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"coltsfootward"

	"github.com/cespare/xxhash/v2"
)

const (
	// maxReportsPerSecond is the rate of reports to one collector that the interval
	// between reports keeps.
	maxReportsPerSecond = 200
	// maxReporters bounds the entry nodes that one collector serves, and thereby its
	// memory. Reports of further ones are not answered, so that they choose another
	// collector. maxInterval is the interval that results from it.
	maxReporters = 4096
	maxInterval  = maxReporters * time.Second / maxReportsPerSecond
	// lifetimeIntervals is the number of intervals after which a report or an
	// exchanged sum is dropped.
	lifetimeIntervals = 3
	// exchangedOrganisations is the number of organisations that a collector names to
	// the others.
	exchangedOrganisations = 32
	// BandOrganisations is the number of organisations of each band that a summary
	// names, and summaryOrganisations the most that it names in all. The limit bounds
	// the size of an answer when different organisations are the heaviest in each band.
	BandOrganisations    = 16
	summaryOrganisations = 48
	// A collector answers with the same summary for the part 1/summariesPerInterval of
	// the interval between reports. Adding up all reports for every answer would cost
	// more than the rest of the collector's work.
	summariesPerInterval = 5
	// maxExchanges is the number of sums that a collector sends per ReportInterval.
	maxExchanges = 8
	// maxExchangeSources bounds the collectors whose sums are held. Nodes that choose
	// the collectors by different rosters may send sums from more than MaxCollectors.
	maxExchangeSources = 4 * MaxCollectors
)

// MaxCollectors is the largest number of collectors of a service, and
// collectorsPerDomain that in one failure domain.
const (
	MaxCollectors       = 16
	collectorsPerDomain = 2
)

// Collectors returns the collectors of a service, whose servers are given, by
// rendezvous hash. There is one in each failure domain, up to the limit, and then a
// second one. Nodes that know the same servers choose the same collectors, and a server
// that joins or leaves moves few entry nodes.
func Collectors(service coltsfootward.ServiceName, servers []coltsfootward.Instance) []coltsfootward.Instance {
	score := func(name string) uint64 { return xxhash.Sum64String(string(service) + "\x00" + name) }
	byDomain := make(map[coltsfootward.FailureDomain][]coltsfootward.Instance)
	for _, s := range servers {
		byDomain[s.Domain] = append(byDomain[s.Domain], s)
	}
	domains := slices.SortedFunc(maps.Keys(byDomain), func(a, b coltsfootward.FailureDomain) int {
		return cmp.Or(cmp.Compare(score(string(a)), score(string(b))), cmp.Compare(a, b))
	})
	for _, in := range byDomain {
		slices.SortFunc(in, func(a, b coltsfootward.Instance) int {
			return cmp.Or(cmp.Compare(score(string(a.ID)), score(string(b.ID))), cmp.Compare(a.ID, b.ID))
		})
	}
	var chosen []coltsfootward.Instance
	for i := range collectorsPerDomain {
		for _, domain := range domains {
			if i < len(byDomain[domain]) && len(chosen) < MaxCollectors {
				chosen = append(chosen, byDomain[domain][i])
			}
		}
	}
	return chosen
}

// Nearest sorts collectors by their distance from an entry node: those of its own
// failure domain come first. Equally near ones are sorted by a hash, so that entry
// nodes spread over them.
func Nearest(self coltsfootward.Instance, collectors []coltsfootward.Instance) []coltsfootward.Instance {
	distance := func(i coltsfootward.Instance) int {
		if i.Domain == self.Domain {
			return 0
		}
		return 1
	}
	score := func(i coltsfootward.Instance) uint64 {
		return xxhash.Sum64String(string(self.ID) + "\x00" + string(i.ID))
	}
	sorted := slices.Clone(collectors)
	slices.SortFunc(sorted, func(a, b coltsfootward.Instance) int {
		return cmp.Or(cmp.Compare(distance(a), distance(b)), cmp.Compare(score(a), score(b)), cmp.Compare(a.ID, b.ID))
	})
	return sorted
}

// Collector sums up the demand for one service from the reports of entry nodes and the
// sums of the service's other collectors. The zero value is ready for use. Collector is
// not safe for concurrent use.
type Collector struct {
	reports   map[coltsfootward.InstanceID]heldReport
	exchanged map[coltsfootward.InstanceID]heldSum
	// summary is the latest summary, and summaryUntil is how long it is used.
	summary      Summary
	summaryUntil time.Duration
	// nextExchange is when sums are sent next, and position the number of sums sent, by
	// which the receivers take turns.
	nextExchange time.Duration
	position     int
}

type heldReport struct {
	domain  coltsfootward.FailureDomain
	report  Report
	expires time.Duration
}

type heldSum struct {
	sum     Summary
	expires time.Duration
}

// Report adds the report of an entry node in the given failure domain. It returns false
// if the collector serves too many entry nodes already.
func (c *Collector) Report(now time.Duration, from coltsfootward.InstanceID, domain coltsfootward.FailureDomain, r Report) bool {
	if _, known := c.reports[from]; !known && len(c.reports) >= maxReporters {
		return false
	}
	if c.reports == nil {
		c.reports = make(map[coltsfootward.InstanceID]heldReport)
	}
	r.Organisations = r.Organisations[:min(len(r.Organisations), reportedOrganisations)]
	r.Admitted = plausibleOrZero(r.Admitted)
	c.reports[from] = heldReport{domain: domain, report: r, expires: now + lifetimeIntervals*c.interval()}
	return true
}

// Reports reports whether an entry node's report is held.
func (c *Collector) Reports(id coltsfootward.InstanceID) bool {
	_, ok := c.reports[id]
	return ok
}

// interval returns the time between two reports of an entry node at which the rate of
// reports keeps its bound.
func (c *Collector) interval() time.Duration {
	return max(ReportInterval, time.Duration(len(c.reports))*time.Second/maxReportsPerSecond)
}

// Exchange adds the sum of another collector.
func (c *Collector) Exchange(now time.Duration, from coltsfootward.InstanceID, sum Summary) {
	if _, known := c.exchanged[from]; !known && len(c.exchanged) >= maxExchangeSources {
		return
	}
	if c.exchanged == nil {
		c.exchanged = make(map[coltsfootward.InstanceID]heldSum)
	}
	sum = sum.withoutImplausible()
	sum.Organisations = sum.Organisations[:min(len(sum.Organisations), exchangedOrganisations)]
	// Receivers take turns if there are more than maxExchanges.
	turns := (MaxCollectors - 1 + maxExchanges - 1) / maxExchanges
	c.exchanged[from] = heldSum{sum: sum, expires: now + lifetimeIntervals*time.Duration(turns)*ReportInterval}
}

// Idle reports whether nothing is held.
func (c *Collector) Idle() bool { return len(c.reports) == 0 && len(c.exchanged) == 0 }

func (c *Collector) expire(now time.Duration) {
	maps.DeleteFunc(c.reports, func(_ coltsfootward.InstanceID, h heldReport) bool { return now >= h.expires })
	maps.DeleteFunc(c.exchanged, func(_ coltsfootward.InstanceID, h heldSum) bool { return now >= h.expires })
}

// ExchangeDue reports whether an exchange is due, and returns those among the other
// collectors to which the sum is to be sent then. There are none if the collector itself
// has no reports.
func (c *Collector) ExchangeDue(now time.Duration, others []coltsfootward.Instance) (due bool, to []coltsfootward.Instance) {
	if now < c.nextExchange {
		return false, nil
	}
	c.nextExchange = now + ReportInterval
	c.expire(now)
	if len(c.reports) == 0 {
		return true, nil
	}
	for range min(len(others), maxExchanges) {
		to = append(to, others[c.position%len(others)])
		c.position++
	}
	return true, to
}

// Sum returns the sum of the reports of entry nodes, as it is sent to other collectors.
func (c *Collector) Sum(now time.Duration, service coltsfootward.ServiceName) Summary {
	c.expire(now)
	t := newTotals()
	for _, id := range slices.Sorted(maps.Keys(c.reports)) {
		h := c.reports[id]
		t.add(h.report.Total, h.report.Organisations, h.report.Others, h.report.OtherCount)
		t.addDomain(Domain{Name: h.domain, Demand: h.report.Total.Total(), Admitted: h.report.Admitted})
		t.admitted += h.report.Admitted
		t.entries++
		t.contended = t.contended || h.report.Contended
	}
	s := t.summary(service)
	named, others, count := heaviest(s.Organisations, exchangedOrganisations)
	s.Organisations, s.Others, s.OtherCount = named, s.Others.plus(others), max(s.OtherCount, count)
	return s
}

// Summary returns the demand of the fleet as far as it is known, to answer reports with.
func (c *Collector) Summary(now time.Duration, service coltsfootward.ServiceName) Summary {
	if now < c.summaryUntil && c.summary.Service == service {
		return c.summary
	}
	own := c.Sum(now, service)
	t := newTotals()
	t.merge(own)
	for _, id := range slices.Sorted(maps.Keys(c.exchanged)) {
		t.merge(c.exchanged[id].sum)
	}
	s := t.summary(service)
	s.nameHeaviest()
	s.Interval = c.interval()
	c.summary, c.summaryUntil = s, now+s.Interval/summariesPerInterval
	return s
}

// totals adds up reports and sums.
type totals struct {
	total, others ByBand
	otherCount    int
	organisations map[coltsfootward.OrganisationName]ByBand
	domains       map[coltsfootward.FailureDomain]Domain
	admitted      float64
	entries       int
	contended     bool
}

func newTotals() *totals {
	return &totals{
		organisations: make(map[coltsfootward.OrganisationName]ByBand),
		domains:       make(map[coltsfootward.FailureDomain]Domain),
	}
}

// add adds demand. The organisations that are not named are mostly the same ones at
// every node, so the largest number of them is kept.
func (t *totals) add(total ByBand, organisations []Organisation, others ByBand, otherCount int) {
	t.total = t.total.plus(total)
	t.others = t.others.plus(others)
	t.otherCount = max(t.otherCount, otherCount)
	for _, o := range organisations {
		t.organisations[o.Name] = t.organisations[o.Name].plus(o.Demand)
	}
}

func (t *totals) addDomain(d Domain) {
	sum := t.domains[d.Name]
	t.domains[d.Name] = Domain{Name: d.Name, Demand: sum.Demand + d.Demand, Admitted: sum.Admitted + d.Admitted}
}

func (t *totals) merge(s Summary) {
	t.add(s.Total, s.Organisations, s.Others, s.OtherCount)
	for _, d := range s.Domains {
		t.addDomain(d)
	}
	t.admitted += s.Admitted
	t.entries += s.Entries
	t.contended = t.contended || s.Contended
}

func (t *totals) summary(service coltsfootward.ServiceName) Summary {
	s := Summary{Service: service, Total: t.total, Others: t.others, OtherCount: t.otherCount, Admitted: t.admitted, Entries: t.entries, Contended: t.contended}
	for _, name := range slices.Sorted(maps.Keys(t.organisations)) {
		s.Organisations = append(s.Organisations, Organisation{Name: name, Demand: t.organisations[name]})
	}
	for _, name := range slices.Sorted(maps.Keys(t.domains)) {
		s.Domains = append(s.Domains, t.domains[name])
	}
	return s
}

// nameHeaviest keeps the heaviest organisations of each band, and adds the others to
// Others.
func (s *Summary) nameHeaviest() {
	kept := make(map[coltsfootward.OrganisationName]bool)
	var byBand [Bands][]Organisation
	for band := range byBand {
		if s.Total[band] == 0 {
			continue
		}
		for _, o := range s.Organisations {
			if o.Demand[band] > 0 {
				byBand[band] = append(byBand[band], o)
			}
		}
		slices.SortFunc(byBand[band], func(a, b Organisation) int {
			return cmp.Or(cmp.Compare(b.Demand[band], a.Demand[band]), cmp.Compare(a.Name, b.Name))
		})
	}
	for place := range BandOrganisations {
		for _, in := range byBand {
			if place < len(in) && len(kept) < summaryOrganisations {
				kept[in[place].Name] = true
			}
		}
	}
	named := make([]Organisation, 0, len(kept))
	count := 0
	for _, o := range s.Organisations {
		if kept[o.Name] {
			named = append(named, o)
			continue
		}
		s.Others = s.Others.plus(o.Demand)
		count++
	}
	s.Organisations = named
	s.OtherCount = max(s.OtherCount, count)
}
