package endtoend_test

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"coltsfootward/io/peer"

	"github.com/vmihailenco/msgpack/v5"
)

// sendRaw sends bytes to an address and returns everything received until the other
// side closes the connection.
func sendRaw(t *testing.T, address string, data []byte) string {
	t.Helper()
	connection, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer connection.Close()
	if err := connection.SetDeadline(time.Now().Add(waitTimeout)); err != nil {
		t.Fatal(err)
	}
	go func() { _, _ = connection.Write(data) }() // the node may close the connection before it has read everything
	reply, err := io.ReadAll(connection)
	if err != nil && len(reply) == 0 && !strings.Contains(err.Error(), "reset") {
		t.Fatalf("got %v, want the node to answer or to close the connection", err)
	}
	return string(reply)
}

// Malformed and hostile requests from callers each get a specific error, and the node
// still serves other callers.
func TestBadInputFromCallers(t *testing.T) {
	t.Parallel()
	d := startDeployment(t)
	request := func(head, body string) []byte {
		return fmt.Appendf(nil, "%s\r\nHost: node\r\nConnection: close\r\n\r\n%s", head, body)
	}
	authorization := "\r\nAuthorization: Bearer " + d.key
	tests := []struct {
		name string
		data []byte
		want string
	}{
		{"oversized header", request("GET /quotes/a HTTP/1.1\r\nX-Large: "+strings.Repeat("x", 64<<10), ""), " 431 "},
		{"oversized body", request("POST /quotes/a HTTP/1.1\r\nContent-Length: 4194304"+authorization, strings.Repeat("x", 4<<20)), `"kind":"too_large"`},
		{"truncated request", []byte("GET /quo"), ""},
		{"not HTTP", []byte("\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03 hello\r\n\r\n"), " 400 "},
		{"unknown service", request("GET /nowhere/a HTTP/1.1"+authorization, ""), `"kind":"unknown_service"`},
		{"no path", request("GET / HTTP/1.1"+authorization, ""), " 404 "},
		{"no key", request("GET /quotes/a HTTP/1.1", ""), `"kind":"unauthenticated"`},
		{"other scheme", request("GET /quotes/a HTTP/1.1\r\nAuthorization: Basic "+d.key, ""), `"kind":"unauthenticated"`},
		{"malformed key", request("GET /quotes/a HTTP/1.1\r\nAuthorization: Bearer \xff\xfe "+strings.Repeat("k", 9000), ""), `"kind":"unauthenticated"`},
		{"bad timeout", request("GET /quotes/a HTTP/1.1\r\nColtsfootward-Timeout-Ms: soon"+authorization, ""), `"kind":"bad_request"`},
		{"bad attempt", request("GET /quotes/a HTTP/1.1\r\nColtsfootward-Attempt: 99999999999999999999"+authorization, ""), `"kind":"bad_request"`},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			data := test.data
			if test.name == "truncated request" {
				data = append(data, "\r\n\r\n"...)
			}
			if got := sendRaw(t, d.north.callers, data); !strings.Contains(got, test.want) {
				t.Errorf("got %.300q, want %q in it", got, test.want)
			}
		})
	}
	d.awaitServing(d.north)
}

// Many connections send a part of their header and then stall, which would tie up the
// node's memory. The node must close them and serve other callers meanwhile.
func TestSlowCallers(t *testing.T) {
	t.Parallel()
	d := startDeployment(t)
	const slow = 100
	ended := make(chan error, slow)
	for range slow {
		connection, err := net.Dial("tcp", d.north.callers)
		if err != nil {
			t.Fatal(err)
		}
		defer connection.Close()
		if _, err := connection.Write([]byte("GET /quotes/a HTTP/1.1\r\nHost: no")); err != nil {
			t.Fatal(err)
		}
		go func() {
			_ = connection.SetReadDeadline(time.Now().Add(waitTimeout)) // a timeout is reported below
			_, err := io.Copy(io.Discard, connection)
			ended <- err
		}()
	}
	c := startCallers(d, d.north, 2)
	c.awaitMore(t, 50)
	for range slow {
		if err := <-ended; err != nil && !strings.Contains(err.Error(), "reset") {
			t.Errorf("got %v, want the node to end the slow connection", err)
		}
	}
	if failures := c.finish(); len(failures) > 0 {
		t.Errorf("got %d of %d requests refused, the first %s, want none", len(failures), c.count(), failures[0])
	}
}

// helloFrame returns the first frame of a peer connection, with the given protocol
// version.
func helloFrame(t *testing.T, version int) []byte {
	t.Helper()
	payload, err := msgpack.Marshal(map[string]any{
		"version":  version,
		"instance": map[string]any{"id": "stranger", "domain": "north", "address": "127.0.0.1:1", "operator_address": "127.0.0.1:1", "incarnation": 1},
		"probe":    0,
	})
	if err != nil {
		t.Fatal(err)
	}
	return frame(t, "hello", payload)
}

func frame(t *testing.T, kind string, payload []byte) []byte {
	t.Helper()
	return frameWithLength(t, kind, len(payload), payload)
}

// frameWithLength returns a frame whose header declares the given payload length.
func frameWithLength(t *testing.T, kind string, length int, payload []byte) []byte {
	t.Helper()
	var data []byte
	for _, part := range []any{kind, uint32(0), int64(0), length} {
		encoded, err := msgpack.Marshal(part)
		if err != nil {
			t.Fatal(err)
		}
		data = append(data, encoded...)
	}
	data = append(data, payload...)
	return append(binary.BigEndian.AppendUint32(nil, uint32(len(data))), data...)
}

// A client that is not a node, or a node with another protocol version, connects to the
// peer port. The node must close the connection, log an event with the reason, and go
// on serving.
func TestBadInputFromPeers(t *testing.T) {
	t.Parallel()
	d := startDeployment(t)
	tests := []struct {
		name string
		data []byte
		want string
	}{
		{"garbage", bytes.Repeat([]byte("GET / HTTP/1.1\r\n"), 1000), "bytes are more than"},
		{"malformed frame", []byte("\x00\x00\x00\x05hello"), "undecodable"},
		{"other version", helloFrame(t, 99), "protocol version 99"},
		{"call before hello", frame(t, "call", nil), "first frame is no hello"},
		{"garbage after hello", append(helloFrame(t, peer.ProtocolVersion), bytes.Repeat([]byte{0xc1}, 64)...), "bytes are more than"},
		{"unknown message", append(helloFrame(t, peer.ProtocolVersion), frame(t, "message", []byte("\xa4none\xc0"))...), "unknown message kind"},
		{"payload of wrong length", append(helloFrame(t, peer.ProtocolVersion), frameWithLength(t, "message", 9, []byte("short"))...), "do not fit its length"},
		{"frame kind of another version", append(helloFrame(t, peer.ProtocolVersion), frame(t, "dance", nil)...), "unexpected frame dance"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			sendRaw(t, d.north.peers, test.data)
			eventually(t, "the event says why", func() bool {
				for line := range strings.Lines(d.north.output.String()) {
					if strings.Contains(line, `"code":903`) && strings.Contains(line, test.want) {
						return true
					}
				}
				return false
			})
		})
	}
	d.awaitServing(d.north)
	if got := get(t, d.south.callers, "/"+service+"/after", d.key).status; got != http.StatusOK {
		t.Errorf("got status %d at the other node, want 200", got)
	}
}
