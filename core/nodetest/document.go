package nodetest

import (
	"coltsfootward"
	"coltsfootward/core/node"
)

// Documents is a fake of the operators' document on the platform. It answers checks
// alone: it has lost all long polls. Its fields may be changed while the rig runs.
type Documents struct {
	// Current is the stored configuration.
	Current coltsfootward.Configuration
	// Silent makes checks remain unanswered.
	Silent bool
	// Unanswered holds the nodes whose checks remain unanswered.
	Unanswered map[coltsfootward.InstanceID]bool
	// Checks counts the checks that the nodes have made.
	Checks int

	rig *Rig
}

func (d *Documents) check(m *Member) {
	d.Checks++
	if d.Silent || d.Unanswered[m.Instance.ID] {
		return
	}
	began, boot := d.rig.now, m.boots
	d.rig.After(tableLatency, func() {
		if m.boots != boot {
			return
		}
		if d.Current.Revision() > 0 {
			m.ReadConfiguration(d.Current)
		}
		m.deliver(func() node.Event { return node.DocumentConfirmed{Age: d.rig.now - began} })
	})
}
