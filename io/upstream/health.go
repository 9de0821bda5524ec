package upstream

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"coltsfootward"
	"coltsfootward/io/wire"
)

// healthTimeout limits the duration of a health check. Backend servers of earlier versions
// let a health check wait for a slot, like any request.
const healthTimeout = 500 * time.Millisecond

// defaultHealthPath is used if the configuration sets no path.
const defaultHealthPath = "/health"

// Health is the result of a health check.
type Health struct {
	// ID identifies the backend server.
	ID string
	// Ready is set if the backend server accepts requests.
	Ready bool
	// Slots is the number of requests that the backend server handles concurrently.
	Slots int
	// ColdRemaining is the remaining time for which the backend server is cold.
	ColdRemaining time.Duration
	// Condition is what the backend server states about itself.
	Condition coltsfootward.BackendCondition
	// Load is the load that the backend server states. UnusableLoad names the figures of it
	// that could not be used; empty if there are none.
	Load         coltsfootward.BackendLoad
	UnusableLoad string
}

// CheckHealth sends a health check to the backend server at address. It returns an
// error if it can't connect or receives no response within 500 ms.
func CheckHealth(address, path string, fields wire.Fields) (Health, error) {
	if path == "" {
		path = defaultHealthPath
	}
	ctx, cancel := context.WithTimeout(context.Background(), healthTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		return Health{}, fmt.Errorf("upstream: health check: %w", err)
	}
	transport := &http.Transport{DisableKeepAlives: true}
	response, err := transport.RoundTrip(request)
	if err != nil {
		return Health{}, fmt.Errorf("upstream: health check: %w", err)
	}
	defer response.Body.Close()
	load, loadErr := fields.BackendLoad(response.Header)
	slots, _ := load.Slots()
	id := response.Header.Get(fields.Backend)
	condition, _ := fields.Condition(response.Header) // an unreadable field counts as missing: the next response has it, too
	health := Health{
		ID: id, Ready: response.StatusCode == http.StatusOK && id != "" && slots > 0 && !condition.Leaving, Slots: slots,
		ColdRemaining: parseCold(response.Header.Get(fields.Cold)),
		Condition:     condition,
		Load:          load,
	}
	if loadErr != nil {
		health.UnusableLoad = loadErr.Error()
	}
	return health, nil
}

// parseCold parses a number of milliseconds. It returns zero for a missing or invalid
// field.
func parseCold(text string) time.Duration {
	milliseconds, err := strconv.ParseInt(text, 10, 32)
	if err != nil || milliseconds < 0 {
		return 0
	}
	return time.Duration(milliseconds) * time.Millisecond
}
