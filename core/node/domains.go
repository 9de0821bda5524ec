package node

import (
	"strconv"

	"coltsfootward"
	"coltsfootward/core/message"
	"coltsfootward/core/record"
)

// domainsPart knows which failure domains are out of service. Its version never
// goes down in one run.
type domainsPart struct {
	node    *Node
	current coltsfootward.OutOfService
}

// adopt puts a later state in force and passes it on. Whoever misses it learns of
// it from the next gossip, which carries the state whole.
func (p *domainsPart) adopt(o coltsfootward.OutOfService) {
	if o.Version <= p.current.Version {
		return
	}
	before := p.current
	p.current = o
	if before.SameDomains(o) {
		return
	}
	p.report(before)
	p.node.upstream.domainsChanged(before)
	own := p.node.configuration.own()
	for _, to := range p.node.configuration.pushTargets() {
		p.node.act(Send{To: to, Message: &message.ConfigurationDigest{
			Revision: own.Revision, TableAge: own.TableAge, OutOfService: own.OutOfService,
		}})
	}
}

// report tells of each domain that has gone out of service or come back.
func (p *domainsPart) report(before coltsfootward.OutOfService) {
	version := field("version", strconv.FormatUint(p.current.Version, 10))
	for _, domain := range p.current.Domains {
		if !before.Has(domain) {
			p.node.report(record.DomainOut, field("domain", string(domain)), version)
		}
	}
	for _, domain := range before.Domains {
		if !p.current.Has(domain) {
			p.node.report(record.DomainRestored, field("domain", string(domain)), version)
		}
	}
}

// ownOut reports whether this node's own domain is out of service.
func (p *domainsPart) ownOut() bool { return p.current.Has(p.node.options.Self.Domain) }

// OutOfService returns the failure domains that are out of service, as far as this
// node knows.
func (n *Node) OutOfService() coltsfootward.OutOfService { return n.domains.current }
