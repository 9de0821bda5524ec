package coltsfootward

import "slices"

// OutOfService is the set of failure domains that operators have taken out of
// service. Backend servers in these domains receive no requests; nodes in them
// continue to serve callers. It is immutable: the With methods return changed
// copies. The zero value is the empty set at version zero.
type OutOfService struct {
	// Version orders the sets: the one with the highest version is in force.
	Version uint64 `msgpack:"version" json:"version"`
	// Domains is sorted and has no duplicates.
	Domains []FailureDomain `msgpack:"domains,omitempty" json:"domains"`
}

// Has reports whether the domain is out of service.
func (o OutOfService) Has(domain FailureDomain) bool {
	_, found := slices.BinarySearch(o.Domains, domain)
	return found
}

// WithVersion returns a copy with the given version.
func (o OutOfService) WithVersion(version uint64) OutOfService {
	o.Version = version
	return o
}

// WithDomain returns a copy in which the domain is out of service if out is true,
// and in service otherwise.
func (o OutOfService) WithDomain(domain FailureDomain, out bool) OutOfService {
	i, found := slices.BinarySearch(o.Domains, domain)
	switch {
	case out && !found:
		o.Domains = slices.Insert(slices.Clone(o.Domains), i, domain)
	case !out && found:
		o.Domains = slices.Delete(slices.Clone(o.Domains), i, i+1)
	}
	return o
}

// SameDomains reports whether o and other contain the same domains. Their versions
// may differ.
func (o OutOfService) SameDomains(other OutOfService) bool {
	return slices.Equal(o.Domains, other.Domains)
}
