// Package settings reads and checks a node's settings file.
package settings

import (
	"bytes"
	"errors"
	"fmt"
	"net/netip"
	"net/url"
	"os"
	"slices"
	"strings"
	"time"

	"coltsfootward"
	"coltsfootward/core/node"

	"github.com/pelletier/go-toml/v2"
)

// Settings are a node's settings as they stand in the file.
type Settings struct {
	Instance Instance `toml:"instance"`
	Listen   Listen   `toml:"listen"`
	Platform Platform `toml:"platform"`
	Requests Requests `toml:"requests"`
	Log      Log      `toml:"log"`
}

// Instance says which instance this is.
type Instance struct {
	ID     string `toml:"id"`
	Domain string `toml:"domain"`
	// Domains lists every failure domain of the deployment.
	Domains []string `toml:"domains"`
}

// Listen holds the addresses, each an IP number and a port.
type Listen struct {
	// Callers is where callers reach the node.
	Callers string `toml:"callers"`
	// Backend is where the local backend server reaches the node; loopback.
	Backend string `toml:"backend"`
	// Peers is where other nodes reach it.
	Peers string `toml:"peers"`
	// Operators is where operators reach it.
	Operators string `toml:"operators"`
}

// Platform says where the platform's table and object store are.
type Platform struct {
	URL string `toml:"url"`
}

// Requests bounds requests.
type Requests struct {
	// Attempts bounds the attempts of one request over the whole chain.
	Attempts int `toml:"attempts"`
	// Timeout bounds a request that brings none.
	Timeout Duration `toml:"timeout"`
	// MaximumTimeout caps what a caller may ask for.
	MaximumTimeout Duration `toml:"maximum_timeout"`
	// MaximumBody bounds a request's body in bytes.
	MaximumBody int64 `toml:"maximum_body"`
}

// Log says how to log.
type Log struct {
	// Level is debug, info, warn or error.
	Level string `toml:"level"`
}

// Duration is a duration written as in "1.5s".
type Duration struct{ time.Duration }

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	if err != nil {
		return fmt.Errorf("%q is no duration: write a number and a unit, such as 250ms or 10s", text)
	}
	d.Duration = parsed
	return nil
}

// Error names one bad value, its place and the remedy.
type Error struct {
	File, Key, Problem string
}

// Error implements error.
func (e *Error) Error() string {
	return fmt.Sprintf("settings: %s: %s: %s", e.File, e.Key, e.Problem)
}

// Default returns the settings that a file starts from.
func Default() Settings {
	return Settings{
		Requests: Requests{
			Attempts:       node.DefaultAttempts,
			Timeout:        Duration{node.DefaultTimeout},
			MaximumTimeout: Duration{node.DefaultMaximumTimeout},
			MaximumBody:    1 << 20,
		},
		Log: Log{Level: "info"},
	}
}

// Load reads and checks a file. The error joins an *Error for each bad value.
func Load(file string) (Settings, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return Settings{}, fmt.Errorf("settings: %w: name a readable file", err)
	}
	return Parse(file, data)
}

// Parse checks the text of a file; file only names it in errors.
func Parse(file string, data []byte) (Settings, error) {
	s := Default()
	decoder := toml.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&s); err != nil {
		return Settings{}, decodeError(file, err)
	}
	if err := s.check(file); err != nil {
		return Settings{}, err
	}
	return s, nil
}

func decodeError(file string, err error) error {
	var unknown *toml.StrictMissingError
	if errors.As(err, &unknown) {
		var all []error
		for _, e := range unknown.Errors {
			row, _ := e.Position()
			all = append(all, &Error{file, strings.Join(e.Key(), "."), fmt.Sprintf("unknown name in line %d: correct or remove it", row)})
		}
		return errors.Join(all...)
	}
	var invalid *toml.DecodeError
	if errors.As(err, &invalid) {
		row, column := invalid.Position()
		return &Error{file, strings.Join(invalid.Key(), "."), fmt.Sprintf("line %d, column %d: %v", row, column, err)}
	}
	return &Error{file, "", err.Error()}
}

// check returns every bad value at once.
func (s Settings) check(file string) error {
	c := &checker{file: file}
	c.filled("instance.id", s.Instance.ID)
	c.filled("instance.domain", s.Instance.Domain)
	if !slices.Contains(s.Instance.Domains, s.Instance.Domain) {
		c.bad("instance.domains", fmt.Sprintf("does not list this instance's domain %q: list every failure domain of the deployment", s.Instance.Domain))
	}
	c.address("listen.callers", s.Listen.Callers, false)
	c.address("listen.backend", s.Listen.Backend, true)
	c.address("listen.peers", s.Listen.Peers, false)
	c.address("listen.operators", s.Listen.Operators, false)
	c.url("platform.url", s.Platform.URL)
	c.between("requests.attempts", int64(s.Requests.Attempts), 1, 64)
	c.duration("requests.timeout", s.Requests.Timeout, time.Millisecond, time.Hour)
	c.duration("requests.maximum_timeout", s.Requests.MaximumTimeout, s.Requests.Timeout.Duration, time.Hour)
	c.between("requests.maximum_body", s.Requests.MaximumBody, 0, 64<<20)
	if !slices.Contains([]string{"debug", "info", "warn", "error"}, s.Log.Level) {
		c.bad("log.level", fmt.Sprintf("is %q: use debug, info, warn or error", s.Log.Level))
	}
	return errors.Join(c.errors...)
}

type checker struct {
	file   string
	errors []error
}

func (c *checker) bad(key, problem string) {
	c.errors = append(c.errors, &Error{c.file, key, problem})
}

func (c *checker) filled(key, value string) {
	if value == "" || strings.ContainsAny(value, "/ \t\n") {
		c.bad(key, fmt.Sprintf("is %q: give a name without spaces or slashes", value))
	}
}

func (c *checker) address(key, value string, loopback bool) {
	address, err := netip.ParseAddrPort(value)
	if err != nil {
		c.bad(key, fmt.Sprintf("is %q: give an IP number and a port, such as 127.0.0.1:7001", value))
		return
	}
	if loopback && !address.Addr().IsLoopback() {
		c.bad(key, fmt.Sprintf("is %q: give a loopback address; only the local backend server may reach it", value))
	}
}

func (c *checker) url(key, value string) {
	u, err := url.Parse(value)
	if err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
		c.bad(key, fmt.Sprintf("is %q: give the platform's URL, such as http://10.0.0.1:7000", value))
	}
}

func (c *checker) between(key string, value, least, most int64) {
	if value < least || value > most {
		c.bad(key, fmt.Sprintf("is %d: give %d to %d", value, least, most))
	}
}

func (c *checker) duration(key string, value Duration, least, most time.Duration) {
	if value.Duration < least || value.Duration > most {
		c.bad(key, fmt.Sprintf("is %v: give %v to %v", value.Duration, least, most))
	}
}

// NodeOptions returns what the decisions need of the settings.
func (s Settings) NodeOptions(incarnation coltsfootward.Incarnation) node.Options {
	options := node.Options{
		Self: coltsfootward.Instance{
			ID:              coltsfootward.InstanceID(s.Instance.ID),
			Domain:          coltsfootward.FailureDomain(s.Instance.Domain),
			Address:         s.Listen.Peers,
			OperatorAddress: s.Listen.Operators,
			Incarnation:     incarnation,
		},
		Attempts:       s.Requests.Attempts,
		Timeout:        s.Requests.Timeout.Duration,
		MaximumTimeout: s.Requests.MaximumTimeout.Duration,
	}
	for _, domain := range s.Instance.Domains {
		options.Domains = append(options.Domains, coltsfootward.FailureDomain(domain))
	}
	return options
}
