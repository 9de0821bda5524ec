package scenario_test

import (
	"reflect"
	"testing"

	"coltsfootward/core/scenario"
)

// undisturbed returns a scenario without a disturbance.
func undisturbed() scenario.Scenario {
	return scenario.Scenario{Name: "calm", Demand: 0.5, RateFactor: 4}
}

// Without a disturbance both variants answer everything. This shows that the
// naive system is a fair comparison and that its model does not lose requests
// by itself.
func TestUndisturbedDemandIsAnsweredByBothVariants(t *testing.T) {
	t.Parallel()
	for _, v := range scenario.Variants() {
		m := scenario.Run(undisturbed(), scenario.Bennani(), v, 1)
		if m.Offered == 0 || m.Answered != m.Offered || !m.Recovered || m.Recovery != 0 {
			t.Errorf("%s: got %+v, want every request answered and no time to recover", v, m)
		}
	}
}

// The result of a run depends only on its seed.
func TestSameSeedSameMeasures(t *testing.T) {
	t.Parallel()
	s, ok := scenario.Named("burst")
	if !ok {
		t.Fatal("got no scenario burst, want one")
	}
	first := scenario.Run(s, scenario.Consortium(), scenario.VariantColtsfootward, 3)
	second := scenario.Run(s, scenario.Consortium(), scenario.VariantColtsfootward, 3)
	if !reflect.DeepEqual(first, second) {
		t.Errorf("two runs of one seed differ:\n%+v\n%+v", first, second)
	}
}
