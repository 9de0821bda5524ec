// Package quarantine finds the requests that crash backend servers and decides
// which of them are withheld. It reads no clock and does no I/O.
package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"strconv"

	"coltsfootward/core/message"
)

// Fingerprint identifies equal requests: those with the same organisation, host,
// method, path and body.
type Fingerprint uint64

// String returns the fingerprint as it appears in logs.
func (f Fingerprint) String() string { return fmt.Sprintf("%016x", uint64(f)) }

// ParseFingerprint parses the text that String returns.
func ParseFingerprint(text string) (Fingerprint, error) {
	f, err := strconv.ParseUint(text, 16, 64)
	if err != nil {
		return 0, fmt.Errorf("quarantine: fingerprint %q: give 16 hexadecimal digits as in the log: %w", text, err)
	}
	return Fingerprint(f), nil
}

// FingerprintOf returns the fingerprint of a request, given the digest of its
// body. The node that a request arrives at and the service beside it are not part
// of the fingerprint, since equal requests may arrive anywhere.
//
// The hash is cryptographic so that no organisation can construct a request with
// the fingerprint of another organisation's.
func FingerprintOf(head message.Call, body uint64) Fingerprint {
	host := head.Host
	if host == "" {
		host = string(head.Service)
	}
	buffer := make([]byte, 0, 256)
	for _, text := range []string{string(head.Organisation), host, head.Method, head.Path} {
		buffer = binary.BigEndian.AppendUint32(buffer, uint32(len(text)))
		buffer = append(buffer, text...)
	}
	buffer = binary.BigEndian.AppendUint64(buffer, body)
	sum := sha256.Sum256(buffer)
	return Fingerprint(binary.BigEndian.Uint64(sum[:]))
}
