package node

import (
	"strconv"

	"coltsfootward"
	"coltsfootward/core/message"
	"coltsfootward/core/record"
)

// domainsComponent holds the failure domains that are out of service. Its
// version never decreases during a run.
type domainsComponent struct {
	node    *Node
	current coltsfootward.OutOfService
}

// adopt puts a newer state in force and sends it to a few members. Nodes that
// miss it receive it with the next gossip, which contains the full state.
func (p *domainsComponent) adopt(o coltsfootward.OutOfService) {
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
	own := p.node.configuration.ownDigest()
	for _, to := range p.node.configuration.pushTargets() {
		p.node.act(Send{To: to, Message: &message.ConfigurationDigest{
			Revision: own.Revision, TableAge: own.TableAge, OutOfService: own.OutOfService, Crashes: own.Crashes,
		}})
	}
}

// report reports each failure domain that has been taken out of service or
// restored.
func (p *domainsComponent) report(before coltsfootward.OutOfService) {
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

// ownDomainOut reports whether this node's own failure domain is out of service.
func (p *domainsComponent) ownDomainOut() bool { return p.current.Has(p.node.options.Self.Domain) }

// OutOfService returns the failure domains that are out of service as known to
// this node.
func (n *Node) OutOfService() coltsfootward.OutOfService { return n.domains.current }
