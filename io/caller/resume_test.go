package caller_test

import (
	"bytes"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"coltsfootward"
	"coltsfootward/core/node"
	"coltsfootward/io/iotest"
)

const callerKey = "key-of-the-field-crews"

// startPair starts two nodes, each with a backend server of the service archive.
func startPair(t *testing.T, handler http.Handler) (*iotest.Node, *iotest.Node) {
	t.Helper()
	table := iotest.NewTable(
		coltsfootward.Change{Organisation: &coltsfootward.Organisation{Name: "crews", Rate: coltsfootward.Rate{PerSecond: 1e6, Burst: 1e6}}},
		coltsfootward.Change{Key: &coltsfootward.Key{ID: "k", Digest: coltsfootward.DigestKey(callerKey), Organisation: "crews"}},
		coltsfootward.Change{Service: &coltsfootward.Service{Name: "archive"}},
	)
	domains := []coltsfootward.FailureDomain{"north", "south"}
	var nodes []*iotest.Node
	for _, domain := range domains {
		self := coltsfootward.Instance{ID: coltsfootward.InstanceID(domain) + "-1", Domain: domain}
		n := iotest.Start(t, node.Options{Self: self, Domains: domains}, table, nil)
		server := httptest.NewServer(handler)
		t.Cleanup(server.Close)
		n.Announce(t, server.Listener.Addr().String(), "archive", 4)
		nodes = append(nodes, n)
	}
	for _, n := range nodes {
		n.AwaitUpstreams(t, 2)
	}
	return nodes[0], nodes[1]
}

func get(t *testing.T, n *iotest.Node, path string) (*http.Response, []byte, error) {
	t.Helper()
	request, err := http.NewRequest(http.MethodGet, "http://"+n.CallerAddress+path, nil)
	if err != nil {
		t.Fatal(err)
	}
	request.Header.Set("Authorization", "Bearer "+callerKey)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, nil, err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return response, body, err
}

// A backend server fails in the middle of a download. The caller must receive the
// complete body, with the remainder from another backend server, or be able to detect
// that the download was aborted. It must never receive a mix of two versions.
func TestInterruptedDownloadIsResumedOrAborted(t *testing.T) {
	log := bytes.Repeat([]byte("friction 0.43\n"), 100_000)
	other := bytes.Repeat([]byte("friction 0.51\n"), 100_000)
	old := time.Now().Add(-time.Hour)
	for _, test := range []struct {
		name, tag, laterTag string
		modified            time.Time
		ranges, complete    bool
		aborts              int32
		abortAfter          int
		later               []byte
	}{
		{name: "strong tag", tag: `"v1"`, laterTag: `"v1"`, ranges: true, aborts: 1, later: log, complete: true},
		{name: "aborted twice", tag: `"v1"`, laterTag: `"v1"`, ranges: true, aborts: 2, later: log, complete: true},
		{name: "old date", modified: old, ranges: true, aborts: 1, later: log, complete: true},
		{name: "recent date", modified: time.Now(), ranges: true, aborts: 1, later: log},
		{name: "weak tag", tag: `W/"v1"`, laterTag: `W/"v1"`, ranges: true, aborts: 1, later: log},
		{name: "changed meanwhile", tag: `"v1"`, laterTag: `"v2"`, ranges: true, aborts: 1, later: other},
		{name: "no ranges", tag: `"v1"`, laterTag: `"v1"`, aborts: 1, later: log},
		{name: "aborted on every attempt", tag: `"v1"`, laterTag: `"v1"`, ranges: true, aborts: 1000, abortAfter: 50_000, later: log},
	} {
		if test.abortAfter == 0 {
			test.abortAfter = 300_000
		}
		t.Run(test.name, func(t *testing.T) {
			var served atomic.Int32
			n, _ := startPair(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				attempt := served.Add(1)
				content, tag := log, test.tag
				if attempt > 1 {
					content, tag = test.later, test.laterTag
				}
				if tag != "" {
					w.Header().Set("ETag", tag)
				}
				if attempt <= test.aborts {
					w = &abortingWriter{ResponseWriter: w, remaining: test.abortAfter}
				}
				if !test.ranges {
					w.Header().Set("Content-Length", strconv.Itoa(len(content)))
					_, _ = w.Write(content)
					return
				}
				http.ServeContent(w, r, "", test.modified, bytes.NewReader(content))
			}))
			_, body, err := get(t, n, "/archive/run-17")
			switch {
			case err == nil && !bytes.Equal(body, log):
				t.Errorf("got a complete body of %d bytes that differs from the log of %d bytes", len(body), len(log))
			case err == nil && !test.complete:
				t.Error("got the complete log, want the download aborted")
			case err != nil && test.complete:
				t.Errorf("got %v after %d bytes and %d attempts, want the complete log", err, len(body), served.Load())
			}
			if got := served.Load(); got > node.DefaultAttempts {
				t.Errorf("got %d attempts, want at most %d", got, node.DefaultAttempts)
			}
		})
	}
}

// abortingWriter aborts the connection after the given number of body bytes.
type abortingWriter struct {
	http.ResponseWriter
	remaining int
}

func (b *abortingWriter) Write(p []byte) (int, error) {
	if len(p) >= b.remaining {
		_, _ = b.ResponseWriter.Write(p[:b.remaining])
		http.NewResponseController(b.ResponseWriter).Flush()
		panic(http.ErrAbortHandler)
	}
	b.remaining -= len(p)
	return b.ResponseWriter.Write(p)
}
