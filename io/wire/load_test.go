package wire_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"coltsfootward"
	"coltsfootward/io/wire"
)

// Guards against a bad figure that hides the others, and against one that is taken for true.
func TestBackendLoad(t *testing.T) {
	counts := coltsfootward.BackendLoad{}.WithRunning(3).WithWaiting(1).WithSlots(88)
	tests := []struct {
		text string
		want coltsfootward.BackendLoad
		bad  string
	}{
		{"3,1,88", counts, ""},
		{" 3, 1 ,88 ,250", counts.WithSlowdown(2.5), ""},
		{"3,1,88,250,7,seven", counts.WithSlowdown(2.5), ""},
		{"3,1,88,", counts, ""},
		{"3,1,88,slow", counts, "slowdown"},
		{"3,1,88,-100", counts, "slowdown"},
		{"3,1,88,0", counts, "slowdown"},
		{"3,1,88,NaN", counts, "slowdown"},
		{"3,1,88,1e9", counts, "slowdown"},
		{"3,-1,88,100", coltsfootward.BackendLoad{}.WithRunning(3).WithSlots(88).WithSlowdown(1), "waiting"},
		{",,88,100", coltsfootward.BackendLoad{}.WithSlots(88).WithSlowdown(1), ""},
		{"3,1,9999999,100", coltsfootward.BackendLoad{}.WithRunning(3).WithWaiting(1).WithSlowdown(1), "slots"},
		{"x", coltsfootward.BackendLoad{}, "running"},
		{"", coltsfootward.BackendLoad{}, ""},
	}
	fields := wire.Fields{Load: "Load"}
	for _, test := range tests {
		got, err := fields.BackendLoad(http.Header{"Load": {test.text}})
		if got != test.want || (err != nil) != (test.bad != "") || !strings.Contains(fmt.Sprint(err), test.bad) {
			t.Errorf("%q: got %+v and error %v, want %+v and an error that names %q", test.text, got, err, test.want, test.bad)
		}
	}
	if got, err := fields.BackendLoad(http.Header{}); got != (coltsfootward.BackendLoad{}) || err != nil {
		t.Errorf("without the field: got %+v and error %v, want nothing", got, err)
	}
}

func FuzzBackendLoad(f *testing.F) {
	for _, text := range []string{"1,2,3,100", "-1,,1e400,NaN", ",,,0x1p-2", "9,9,9,10000.5,,,"} {
		f.Add(text)
	}
	fields := wire.Fields{Load: "Load"}
	f.Fuzz(func(t *testing.T, text string) {
		load, err := fields.BackendLoad(http.Header{"Load": {text}})
		running, _ := load.Running()
		waiting, _ := load.Waiting()
		slots, _ := load.Slots()
		if slowdown, stated := load.Slowdown(); min(running, waiting, slots) < 0 || stated && !(slowdown >= 0.1 && slowdown <= 100) {
			t.Errorf("%q: got %+v and error %v", text, load, err)
		}
	})
}
