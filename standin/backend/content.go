package backend

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// FilePrefix is where downloads are: FilePrefix + NAME?size=N. They have a
// validator and can be had by range.
const FilePrefix = "/files/"

// defaultFile is the size of a download whose request names none.
const defaultFile = 1 << 20

// Content returns what a download of that name and size holds. Every byte
// depends on its place, so that a test sees a piece that is missing, doubled
// or swapped.
func Content(name string, size int64) io.ReadSeeker {
	return &content{name: name, size: size}
}

// EntityTag returns the validator of a download.
func EntityTag(name string, size int64) string {
	return fmt.Sprintf("%q", fmt.Sprintf("%s-%d", name, size))
}

type content struct {
	name     string
	size, at int64
}

// contentPeriod is a prime, so that pieces of the usual sizes never repeat.
const contentPeriod = 65521

// Read implements io.Reader.
func (c *content) Read(p []byte) (int, error) {
	if c.at >= c.size {
		return 0, io.EOF
	}
	n := int(min(int64(len(p)), c.size-c.at))
	for i := range n {
		at := c.at + int64(i)
		p[i] = byte('!' + (at%contentPeriod*7+at/contentPeriod+int64(len(c.name)))%90)
	}
	c.at += int64(n)
	return n, nil
}

// Seek implements io.Seeker.
func (c *content) Seek(offset int64, whence int) (int64, error) {
	switch whence {
	case io.SeekCurrent:
		offset += c.at
	case io.SeekEnd:
		offset += c.size
	}
	if offset < 0 {
		return 0, errors.New("backend: seek before the start: give an offset in the content")
	}
	c.at = offset
	return offset, nil
}

// write answers with the request's own path and body, so that a caller can
// tell whether the answer is its own, or with a download.
func (b *Backend) write(w http.ResponseWriter, r *http.Request, body []byte) {
	if name, ok := strings.CutPrefix(r.URL.Path, FilePrefix); ok {
		size := query(r, "size", defaultFile)
		w.Header().Set("ETag", EntityTag(name, size))
		w.Header().Set("Content-Type", "application/octet-stream")
		http.ServeContent(w, r, "", time.Time{}, Content(name, size))
		return
	}
	size := query(r, "size", 0)
	head := fmt.Sprintf("%s %s %s\n%s\n", r.Method, r.URL.Path, r.Header.Get("Coltsfootward-Request"), body)
	w.Header().Set("Content-Length", strconv.FormatInt(int64(len(head))+size, 10))
	w.WriteHeader(int(query(r, "status", http.StatusOK)))
	_, _ = io.WriteString(w, head)
	_, _ = io.Copy(w, io.LimitReader(repeat{}, size)) // the caller may have left
}

// query returns a number from the request's query, or otherwise.
func query(r *http.Request, name string, otherwise int64) int64 {
	n, err := strconv.ParseInt(r.URL.Query().Get(name), 10, 64)
	if err != nil || n < 0 {
		return otherwise
	}
	return n
}

// repeat reads as an endless row of the letter x.
type repeat struct{}

var repeated = bytes.Repeat([]byte{'x'}, 32<<10)

// Read implements io.Reader.
func (repeat) Read(p []byte) (int, error) { return copy(p, repeated), nil }
