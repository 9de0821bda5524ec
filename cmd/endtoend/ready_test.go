package endtoend_test

import (
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

var (
	listenPattern   = regexp.MustCompile(`(?m)^(callers|backend|peers|operators) = .*$`)
	platformPattern = regexp.MustCompile(`(?m)^url = .*$`)
)

// The settings and the configuration script of each example deployment work with nodes
// that run as processes. The test replaces only the addresses.
func TestExampleSettings(t *testing.T) {
	for _, example := range []struct {
		name, first, second, service, organisation string
	}{
		{"bennani", "archives-1", "quotations-2", "quotations", "atlas-traders"},
		{"consortium", "results-1", "certifications-3", "certifications", "ministry"},
	} {
		t.Run(example.name, func(t *testing.T) {
			t.Parallel()
			directory := filepath.Join("..", "..", "examples", example.name)
			d := &deployment{t: t, platform: startPlatform(t)}
			d.north = startExampleNode(d, directory, example.first)
			d.south = startExampleNode(d, directory, example.second)
			start(t, "standin", "backend", "--node", d.south.backend, "--service", example.service)
			d.key = configure(d, directory)[example.organisation]
			eventually(t, "a caller is answered", func() bool {
				return get(t, d.north.callers, "/"+example.service+"/page", d.key).status == 200
			})
		})
	}
}

func startExampleNode(d *deployment, directory, id string) *nodeProcess {
	d.t.Helper()
	file := filepath.Join(directory, id+".toml")
	if output, err := exec.Command(filepath.Join(programDirectory, "coltsfootward"), "check", file).CombinedOutput(); err != nil {
		d.t.Fatalf("check %s: %v\n%s", file, err, output)
	}
	text, err := os.ReadFile(file)
	if err != nil {
		d.t.Fatal(err)
	}
	localText := listenPattern.ReplaceAllString(string(text), `$1 = "127.0.0.1:0"`)
	return startNodeFrom(d.t, id, platformPattern.ReplaceAllString(localText, `url = "http://`+d.platform+`"`))
}

// configure runs the deployment's script and returns the keys that it printed, by
// organisation.
func configure(d *deployment, directory string) map[string]string {
	d.t.Helper()
	command := exec.Command("bash", filepath.Join(directory, "configure.sh"))
	command.Env = append(os.Environ(), "PATH="+programDirectory+":"+os.Getenv("PATH"), "COLTSFOOTWARD_NODE="+d.north.operators)
	var stderr lockedBuffer
	command.Stderr = &stderr
	output, err := command.Output()
	if err != nil {
		d.t.Fatalf("configure.sh: %v\n%s", err, stderr.String())
	}
	keys := make(map[string]string)
	for line := range strings.Lines(string(output)) {
		organisation, key, _ := strings.Cut(strings.TrimSpace(line), " ")
		keys[organisation] = key
	}
	return keys
}
