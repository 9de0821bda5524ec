package settings_test

import (
	"errors"
	"fmt"
	"os"
	"reflect"
	"strings"
	"testing"
	"time"

	"coltsfootward/cmd/settings"
	"coltsfootward/core/node"

	"github.com/sebdah/goldie/v2"
)

const validFile = `[instance]
id = "north-1"
domain = "north"
domains = ["north", "south"]

[listen]
callers = "10.0.0.1:7001"
backend = "127.0.0.1:7002"
peers = "10.0.0.1:7003"
operators = "10.0.0.1:7004"

[platform]
url = "http://10.0.0.9:7000"
`

func TestParse(t *testing.T) {
	s, err := settings.Parse("node.toml", []byte(validFile+"\n[requests]\ntimeout = \"2s\"\nattempts = 3\n"))
	if err != nil {
		t.Fatal(err)
	}
	options := s.NodeOptions(7)
	if options.Timeout != 2*time.Second || options.Attempts != 3 || options.Self.Address != "10.0.0.1:7003" || len(options.Domains) != 2 {
		t.Errorf("got %+v, want the file's timeout, attempts, address and domains", options)
	}
	if options.MaximumTimeout != node.DefaultMaximumTimeout {
		t.Errorf("got maximum timeout %v, want the default %v", options.MaximumTimeout, node.DefaultMaximumTimeout)
	}
}

// Guards against a setting that has no effect: the rule for crossing is applied in hosted
// deployments only, and a margin of zero is not the default.
func TestCrossingSettings(t *testing.T) {
	placement := "\n[placement]\ncrossing = \"surplus\"\ncrossing_margin = 0\n"
	_, err := settings.Parse("node.toml", []byte(validFile+placement))
	if err == nil || !strings.Contains(err.Error(), "placement.crossing: is surplus, which only hosted deployments have: give occupancy") {
		t.Errorf("got %v, want an error that names the remedy", err)
	}
	hosted := strings.Replace(validFile, "[listen]\n", "[listen]\nready = \"10.0.0.1:7005\"\n", 1) +
		"[deployment]\nkind = \"hosted\"\n[backend]\naddress = \"10.0.0.1:80\"\nservice = \"quotes\"\n"
	s, err := settings.Parse("node.toml", []byte(hosted+placement))
	if err != nil || s.Node.Crossing != node.CrossingSurplus || s.Node.CrossingMargin != 0 {
		t.Errorf("got %v, %q and %v, want surplus and 0", err, s.Node.Crossing, s.Node.CrossingMargin)
	}
	if s, err = settings.Parse("node.toml", []byte(hosted)); err != nil || s.Node.Crossing != node.CrossingOccupancy || s.Node.CrossingMargin != 0.1 {
		t.Errorf("got %v, %q and %v, want occupancy and 0.1 by default", err, s.Node.Crossing, s.Node.CrossingMargin)
	}
}

// All invalid values of a file must be reported at once, each with its key, the allowed
// range and a remedy.
func TestParseReportsEveryBadValue(t *testing.T) {
	text := `[instance]
id = "north 1"
domain = 5
domains = ["north", "north"]

[listen]
callers = "localhost:7001"
backend = "10.0.0.1:7002"
peers = "0.0.0.0:7003"

[platform]
url = "10.0.0.9"

[requests]
attemps = 3
timeout = 5
maximum_timeout = "5 hours"
maximum_body = -1

[log]
level = "loud"
`
	_, err := settings.Parse("node.toml", []byte(text))
	if err == nil {
		t.Fatal("got no error")
	}
	goldie.New(t).Assert(t, "bad_values", []byte(err.Error()+"\n"))
}

func TestParseErrors(t *testing.T) {
	tests := []struct {
		name, text, key string
	}{
		{"syntax", "[instance\n", "line 1, column 10"},
		{"empty", "", "instance.id"},
		{"section that is a value", strings.Replace(validFile, "[platform]\nurl = \"http://10.0.0.9:7000\"", "", 1) + "platform = 3\n", "platform"},
		{"maximum below default timeout", validFile + "[requests]\nmaximum_timeout = \"1s\"\n", "requests.maximum_timeout"},
		{"boolean as text", validFile + "[retries]\ngrants = \"yes\"\n", "retries.grants"},
		{"unknown scope", validFile + "[shares]\nscope = \"all\"\n", "shares.scope: is \"all\": give one of entry, fleet"},
		{"scope of a deployment that is not hosted", validFile + "[shares]\nscope = \"fleet\"\n", "shares.scope: is fleet, which only hosted deployments have"},
		{"grants in a deployment that is not hosted", validFile + "[retries]\ngrants = true\n", "retries.grants: is true, which only hosted deployments have"},
		{"weight that is zero", validFile + "[shares]\nweights = [\"mill=0\"]\n", "shares.weights"},
		{"weight given twice", validFile + "[shares]\nweights = [\"mill=1\", \"mill=2\"]\n", "shares.weights"},
		{"domain not listed", strings.Replace(validFile, `domain = "north"`, `domain = "west"`, 1), "instance.domains"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			_, err := settings.Parse("node.toml", []byte(test.text))
			var bad *settings.Error
			if !errors.As(err, &bad) || !strings.Contains(err.Error(), "settings: node.toml: "+test.key) {
				t.Errorf("got %v, want an Error about %s", err, test.key)
			}
		})
	}
}

// Guards against an option of the state machine that no setting sets, so that operators
// could not change it.
func TestEveryOptionHasASetting(t *testing.T) {
	s := settings.Default()
	targets := make(map[any]bool)
	for _, field := range settings.Fields() {
		targets[field.Target(&s)] = true
	}
	value := reflect.ValueOf(&s.Node).Elem()
	for i := range value.NumField() {
		name := value.Type().Field(i).Name
		if name == "Self" || name == "Domains" || name == "Contacts" {
			continue // set by NodeOptions from instance and listen
		}
		if name == "Routed" || name == "Service" || name == "ShareWeights" {
			continue // set by NodeOptions; see TestHostedSettingsInNodeOptions
		}
		if !targets[value.Field(i).Addr().Interface()] {
			t.Errorf("got no setting for node.Options.%s, want a line for it in cmd/settings/table.go", name)
		}
		// The default of a boolean option is false, which is its zero value.
		if value.Field(i).Kind() != reflect.Bool && value.Field(i).IsZero() {
			t.Errorf("got no default for node.Options.%s, want one from WithDefaults", name)
		}
	}
}

// NodeOptions must pass the kind of deployment and the service of the local backend
// server to the state machine. Both are zero in an own deployment.
func TestHostedSettingsInNodeOptions(t *testing.T) {
	hosted := strings.Replace(validFile, "[listen]\n", "[listen]\nready = \"10.0.0.1:7005\"\n", 1) +
		"[deployment]\nkind = \"hosted\"\n[backend]\naddress = \"10.0.0.1:80\"\nservice = \"quotes\"\n"
	s, err := settings.Parse("node.toml", []byte(hosted))
	if err != nil {
		t.Fatal(err)
	}
	if o := s.NodeOptions(1); o.ShareScope != node.ShareScopeEntry || o.ShareWeights.Of("mill") != 1 {
		t.Errorf("got scope %q and weight %v, want entry and 1 by default", o.ShareScope, o.ShareWeights.Of("mill"))
	}
	s, err = settings.Parse("node.toml", []byte(hosted+"[shares]\nscope = \"fleet\"\nweights = [\"mill=2.5\"]\n"))
	if err != nil {
		t.Fatal(err)
	}
	if o := s.NodeOptions(1); o.ShareScope != node.ShareScopeFleet || o.ShareWeights.Of("mill") != 2.5 {
		t.Errorf("got scope %q and weight %v, want fleet and 2.5", o.ShareScope, o.ShareWeights.Of("mill"))
	}
	if o := s.NodeOptions(1); !o.Routed || o.Service != "quotes" {
		t.Errorf("got Routed %v and Service %q, want true and quotes", o.Routed, o.Service)
	}
	s, err = settings.Parse("node.toml", []byte(validFile))
	if err != nil {
		t.Fatal(err)
	}
	if o := s.NodeOptions(1); o.Routed || o.Service != "" {
		t.Errorf("got Routed %v and Service %q, want neither", o.Routed, o.Service)
	}
}

// docs/OPERATIONS.md lists every setting. After a change of the table of fields, replace
// the text between the page's two comments "settings" and "end of settings" with the
// text that this test prints.
func TestOperationsPageListsEverySetting(t *testing.T) {
	var want strings.Builder
	want.WriteString("| Setting | Unit | Default | Range | Meaning |\n|---|---|---|---|---|\n")
	for _, f := range settings.Fields() {
		fmt.Fprintf(&want, "| `%s` | %s | `%s` | %s | %s |\n", f.Key, f.Unit, f.Default(), f.Range, f.Meaning)
	}
	page, err := os.ReadFile("../../docs/OPERATIONS.md")
	if err != nil {
		t.Fatal(err)
	}
	_, rest, _ := strings.Cut(string(page), "<!-- settings -->\n")
	got, _, _ := strings.Cut(rest, "<!-- end of settings -->")
	if got != want.String() {
		t.Errorf("got another table in docs/OPERATIONS.md, want between its two comments:\n%s", want.String())
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(validFile))
	f.Add([]byte("[requests]\nattempts = 99999999999\n[log]\ntimeline = 1e9\n"))
	f.Add([]byte("a = {b = {c = [1, {d = 2}]}}\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		s, err := settings.Parse("fuzz.toml", data)
		if err != nil {
			return
		}
		if s.Node.Attempts < 1 || s.Node.Timeout <= 0 || s.MaximumBody < 1 || s.Instance.ID == "" || s.Log.Timeline < 1 {
			t.Errorf("got %+v accepted, want it refused", s)
		}
	})
}
