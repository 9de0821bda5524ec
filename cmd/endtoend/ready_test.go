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

// An operator takes the ready settings of a deployment, starts the nodes as
// processes and runs its script once. Only the addresses differ here.
func TestReadySettings(t *testing.T) {
	for _, ready := range []struct {
		name, first, second, service, organisation string
	}{
		{"bennani", "archives-1", "quotations-2", "quotations", "atlas-traders"},
		{"consortium", "results-1", "certifications-3", "certifications", "ministry"},
	} {
		t.Run(ready.name, func(t *testing.T) {
			t.Parallel()
			directory := filepath.Join("..", "..", "examples", ready.name)
			d := &deployment{t: t, platform: startPlatform(t)}
			d.north = startReady(d, directory, ready.first)
			d.south = startReady(d, directory, ready.second)
			start(t, "standin", "backend", "--node", d.south.backend, "--service", ready.service)
			d.key = configure(d, directory)[ready.organisation]
			eventually(t, "a caller is answered", func() bool {
				return get(t, d.north.callers, "/"+ready.service+"/page", d.key).status == 200
			})
		})
	}
}

func startReady(d *deployment, directory, id string) *nodeProcess {
	d.t.Helper()
	file := filepath.Join(directory, id+".toml")
	if output, err := exec.Command(filepath.Join(programs, "coltsfootward"), "check", file).CombinedOutput(); err != nil {
		d.t.Fatalf("check %s: %v\n%s", file, err, output)
	}
	text, err := os.ReadFile(file)
	if err != nil {
		d.t.Fatal(err)
	}
	moved := listenPattern.ReplaceAllString(string(text), `$1 = "127.0.0.1:0"`)
	return startNodeFrom(d.t, id, platformPattern.ReplaceAllString(moved, `url = "http://`+d.platform+`"`))
}

// configure runs the deployment's script and returns the keys that it printed.
func configure(d *deployment, directory string) map[string]string {
	d.t.Helper()
	command := exec.Command("bash", filepath.Join(directory, "configure.sh"))
	command.Env = append(os.Environ(), "PATH="+programs+":"+os.Getenv("PATH"), "COLTSFOOTWARD_NODE="+d.north.operators)
	var notes lockedBuffer
	command.Stderr = &notes
	output, err := command.Output()
	if err != nil {
		d.t.Fatalf("configure.sh: %v\n%s", err, notes.String())
	}
	keys := make(map[string]string)
	for line := range strings.Lines(string(output)) {
		organisation, key, _ := strings.Cut(strings.TrimSpace(line), " ")
		keys[organisation] = key
	}
	return keys
}
