package wire

import (
	"errors"
	"fmt"
	"math"
	"net/http"
	"strconv"
	"strings"

	"coltsfootward"
)

const (
	// maximumCount bounds the counts of a load field. No server has so many slots, and a
	// larger figure is more likely a fault of the server.
	maximumCount = 1_000_000
	// minimumSlowdown and maximumSlowdown bound the duration of work in percent of the
	// usual one. Beyond them, a figure is more likely a fault than a slow machine.
	minimumSlowdown = 10
	maximumSlowdown = 10_000
	// usualDuration is the figure of a server whose work takes as long as usual.
	usualDuration = 100
)

// loadFigures lists the figures of a load field in their order. A server may state further
// figures, which are ignored.
var loadFigures = []struct {
	name string
	add  func(l coltsfootward.BackendLoad, text string) (coltsfootward.BackendLoad, error)
}{
	{"running", countFigure(coltsfootward.BackendLoad.WithRunning)},
	{"waiting", countFigure(coltsfootward.BackendLoad.WithWaiting)},
	{"slots", countFigure(coltsfootward.BackendLoad.WithSlots)},
	{"slowdown", addSlowdown},
}

// BackendLoad returns the figures that the backend server states in the head of a response. A
// figure that is malformed, negative or implausible is absent from the result, and the
// error names it. A figure that is missing or empty is absent without an error.
func (f Fields) BackendLoad(h http.Header) (coltsfootward.BackendLoad, error) {
	var load coltsfootward.BackendLoad
	values := h[f.Load]
	if len(values) == 0 {
		return load, nil
	}
	var failures []error
	rest, more := values[0], true
	for _, figure := range loadFigures {
		if !more {
			break
		}
		var text string
		text, rest, more = strings.Cut(rest, ",")
		text = strings.TrimSpace(text)
		if text == "" {
			continue
		}
		stated, err := figure.add(load, text)
		if err != nil {
			failures = append(failures, fmt.Errorf("wire: figure %s of field %s is %.20q: %w", figure.name, f.Load, text, err))
			continue
		}
		load = stated
	}
	return load, errors.Join(failures...)
}

var errCount = fmt.Errorf("give a whole number from 0 to %d", maximumCount)

func countFigure(with func(coltsfootward.BackendLoad, int) coltsfootward.BackendLoad) func(coltsfootward.BackendLoad, string) (coltsfootward.BackendLoad, error) {
	return func(l coltsfootward.BackendLoad, text string) (coltsfootward.BackendLoad, error) {
		count, err := strconv.Atoi(text)
		if err != nil || count < 0 || count > maximumCount {
			return l, errCount
		}
		return with(l, count), nil
	}
}

var errSlowdown = fmt.Errorf("give the duration of work in percent of the usual one, %d to %d", minimumSlowdown, maximumSlowdown)

func addSlowdown(l coltsfootward.BackendLoad, text string) (coltsfootward.BackendLoad, error) {
	percent, err := strconv.ParseFloat(text, 64)
	if err != nil || math.IsNaN(percent) || percent < minimumSlowdown || percent > maximumSlowdown {
		return l, errSlowdown
	}
	return l.WithSlowdown(percent / usualDuration), nil
}
