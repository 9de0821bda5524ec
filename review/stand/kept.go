//go:build review

package stand

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// Kept is a client's connection that is kept for many requests. The zero value is not
// connected.
type Kept struct {
	// Used is the number of answers received on the connection.
	Used   int
	conn   net.Conn
	reader *bufio.Reader
}

// Connect opens a connection to a machine's node unless one is open.
func (k *Kept) Connect(m *Machine) error {
	if k.conn != nil && !k.closed() {
		return nil
	}
	k.Close()
	conn, err := net.DialTimeout("tcp", m.Ports.Callers, time.Second)
	if err != nil {
		return err
	}
	k.conn, k.reader = conn, bufio.NewReader(conn)
	return nil
}

// closed reports whether the node has closed the idle connection.
func (k *Kept) closed() bool {
	_ = k.conn.SetReadDeadline(time.Now().Add(time.Millisecond))
	_, err := k.reader.Peek(1)
	timeout, ok := err.(net.Error)
	return !ok || !timeout.Timeout()
}

// Close closes the connection.
func (k *Kept) Close() {
	if k.conn != nil {
		k.conn.Close()
	}
	*k = Kept{}
}

// Get sends a GET request and waits for the answer. It closes the connection after an
// error, or if the answer says so.
func (k *Kept) Get(id, host, path, key string, deadline time.Duration) Answer {
	_ = k.conn.SetDeadline(time.Now().Add(deadline))
	_, err := fmt.Fprintf(k.conn, "GET %s HTTP/1.1\r\nHost: %s\r\nColtsfootward-Request-Id: %s\r\nColtsfootward-Deadline-Ms: %d\r\nAuthorization: Bearer %s\r\n\r\n",
		path, host, id, deadline.Milliseconds(), key)
	if err != nil {
		k.Close()
		return Answer{Err: err}
	}
	response, err := http.ReadResponse(k.reader, nil)
	if err == nil {
		_, err = io.Copy(io.Discard, response.Body)
	}
	if err != nil {
		k.Close()
		return Answer{Err: err}
	}
	k.Used++
	if response.Close {
		k.Close()
	}
	return Answer{Status: response.StatusCode, Stamp: response.Header.Get("Coltsfootward-Response-Stamp")}
}
