package fairshare_test

import (
	"fmt"
	"math"
	"testing"

	"coltsfootward"
	"coltsfootward/core/demand"
	"coltsfootward/core/fairshare"

	"pgregory.net/rapid"
)

// drawSummary draws the demand of up to 20 organisations and a group of others.
func drawSummary(t *rapid.T) (demand.Summary, fairshare.Weights) {
	s := demand.Summary{Service: "quotes", OtherCount: rapid.IntRange(0, 3000).Draw(t, "others")}
	var texts []string
	for i := range rapid.IntRange(0, 20).Draw(t, "named") {
		o := demand.Organisation{Name: coltsfootward.OrganisationName(fmt.Sprint("o", i))}
		for _, band := range []int{0, 5, 10} {
			o.Demand[band] = rapid.Float64Range(0, 50).Draw(t, "demand")
			s.Total[band] += o.Demand[band]
		}
		s.Organisations = append(s.Organisations, o)
		if rapid.Bool().Draw(t, "weighted") {
			texts = append(texts, fmt.Sprintf("%s=%f", o.Name, rapid.Float64Range(0.1, 20).Draw(t, "weight")))
		}
	}
	if s.OtherCount > 0 {
		for _, band := range []int{0, 5, 10} {
			s.Others[band] = rapid.Float64Range(0, 50).Draw(t, "rest")
			s.Total[band] += s.Others[band]
		}
	}
	weights, err := fairshare.ParseWeights(texts)
	if err != nil {
		t.Fatal(err)
	}
	return s, weights
}

// Guards against an organisation that is refused within its share, one that is admitted
// above its share while another is short, and capacity that is left unused.
func TestDivisionIsFairAndUsesTheCapacity(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s, weights := drawSummary(t)
		refused := rapid.Float64Range(0, 1).Draw(t, "refused")
		d := fairshare.Divide(s, refused, 1, weights)
		admitted := 0.0
		for band, asked := range s.Others {
			admitted += asked * d.Fraction(band, "unnamed")
		}
		total := 0.0
		for _, o := range s.Organisations {
			total += weights.Of(o.Name)
			for band, asked := range o.Demand {
				admitted += asked * d.Fraction(band, o.Name)
			}
		}
		if want := (1 - refused) * s.Total.Total(); math.Abs(admitted-want) > 1e-6*(1+want) {
			t.Fatalf("admitted %v of the capacity %v", admitted, want)
		}
		for band := range demand.Bands {
			divided, ok := d.Band(band)
			if !ok {
				continue
			}
			for _, o := range s.Organisations {
				share, named := divided.Share(o.Name)
				if !named && o.Demand[band] > 0 {
					t.Fatalf("%s has no share", o.Name)
				}
				level := weights.Of(o.Name) * divided.Level()
				if named && math.Abs(share.Admitted-min(share.Demand, level)) > 1e-9 {
					t.Fatalf("%s got %v, want the smaller of its demand %v and its share %v", o.Name, share.Admitted, share.Demand, level)
				}
			}
		}
	})
}

// Guards against a band that is starved by more important ones, and against one that is
// served more than a more important one.
func TestEveryBandGetsAPartInOrderOfImportance(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var asked demand.ByBand
		for band := range asked {
			asked[band] = rapid.SampledFrom([]float64{0, 0, 1, 30, 400}).Draw(t, "demand")
		}
		refused := rapid.Float64Range(0, 1).Draw(t, "refused")
		level := rapid.SampledFrom([]float64{0, 0.3, 1}).Draw(t, "level")
		admitted, least := fairshare.AdmitBands(asked, refused, level)
		if total := admitted.Total(); math.Abs(total-(1-refused)*asked.Total()) > 1e-6*(1+total) {
			t.Fatalf("admitted %v of %v, want a fraction of %v", admitted, asked, 1-refused)
		}
		above, strict := 1.0, true
		for band, demanded := range asked {
			if demanded == 0 {
				continue
			}
			fraction := admitted[band] / demanded
			if fraction > above+1e-9 {
				t.Fatalf("band %d is admitted to %v, a more important one to %v", band, fraction, above)
			}
			if fraction < least-1e-9 {
				t.Fatalf("band %d is admitted to %v, want at least %v", band, fraction, least)
			}
			if level == 0 && !strict && fraction > 1e-9 {
				t.Fatalf("band %d is admitted to %v without aging, although a more important one is not admitted whole", band, fraction)
			}
			above, strict = fraction, strict && fraction > 1-1e-9
		}
	})
}

// Guards against a large organisation that takes from the share of a small one by asking
// for more.
func TestMoreDemandOfOneTakesNothingFromShares(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		small := rapid.Float64Range(1, 20).Draw(t, "small")
		capacity := rapid.Float64Range(3*small, 200).Draw(t, "capacity")
		for _, large := range []float64{capacity, 10 * capacity, 1000 * capacity} {
			s := demand.Summary{Service: "quotes", Total: demand.ByBand{3: large + 2*small}, Organisations: []demand.Organisation{
				{Name: "large", Demand: demand.ByBand{3: large}},
				{Name: "a", Demand: demand.ByBand{3: small}},
				{Name: "b", Demand: demand.ByBand{3: small}},
			}}
			d := fairshare.Divide(s, 1-capacity/s.Total.Total(), 1, fairshare.Weights{})
			if got := d.Fraction(3, "a"); got < 1-1e-9 {
				t.Fatalf("an organisation within its share got %v of its demand beside one that asks for %v", got, large)
			}
		}
	})
}

// Guards against rounding errors that leave capacity unused beside a claim of a weight that
// is larger by many orders of magnitude.
func TestLevelWithUnequalWeights(t *testing.T) {
	claims := []fairshare.Claim{{Demand: 2, Weight: 2e10}, {Demand: 1, Weight: 1}, {Demand: 4, Weight: 1}}
	if got := fairshare.Level(claims, 5); math.Abs(got-2) > 1e-9 {
		t.Errorf("got level %v, want 2", got)
	}
}

// Guards against weights that are ignored, or replaced by a default without a word.
func TestBadWeightsAreNamed(t *testing.T) {
	for _, text := range []string{"a=0", "a=-1", "a=NaN", "a=+Inf", "a=much", "a", "=2", "a="} {
		if _, err := fairshare.ParseWeights([]string{text}); err == nil {
			t.Errorf("%q: got no error", text)
		}
	}
	if _, err := fairshare.ParseWeights([]string{"a=2", "a=2"}); err == nil {
		t.Error("a weight given twice: got no error")
	}
	weights, err := fairshare.ParseWeights([]string{"a=2", "b = 0.5"})
	if err != nil || weights.Of("a") != 2 || weights.Of("b") != 0.5 || weights.Of("c") != 1 {
		t.Errorf("got %v, %v", weights, err)
	}
}
