package fairshare_test

import (
	"fmt"

	"coltsfootward/core/demand"
	"coltsfootward/core/fairshare"
)

func ExampleDivide() {
	weights, _ := fairshare.ParseWeights([]string{"mill=2"})
	summary := demand.Summary{
		Service: "quotes",
		Total:   demand.ByBand{0: 10, 5: 40, 10: 30},
		Organisations: []demand.Organisation{
			{Name: "mill", Demand: demand.ByBand{0: 10, 5: 12}},
			{Name: "port", Demand: demand.ByBand{5: 24, 10: 30}},
			{Name: "shop", Demand: demand.ByBand{5: 4}},
		},
	}
	d := fairshare.Divide(summary, 0.6, 1, weights)
	for _, band := range []int{0, 5, 10} {
		fmt.Printf("band %d: mill %.2f, port %.2f, shop %.2f\n", band, d.Fraction(band, "mill"), d.Fraction(band, "port"), d.Fraction(band, "shop"))
	}
	// Output:
	// band 0: mill 1.00, port 1.00, shop 1.00
	// band 5: mill 0.67, port 0.17, shop 1.00
	// band 10: mill 0.20, port 0.20, shop 0.20
}
