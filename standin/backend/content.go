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

// FilePrefix is the path prefix of downloads: FilePrefix + NAME?size=N. They have an
// entity tag and support range requests.
const FilePrefix = "/files/"

// defaultFileSize is the size in bytes of a download whose request gives none.
const defaultFileSize = 1 << 20

// Content returns the content of a download with that name and size. Every byte depends
// on its offset, so that tests detect missing, duplicated and swapped pieces.
func Content(name string, size int64) io.ReadSeeker {
	return &content{name: name, size: size}
}

// EntityTag returns the entity tag of a download.
func EntityTag(name string, size int64) string {
	return fmt.Sprintf("%q", fmt.Sprintf("%s-%d", name, size))
}

type content struct {
	name         string
	size, offset int64
}

// contentPeriod is a prime, so that two pieces of a common size never have the same
// content.
const contentPeriod = 65521

// Read implements io.Reader.
func (c *content) Read(p []byte) (int, error) {
	if c.offset >= c.size {
		return 0, io.EOF
	}
	n := int(min(int64(len(p)), c.size-c.offset))
	for i := range n {
		at := c.offset + int64(i)
		p[i] = byte('!' + (at%contentPeriod*7+at/contentPeriod+int64(len(c.name)))%90)
	}
	c.offset += int64(n)
	return n, nil
}

// Seek implements io.Seeker.
func (c *content) Seek(offset int64, whence int) (int64, error) {
	switch whence {
	case io.SeekCurrent:
		offset += c.offset
	case io.SeekEnd:
		offset += c.size
	}
	if offset < 0 {
		return 0, errors.New("backend: seek to a negative offset")
	}
	c.offset = offset
	return offset, nil
}

// writeResponse responds with a download, or with the request's own method, path and
// body, so that a caller can check that it received its own response.
func (b *Backend) writeResponse(w http.ResponseWriter, r *http.Request, body []byte) {
	if name, ok := strings.CutPrefix(r.URL.Path, FilePrefix); ok {
		size := queryInt(r, "size", defaultFileSize)
		w.Header().Set("ETag", EntityTag(name, size))
		w.Header().Set("Content-Type", "application/octet-stream")
		http.ServeContent(w, r, "", time.Time{}, Content(name, size))
		return
	}
	size := queryInt(r, "size", 0)
	head := fmt.Sprintf("%s %s %s\n%s\n", r.Method, r.URL.Path, r.Header.Get("Coltsfootward-Request"), body)
	w.Header().Set("Content-Length", strconv.FormatInt(int64(len(head))+size, 10))
	w.WriteHeader(int(queryInt(r, "status", http.StatusOK)))
	_, _ = io.WriteString(w, head)
	_, _ = io.Copy(w, io.LimitReader(fillReader{}, size)) // the caller may have disconnected
}

// queryInt returns a non-negative number from the request's query, or fallback.
func queryInt(r *http.Request, name string, fallback int64) int64 {
	n, err := strconv.ParseInt(r.URL.Query().Get(name), 10, 64)
	if err != nil || n < 0 {
		return fallback
	}
	return n
}

// fillReader reads as an endless sequence of the letter x.
type fillReader struct{}

var fillBytes = bytes.Repeat([]byte{'x'}, 32<<10)

// Read implements io.Reader.
func (fillReader) Read(p []byte) (int, error) { return copy(p, fillBytes), nil }
