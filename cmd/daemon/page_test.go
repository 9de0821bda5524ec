package daemon_test

import (
	"context"
	"encoding/json"
	"maps"
	"net/http"
	"net/http/httptest"
	"os"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"

	"coltsfootward"
	"coltsfootward/cmd/daemon"
	"coltsfootward/cmd/settings"
	"coltsfootward/standin/platform"

	"go.uber.org/goleak"
	"go.uber.org/zap"
)

// section returns the text of one section of docs/OPERATIONS.md.
func section(t *testing.T, title string) string {
	t.Helper()
	page, err := os.ReadFile("../../docs/OPERATIONS.md")
	if err != nil {
		t.Fatal(err)
	}
	_, rest, found := strings.Cut(string(page), "\n## "+title+"\n")
	if !found {
		t.Fatalf("docs/OPERATIONS.md has no section %q", title)
	}
	text, _, _ := strings.Cut(rest, "\n## ")
	return text
}

var rowPattern = regexp.MustCompile("(?m)^\\| `([a-z_]+)` \\| ([a-z0-9]+) \\|")

func TestOperationsPageListsEveryRefusal(t *testing.T) {
	listed := make(map[coltsfootward.RefusalKind]int)
	for _, row := range rowPattern.FindAllStringSubmatch(section(t, "Refusals"), -1) {
		status, err := strconv.Atoi(row[2])
		if err != nil {
			t.Fatal(err)
		}
		listed[coltsfootward.RefusalKind(row[1])] = status
	}
	if want := coltsfootward.RefusalKinds(); !maps.Equal(listed, want) {
		t.Errorf("got refusals %v on the page, want %v", listed, want)
	}
}

func startNode(t *testing.T) *daemon.Daemon {
	t.Helper()
	table := httptest.NewServer(platform.New().Handler())
	s := settings.Default()
	s.Instance = settings.Instance{ID: "north-1", Domain: "north", Domains: []string{"north"}}
	const anyPort = "127.0.0.1:0"
	s.Listen = settings.Listen{Callers: anyPort, Backend: anyPort, Peers: anyPort, Operators: anyPort}
	s.PlatformURL = table.URL
	node := daemon.New(s, zap.NewNop())
	if err := node.Start(t.Context()); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := node.Stop(context.Background()); err != nil {
			t.Errorf("stop: %v", err)
		}
		table.Close()
	})
	return node
}

func variables(t *testing.T, node *daemon.Daemon) map[string]json.RawMessage {
	t.Helper()
	response, err := http.Get("http://" + node.Addresses().Operators + "/debug/vars")
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	var all struct {
		Coltsfootward map[string]json.RawMessage `json:"coltsfootward"`
	}
	if err := json.NewDecoder(response.Body).Decode(&all); err != nil {
		t.Fatal(err)
	}
	return all.Coltsfootward
}

func TestOperationsPageListsEveryMetric(t *testing.T) {
	var listed []string
	for _, row := range rowPattern.FindAllStringSubmatch(section(t, "Metrics"), -1) {
		listed = append(listed, row[1])
	}
	found := variables(t, startNode(t))
	if got := slices.Sorted(maps.Keys(found)); !slices.Equal(got, listed) {
		t.Errorf("got metrics %v, want as on the page %v", got, listed)
	}
	var gauges map[string]any
	if err := json.Unmarshal(found["node"], &gauges); err != nil {
		t.Fatal(err)
	}
	text := section(t, "Metrics")
	for name := range gauges {
		if !strings.Contains(text, "`"+name+"`") {
			t.Errorf("got gauge %q, want it on the page", name)
		}
	}
}

// Two nodes in one process must have separate metrics, and a stopped node must leave no
// goroutine behind: tests and benchmarks run dozens of nodes in one process.
func TestSeveralNodesInOneProcess(t *testing.T) {
	north, south := startNode(t), startNode(t)
	response, err := http.Get("http://" + north.Addresses().Callers + "/quotes/urea")
	if err != nil {
		t.Fatal(err)
	}
	response.Body.Close()
	if response.StatusCode != http.StatusUnauthorized {
		t.Errorf("got status %d without a key, want %d", response.StatusCode, http.StatusUnauthorized)
	}
	if got := string(variables(t, south)["requests"]); got != "0" {
		t.Errorf("got %s requests at the other node, want 0", got)
	}
}

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}
