package peer

import (
	"errors"
	"net"
	"time"
)

// timedConn bounds every write, so that a peer that stops reading cannot hold
// the writer for ever.
type timedConn struct{ net.Conn }

// CloseWrite ends the sending direction where the connection can.
func (c *timedConn) CloseWrite() error {
	half, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok {
		return errors.ErrUnsupported
	}
	return half.CloseWrite()
}

// Write implements net.Conn.
func (c *timedConn) Write(p []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return 0, err
	}
	return c.Conn.Write(p)
}
