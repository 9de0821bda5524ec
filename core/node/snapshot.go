package node

import (
	"coltsfootward"
	"coltsfootward/core/message"
	"coltsfootward/core/record"
)

const (
	// pageBytes limits a message with configuration content to a quarter of the
	// frame size that peers accept.
	pageBytes = 256 << 10
	// changeBytes and markBytes are generous estimates of encoded sizes:
	// changeBytes of a change or a single object, markBytes of each of a
	// service's marks.
	changeBytes = 512
	markBytes   = 256
)

// boundedChanges returns the longest prefix of the changes that fits in one
// message, but at least one change.
func boundedChanges(changes []coltsfootward.Change) []coltsfootward.Change {
	size := 0
	for i, change := range changes {
		size += changeBytes
		if change.Service != nil {
			size += markBytes * len(change.Service.Marks)
		}
		if size > pageBytes && i > 0 {
			return changes[:i]
		}
	}
	return changes
}

// servedSnapshot is the configuration that a node currently serves in pages. It
// is stored, so that later changes do not make the pages inconsistent.
type servedSnapshot struct {
	revision coltsfootward.Revision
	pages    []message.ConfigurationPage
}

// servePage sends the requested page of a snapshot. If that snapshot is no
// longer available, it sends the first page of the current one.
func (p *configurationComponent) servePage(to coltsfootward.InstanceID, m message.ConfigurationPull) {
	page := m.Page
	if m.Snapshot == 0 || m.Snapshot != p.served.revision || page < 0 || page >= len(p.served.pages) {
		page = 0
		if p.served.revision != p.current.Revision() {
			p.served = servedSnapshot{revision: p.current.Revision(), pages: pagesOf(p.current)}
		}
	}
	p.send(to, &p.served.pages[page])
}

// pagesOf splits a configuration into messages of bounded size.
func pagesOf(c coltsfootward.Configuration) []message.ConfigurationPage {
	pages := []message.ConfigurationPage{{}}
	size := 0
	pageFor := func(bytes int) *message.ConfigurationPage {
		size += bytes
		if size > pageBytes {
			pages = append(pages, message.ConfigurationPage{})
			size = bytes
		}
		return &pages[len(pages)-1]
	}
	for _, o := range c.Organisations() {
		page := pageFor(changeBytes)
		page.Organisations = append(page.Organisations, o)
	}
	for _, k := range c.Keys() {
		page := pageFor(changeBytes)
		page.Keys = append(page.Keys, k)
	}
	for _, s := range c.Services() {
		page := pageFor(changeBytes + markBytes*len(s.Marks))
		page.Services = append(page.Services, s)
	}
	for i := range pages {
		pages[i].Revision, pages[i].Page, pages[i].Pages = c.Revision(), i, len(pages)
	}
	return pages
}

// pageCollector assembles the pages of one snapshot from one peer.
type pageCollector struct {
	from          coltsfootward.InstanceID
	revision      coltsfootward.Revision
	next          int
	organisations []coltsfootward.Organisation
	keys          []coltsfootward.Key
	services      []coltsfootward.Service
}

// pageReceived adds a page of a peer's snapshot. The configuration is installed
// once all pages of one revision have arrived in order, provided that it is
// newer than the one in force.
func (p *configurationComponent) pageReceived(from coltsfootward.InstanceID, m message.ConfigurationPage) {
	if m.Revision <= p.current.Revision() {
		return
	}
	c := &p.pages
	if m.Page == 0 {
		*c = pageCollector{from: from, revision: m.Revision}
	}
	if c.from != from || c.revision != m.Revision || c.next != m.Page {
		return
	}
	c.next++
	c.organisations = append(c.organisations, m.Organisations...)
	c.keys = append(c.keys, m.Keys...)
	c.services = append(c.services, m.Services...)
	p.lastPull = p.node.now.Monotonic
	if c.next < m.Pages {
		p.send(from, &message.ConfigurationPull{After: p.current.Revision(), Snapshot: m.Revision, Page: c.next})
		return
	}
	p.install(coltsfootward.NewConfiguration(c.revision, c.organisations, c.keys, c.services))
	p.pages = pageCollector{}
}

func (p *configurationComponent) install(c coltsfootward.Configuration) {
	p.current = c
	p.history = nil
	p.node.report(record.SnapshotInForce, field("revision", c.Revision().String()))
	p.configurationChanged(nil)
}
