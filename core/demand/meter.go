package demand

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"coltsfootward"
)

const (
	// meterTime is the time constant of a Meter. It is shorter than the waves of demand
	// of some seconds that the placement follows, and long enough for the average to be
	// steady at a few requests per second.
	meterTime = time.Second
	// maxOrganisations bounds the organisations that a Meter holds for one service. The
	// demand of further ones is measured as one.
	maxOrganisations = 256
	// reportedOrganisations is the number of organisations that a report names.
	reportedOrganisations = 8
	// minDemand is the demand below which an organisation is dropped.
	minDemand = 1e-4
	// pruneInterval is the time between two searches for organisations to drop.
	pruneInterval = time.Second
)

// Meter measures, on an entry node, the slot time per second that callers' requests ask
// of each service, before any of them is refused. It answers loads in which callers
// compete for a service: refusing a fraction of the node's own demand would serve a
// caller by where its requests enter. The zero value is ready for use. Meter is not
// safe for concurrent use.
type Meter struct {
	services map[coltsfootward.ServiceName]*serviceMeter
}

// serviceMeter holds decaying averages as of at.
type serviceMeter struct {
	at, recordedAt time.Duration
	nextPrune      time.Duration
	organisations  map[coltsfootward.OrganisationName]*ByBand
	// unnamed is the demand of organisations beyond maxOrganisations.
	unnamed ByBand
	// admitted is the demand that was not refused.
	admitted float64
}

// Record adds a request of the given importance band that takes slotTime seconds at the
// service.
func (m *Meter) Record(now time.Duration, service coltsfootward.ServiceName, organisation coltsfootward.OrganisationName, band int, slotTime float64) {
	if m.services == nil {
		m.services = make(map[coltsfootward.ServiceName]*serviceMeter)
	}
	s, ok := m.services[service]
	if !ok {
		s = &serviceMeter{at: now, organisations: make(map[coltsfootward.OrganisationName]*ByBand)}
		m.services[service] = s
	}
	s.advance(now)
	s.recordedAt = now
	s.bands(organisation)[min(max(band, 0), Bands-1)] += slotTime / meterTime.Seconds()
}

// Admit records that a request, which Record has counted, is not refused where it
// entered.
func (m *Meter) Admit(now time.Duration, service coltsfootward.ServiceName, slotTime float64) {
	if s, ok := m.services[service]; ok {
		s.advance(now)
		s.admitted += slotTime / meterTime.Seconds()
	}
}

func (s *serviceMeter) bands(organisation coltsfootward.OrganisationName) *ByBand {
	if found, ok := s.organisations[organisation]; ok {
		return found
	}
	if len(s.organisations) >= maxOrganisations {
		return &s.unnamed
	}
	added := new(ByBand)
	s.organisations[organisation] = added
	return added
}

// advanceStep is the time after which the averages are decayed. Decaying all of them
// with every request would cost more than the request's placement.
const advanceStep = 20 * time.Millisecond

func (s *serviceMeter) advance(now time.Duration) {
	if now-s.at < advanceStep {
		return
	}
	factor := math.Exp(-(now - s.at).Seconds() / meterTime.Seconds())
	s.at = now
	s.unnamed = s.unnamed.times(factor)
	s.admitted *= factor
	for _, bands := range s.organisations {
		*bands = bands.times(factor)
	}
	if now >= s.nextPrune {
		s.nextPrune = now + pruneInterval
		maps.DeleteFunc(s.organisations, func(_ coltsfootward.OrganisationName, b *ByBand) bool { return b.Total() < minDemand })
	}
}

// Report returns the demand for a service as it is sent to a collector.
func (m *Meter) Report(now time.Duration, service coltsfootward.ServiceName) Report {
	r := Report{Service: service}
	s, ok := m.services[service]
	if !ok {
		return r
	}
	s.advance(now)
	organisations := make([]Organisation, 0, len(s.organisations))
	for name, bands := range s.organisations {
		organisations = append(organisations, Organisation{Name: name, Demand: *bands})
	}
	r.Organisations, r.Others, r.OtherCount = heaviest(organisations, reportedOrganisations)
	r.Others = r.Others.plus(s.unnamed)
	r.Admitted = s.admitted
	r.Total = r.Others
	for _, o := range r.Organisations {
		r.Total = r.Total.plus(o.Demand)
	}
	return r
}

// idleTime is the time after which a service without requests is dropped.
const idleTime = 10 * time.Second

// Prune drops services that no request has asked for of late.
func (m *Meter) Prune(now time.Duration) {
	maps.DeleteFunc(m.services, func(_ coltsfootward.ServiceName, s *serviceMeter) bool { return now-s.recordedAt > idleTime })
}

// heaviest returns the count organisations with the most demand, and the demand and
// number of the others.
func heaviest(organisations []Organisation, count int) (named []Organisation, others ByBand, otherCount int) {
	slices.SortFunc(organisations, func(a, b Organisation) int {
		return cmp.Or(cmp.Compare(b.Demand.Total(), a.Demand.Total()), cmp.Compare(a.Name, b.Name))
	})
	if len(organisations) <= count {
		return organisations, ByBand{}, 0
	}
	for _, o := range organisations[count:] {
		others = others.plus(o.Demand)
	}
	return slices.Clip(organisations[:count]), others, len(organisations) - count
}
