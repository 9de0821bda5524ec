// Package settings reads and checks a node's settings file.
//
// The table of Fields is the one place that knows a setting: its name, unit,
// range, default and where it goes. Reading, checking and the operators' page
// all follow it.
package settings

import (
	"cmp"
	"errors"
	"fmt"
	"maps"
	"os"
	"slices"
	"time"

	"coltsfootward"
	"coltsfootward/core/node"

	"github.com/pelletier/go-toml/v2"
)

// Settings are a node's settings. They are plain values: copies are
// independent but for the lists, which nothing changes.
type Settings struct {
	// Deployment says how callers, backend servers and the platform are met.
	Deployment string
	Instance   Instance
	Listen     Listen
	Backend    Backend
	Stop       Stop
	// PlatformURL is where the platform's table and object store are.
	PlatformURL string
	// MaximumBody bounds a request's body in bytes.
	MaximumBody int64
	Log         Log
	// Node is what the decisions need. Self and Domains are left empty here;
	// NodeOptions fills them in.
	Node node.Options
}

// Instance says which instance this is.
type Instance struct {
	ID     string
	Domain string
	// Domains lists every failure domain of the deployment.
	Domains []string
	// Contacts are instances to reach at the start, besides those that the
	// platform's table names.
	Contacts []string
}

// Listen holds the addresses, each an IP number and a port.
type Listen struct {
	// Callers is where callers reach the node.
	Callers string
	// Backend is where the local backend server reaches the node; loopback.
	Backend string
	// Peers is where other nodes reach it.
	Peers string
	// Operators is where operators reach it.
	Operators string
	// Ready is where the hosting platform asks whether the node is ready; empty
	// means nowhere.
	Ready string
}

// Hosted reports whether the node runs on the users' hosting platform.
func (s Settings) Hosted() bool { return s.Deployment == DeploymentHosted }

// The kinds of deployment.
const (
	// DeploymentOwn is the product's own: services named in the path, backend
	// servers that announce themselves, changes made by operators' calls.
	DeploymentOwn = "own"
	// DeploymentHosted is met through the users' hosting platform: requests are
	// routed by host and path, and the configuration is one stored document.
	DeploymentHosted = "hosted"
)

// Backend says which backend server runs beside the node. It is used in hosted
// deployments only.
type Backend struct {
	Address string
	Service string
}

// Stop says how a planned stop goes in a hosted deployment.
type Stop struct {
	// Grace is how long after the signal the platform ends the process.
	Grace time.Duration
	// Notice is how long callers go on coming after the node said that it is
	// not ready any more.
	Notice time.Duration
}

// Log says how to log.
type Log struct {
	// Level is debug, info, warn or error.
	Level string
	// Timeline is how many events the time line's ring keeps.
	Timeline int
}

// Error names one bad value, its place and the remedy.
type Error struct {
	File, Key, Problem string
}

// Error implements error.
func (e *Error) Error() string {
	return fmt.Sprintf("settings: %s: %s: %s", e.File, e.Key, e.Problem)
}

// The defaults of what is not in node.Options.
const (
	defaultMaximumBody = 1 << 20
	defaultTimeline    = 4096
	defaultLevel       = "info"
	defaultGrace       = 10 * time.Second
	defaultNotice      = 2300 * time.Millisecond
)

// Default returns the settings that a file starts from.
func Default() Settings {
	return Settings{
		Deployment:  DeploymentOwn,
		Stop:        Stop{Grace: defaultGrace, Notice: defaultNotice},
		MaximumBody: defaultMaximumBody,
		Log:         Log{Level: defaultLevel, Timeline: defaultTimeline},
		Node:        node.Options{}.WithDefaults(),
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

// Parse checks the text of a file; file only names it in errors. It finds
// every bad value, not only the first.
func Parse(file string, data []byte) (Settings, error) {
	var tree map[string]any
	if err := toml.Unmarshal(data, &tree); err != nil {
		return Settings{}, syntaxError(file, err)
	}
	s := Default()
	given := flatten("", tree)
	var all []error
	bad := func(key, problem string) { all = append(all, &Error{file, key, problem}) }
	for _, field := range Fields() {
		value, ok := given[field.Key]
		delete(given, field.Key)
		if problem := field.take(&s, value, ok); problem != "" {
			bad(field.Key, problem)
		}
	}
	for _, key := range slices.Sorted(maps.Keys(given)) {
		bad(key, "unknown name: correct or remove it; "+nearest(key))
	}
	if len(all) == 0 {
		s.checkTogether(bad)
	}
	if err := errors.Join(all...); err != nil {
		return Settings{}, err
	}
	return s, nil
}

func syntaxError(file string, err error) error {
	var invalid *toml.DecodeError
	if errors.As(err, &invalid) {
		row, column := invalid.Position()
		return &Error{file, fmt.Sprintf("line %d, column %d", row, column), fmt.Sprintf("%v: correct the TOML", err)}
	}
	return &Error{file, "file", fmt.Sprintf("%v: correct the TOML", err)}
}

// flatten returns the values under their full names, as in listen.callers.
func flatten(prefix string, tree map[string]any) map[string]any {
	flat := make(map[string]any)
	for name, value := range tree {
		if section, ok := value.(map[string]any); ok {
			maps.Copy(flat, flatten(prefix+name+".", section))
			continue
		}
		flat[prefix+name] = value
	}
	return flat
}

// checkTogether checks what depends on more than one value.
func (s Settings) checkTogether(bad func(key, problem string)) {
	if !slices.Contains(s.Instance.Domains, s.Instance.Domain) {
		bad("instance.domains", fmt.Sprintf("does not list this instance's domain %q: list every failure domain of the deployment", s.Instance.Domain))
	}
	sorted := slices.Sorted(slices.Values(s.Instance.Domains))
	if len(slices.Compact(sorted)) != len(s.Instance.Domains) {
		bad("instance.domains", "lists a failure domain twice: list each once")
	}
	if s.Hosted() && (s.Listen.Ready == "" || s.Backend.Address == "" || s.Backend.Service == "") {
		bad("deployment.kind", "is hosted: give listen.ready, backend.address and backend.service too")
	}
	if s.Node.MaximumTimeout < s.Node.Timeout {
		bad("requests.maximum_timeout", fmt.Sprintf("is %v: give at least requests.timeout, %v", s.Node.MaximumTimeout, s.Node.Timeout))
	}
}

// nearest names the known setting whose name is most like key.
func nearest(key string) string {
	best := slices.MinFunc(Fields(), func(a, b Field) int {
		return cmp.Compare(distance(a.Key, key), distance(b.Key, key))
	})
	return fmt.Sprintf("the nearest known name is %s", best.Key)
}

// distance is the Levenshtein distance of two names. Longer names than any
// setting's are cut, so that a hostile file costs little.
func distance(a, b string) int {
	b = b[:min(len(b), 64)]
	row := make([]int, len(b)+1)
	for j := range row {
		row[j] = j
	}
	for i := range len(a) {
		diagonal := row[0]
		row[0] = i + 1
		for j := range len(b) {
			cost := diagonal
			if a[i] != b[j] {
				cost++
			}
			diagonal = row[j+1]
			row[j+1] = min(cost, row[j]+1, row[j+1]+1)
		}
	}
	return row[len(b)]
}

// NodeOptions returns what the decisions need of the settings.
func (s Settings) NodeOptions(incarnation coltsfootward.Incarnation) node.Options {
	options := s.Node
	options.Routed = s.Hosted()
	options.Service = coltsfootward.ServiceName(s.Backend.Service)
	options.Self = coltsfootward.Instance{
		ID:              coltsfootward.InstanceID(s.Instance.ID),
		Domain:          coltsfootward.FailureDomain(s.Instance.Domain),
		Address:         s.Listen.Peers,
		OperatorAddress: s.Listen.Operators,
		Incarnation:     incarnation,
	}
	for _, domain := range s.Instance.Domains {
		options.Domains = append(options.Domains, coltsfootward.FailureDomain(domain))
	}
	for _, text := range s.Instance.Contacts {
		contact, _ := parseContact(text) // checked when the file was read
		options.Contacts = append(options.Contacts, contact)
	}
	return options
}
