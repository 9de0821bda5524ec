package fairshare

import (
	"errors"
	"fmt"
	"maps"
	"math"
	"slices"
	"strconv"
	"strings"

	"coltsfootward"
)

// Weights are the weights of organisations. The zero value gives every organisation the
// weight 1. Weights are immutable.
type Weights struct {
	weights map[coltsfootward.OrganisationName]float64
}

// ParseWeights reads weights of the form name=weight.
func ParseWeights(texts []string) (Weights, error) {
	weights := make(map[coltsfootward.OrganisationName]float64, len(texts))
	var errs []error
	for _, text := range texts {
		name, value, ok := strings.Cut(text, "=")
		name = strings.TrimSpace(name)
		if !ok || name == "" {
			errs = append(errs, fmt.Errorf("%q is not of the form name=weight", text))
			continue
		}
		weight, err := strconv.ParseFloat(strings.TrimSpace(value), 64)
		if err != nil || !(weight > 0) || math.IsInf(weight, 0) {
			errs = append(errs, fmt.Errorf("the weight of %q is %q: give a number above 0", name, strings.TrimSpace(value)))
			continue
		}
		if _, given := weights[coltsfootward.OrganisationName(name)]; given {
			errs = append(errs, fmt.Errorf("the weight of %q is given twice: give it once", name))
			continue
		}
		weights[coltsfootward.OrganisationName(name)] = weight
	}
	return Weights{weights: weights}, errors.Join(errs...)
}

// Of returns the weight of an organisation.
func (w Weights) Of(name coltsfootward.OrganisationName) float64 {
	if weight, ok := w.weights[name]; ok {
		return weight
	}
	return 1
}

// Names returns the organisations with a weight of their own, sorted.
func (w Weights) Names() []coltsfootward.OrganisationName {
	return slices.Sorted(maps.Keys(w.weights))
}
