package fairshare_test

import (
	"testing"

	"coltsfootward/core/demand"
	"coltsfootward/core/fairshare"
)

// Guards against important requests that fit into four fifths of the capacity and are refused
// for the sake of less important ones.
func TestReserveKeepsImportantBandWhole(t *testing.T) {
	asked := demand.ByBand{0: 0.7, 5: 5, 10: 5}
	admitted, _ := fairshare.AdmitBands(asked, 1-1/asked.Total(), 1)
	if admitted[0] < asked[0]-1e-9 {
		t.Errorf("%.3f of 0.7 slots of the most important band admitted at a capacity of 1, want all", admitted[0])
	}
}
