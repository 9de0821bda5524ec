// Package settings reads and checks a node's settings file.
//
// The table that Fields returns is the only definition of the settings: their names,
// units, ranges, defaults and targets. Parsing, checking and the table of settings in the
// operators' documentation are derived from it.
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
	"coltsfootward/core/crossing"
	"coltsfootward/core/fairshare"
	"coltsfootward/core/node"

	"github.com/pelletier/go-toml/v2"
)

// Settings are a node's settings. A copy is independent except for the slices, which
// must not be modified.
type Settings struct {
	// Deployment is the kind of deployment, DeploymentOwn or DeploymentHosted.
	Deployment string
	Instance   Instance
	Listen     Listen
	Backend    Backend
	Stop       Stop
	// PlatformURL is the URL of the platform's table and object store.
	PlatformURL string
	// MaximumBody bounds a request's body in bytes.
	MaximumBody int64
	Log         Log
	// ShareWeights are the weights of organisations, each as name=weight.
	ShareWeights []string
	// Node holds the options of the state machine. Self, Domains, Contacts, Routed, Service
	// and ShareWeights are empty here and set by NodeOptions.
	Node node.Options
}

// Instance identifies this instance.
type Instance struct {
	ID     string
	Domain string
	// Domains lists every failure domain of the deployment.
	Domains []string
	// Contacts are instances to connect to at the start, in addition to those in the
	// platform's table.
	Contacts []string
}

// Listen holds the listen addresses, each an IP address and a port.
type Listen struct {
	// Callers is the address for callers.
	Callers string
	// Backend is the address for the local backend server; loopback unless hosted.
	Backend string
	// Peers is the address for other nodes.
	Peers string
	// Operators is the address for operators.
	Operators string
	// Ready is the address for the hosting platform's readiness checks. Empty means
	// that there is none.
	Ready string
}

// Hosted reports whether the node runs on the users' hosting platform.
func (s Settings) Hosted() bool { return s.Deployment == DeploymentHosted }

// Kinds of deployment.
const (
	// DeploymentOwn uses the product's own interfaces: the path names the service,
	// backend servers announce themselves, and operators change the configuration with
	// API calls.
	DeploymentOwn = "own"
	// DeploymentHosted runs on the users' hosting platform: requests are routed by host
	// and path, and the configuration is one document in the object store.
	DeploymentHosted = "hosted"
)

// Backend identifies the backend server that runs beside the node. It is used in hosted
// deployments only.
type Backend struct {
	Address string
	Service string
}

// Stop configures the planned stop of a node in a hosted deployment.
type Stop struct {
	// Grace is the time after SIGTERM until the platform kills the process.
	Grace time.Duration
	// Notice is how long callers keep sending requests after the node has started to
	// fail the readiness checks.
	Notice time.Duration
}

// Log configures logging.
type Log struct {
	// Level is debug, info, warn or error.
	Level string
	// Timeline is the capacity of the timeline's ring buffer in events.
	Timeline int
}

// Error describes one invalid value: the file, the key or position, and the problem with
// its remedy.
type Error struct {
	File, Key, Problem string
}

// Error implements error.
func (e *Error) Error() string {
	return fmt.Sprintf("settings: %s: %s: %s", e.File, e.Key, e.Problem)
}

// Defaults of the settings that are not in node.Options.
const (
	defaultMaximumBody = 1 << 20
	defaultTimeline    = 4096
	defaultLevel       = "info"
	defaultGrace       = 10 * time.Second
	defaultNotice      = 2300 * time.Millisecond
)

func defaultNode() node.Options {
	options := node.Options{}.WithDefaults()
	options.CrossingMargin = crossing.DefaultMargin
	return options
}

// Default returns the default settings, which a settings file overrides.
func Default() Settings {
	return Settings{
		Deployment:  DeploymentOwn,
		Stop:        Stop{Grace: defaultGrace, Notice: defaultNotice},
		MaximumBody: defaultMaximumBody,
		Log:         Log{Level: defaultLevel, Timeline: defaultTimeline},
		Node:        defaultNode(),
	}
}

// Load reads and checks a settings file. The error joins an *Error for each invalid
// value.
func Load(file string) (Settings, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return Settings{}, fmt.Errorf("settings: %w: name a readable file", err)
	}
	return Parse(file, data)
}

// Parse parses and checks the text of a settings file. The file name is only used in
// errors. The error joins an *Error for each invalid value.
func Parse(file string, data []byte) (Settings, error) {
	var tree map[string]any
	if err := toml.Unmarshal(data, &tree); err != nil {
		return Settings{}, syntaxError(file, err)
	}
	s := Default()
	given := flatten("", tree)
	var errs []error
	addError := func(key, problem string) { errs = append(errs, &Error{file, key, problem}) }
	for _, field := range Fields() {
		value, ok := given[field.Key]
		delete(given, field.Key)
		if problem := field.set(&s, value, ok); problem != "" {
			addError(field.Key, problem)
		}
	}
	for _, key := range slices.Sorted(maps.Keys(given)) {
		addError(key, "unknown name: correct or remove it; "+nearest(key))
	}
	if len(errs) == 0 {
		s.checkCombinations(addError)
	}
	if err := errors.Join(errs...); err != nil {
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

// flatten returns the values by their full names, such as listen.callers.
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

// checkCombinations checks the conditions that involve more than one value.
func (s Settings) checkCombinations(addError func(key, problem string)) {
	if !slices.Contains(s.Instance.Domains, s.Instance.Domain) {
		addError("instance.domains", fmt.Sprintf("does not list this instance's domain %q: list every failure domain of the deployment", s.Instance.Domain))
	}
	sorted := slices.Sorted(slices.Values(s.Instance.Domains))
	if len(slices.Compact(sorted)) != len(s.Instance.Domains) {
		addError("instance.domains", "lists a failure domain twice: list each once")
	}
	if s.Hosted() && (s.Listen.Ready == "" || s.Backend.Address == "" || s.Backend.Service == "") {
		addError("deployment.kind", "is hosted: give listen.ready, backend.address and backend.service too")
	}
	if !s.Hosted() && s.Node.Crossing != node.CrossingOccupancy {
		addError("placement.crossing", fmt.Sprintf("is %s, which only hosted deployments have: give occupancy, or set deployment.kind to hosted", s.Node.Crossing))
	}
	if !s.Hosted() && s.Node.ShareScope == node.ShareScopeFleet {
		addError("shares.scope", "is fleet, which only hosted deployments have: give entry, or set deployment.kind to hosted")
	}
	if !s.Hosted() && s.Node.RetryGrants {
		addError("retries.grants", "is true, which only hosted deployments have: give false, or set deployment.kind to hosted")
	}
	if s.Node.MaximumTimeout < s.Node.Timeout {
		addError("requests.maximum_timeout", fmt.Sprintf("is %v: give at least requests.timeout, %v", s.Node.MaximumTimeout, s.Node.Timeout))
	}
}

// nearest names the known setting whose name is closest to key in edit distance.
func nearest(key string) string {
	best := slices.MinFunc(Fields(), func(a, b Field) int {
		return cmp.Compare(distance(a.Key, key), distance(b.Key, key))
	})
	return fmt.Sprintf("the nearest known name is %s", best.Key)
}

// distance returns the Levenshtein distance of two names. It truncates b to 64 bytes,
// which is longer than any setting's name, to bound the cost for a malicious file.
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

// NodeOptions returns the options of the state machine.
func (s Settings) NodeOptions(incarnation coltsfootward.Incarnation) node.Options {
	options := s.Node
	options.Routed = s.Hosted()
	options.ShareWeights, _ = fairshare.ParseWeights(s.ShareWeights) // checked when the file was read
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
