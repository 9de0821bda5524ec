package main

import (
	"strings"
	"testing"
	"time"

	"coltsfootward/core/emulation"
)

// Guards against a mistyped flag being accepted: the emulation would then run without a
// disturbance, and its results would look as if the system coped with it.
func TestEmulateRejectsInvalidFlags(t *testing.T) {
	for name, c := range map[string]emulate{
		"has no service":        {Service: "nobody", Duration: time.Second},
		"--duration":            {Duration: time.Millisecond},
		"--burst":               {Duration: time.Second, Burst: -1},
		"--lost":                {Duration: time.Second, Lost: 4},
		"--rejects and --fails": {Duration: time.Second, Rejects: 1.5},
		"--limited":             {Duration: time.Second, Limit: 3, Limited: 4},
		"--wave":                {Duration: time.Second, Wave: 1},
		"--leaving":             {Duration: time.Second, Leaving: -1},
	} {
		if _, err := c.disturbance(emulation.Consortium()); err == nil || !strings.Contains(err.Error(), name) {
			t.Errorf("%+v: got %v, want an error that names %q", c, err, name)
		}
	}
	got, err := (&emulate{Duration: time.Second, Burst: 2, Lost: 1}).disturbance(emulation.Consortium())
	if err != nil || got.Service != "sections" || got.LostServers != 1 {
		t.Errorf("got %+v and %v, want the loss of one server of the deepest service", got, err)
	}
}
