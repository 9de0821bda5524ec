package wire

import (
	"fmt"
	"math"
	"net/http"
	"strconv"
	"strings"

	"coltsfootward"
)

// leavingValue is the value of the field Leaving from a server that is about to stop.
const leavingValue = "1"

// Condition returns what the backend server states about itself in the head of a
// response. A field that can't be parsed is returned as an error, and the condition
// holds the others.
func (f Fields) Condition(h http.Header) (coltsfootward.BackendCondition, error) {
	c := coltsfootward.BackendCondition{Leaving: h.Get(f.Leaving) == leavingValue}
	values := h[f.Limit]
	if len(values) == 0 {
		return c, nil
	}
	limit, err := strconv.ParseFloat(strings.TrimSpace(values[0]), 64)
	if err != nil || math.IsNaN(limit) || math.IsInf(limit, 0) || limit < 0 {
		return c, fmt.Errorf("wire: field %s is %q: give a number of requests per second, 0 or more", f.Limit, values[0])
	}
	c.Limited, c.Limit = true, limit
	return c, nil
}
