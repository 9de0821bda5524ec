package coltsfootward

import "slices"

// OutOfService says which failure domains operators have taken out of service.
// Their backend servers get no work; their nodes go on serving callers. It is
// immutable: the With methods return changed copies. The zero value knows nothing.
type OutOfService struct {
	// Version orders states: whoever has two of them goes by the higher one.
	Version uint64 `msgpack:"version" json:"version"`
	// Domains are sorted and each stands once.
	Domains []FailureDomain `msgpack:"domains,omitempty" json:"domains"`
}

// Has reports whether the domain is out of service.
func (o OutOfService) Has(domain FailureDomain) bool {
	_, found := slices.BinarySearch(o.Domains, domain)
	return found
}

// WithVersion returns a copy of that version.
func (o OutOfService) WithVersion(version uint64) OutOfService {
	o.Version = version
	return o
}

// WithDomain returns a copy in which the domain is out of service, or is not.
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

// SameDomains reports whether both name the same domains.
func (o OutOfService) SameDomains(other OutOfService) bool {
	return slices.Equal(o.Domains, other.Domains)
}
