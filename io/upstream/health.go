package upstream

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"coltsfootward/io/wire"
)

// healthTimeout bounds one health check. It waits for a slot of the backend
// server like any request.
const healthTimeout = 500 * time.Millisecond

// defaultHealthPath is asked where the configuration names no other path.
const defaultHealthPath = "/health"

// Health is what a backend server answered to a health check.
type Health struct {
	// ID names the backend server.
	ID string
	// Ready is set if it takes work.
	Ready bool
	// Slots is how many requests it serves at once.
	Slots int
	// Cold is how much longer it is cold.
	Cold time.Duration
}

// CheckHealth asks the backend server at address how it is.
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
	slots := slotsOf(response.Header.Get(fields.Load))
	id := response.Header.Get(fields.Backend)
	return Health{
		ID: id, Ready: response.StatusCode == http.StatusOK && id != "" && slots > 0, Slots: slots,
		Cold: coldOf(response.Header.Get(fields.Cold)),
	}, nil
}

// coldOf reads a number of milliseconds; a field that is missing or can't be read
// means none.
func coldOf(text string) time.Duration {
	milliseconds, err := strconv.ParseInt(text, 10, 32)
	if err != nil || milliseconds < 0 {
		return 0
	}
	return time.Duration(milliseconds) * time.Millisecond
}

// slotsOf reads the slots out of a load field: running, waiting, slots.
func slotsOf(load string) int {
	parts := strings.Split(load, ",")
	if len(parts) != 3 {
		return 0
	}
	slots, err := strconv.Atoi(strings.TrimSpace(parts[2]))
	if err != nil || slots < 0 {
		return 0
	}
	return slots
}
