package peer

import (
	"errors"
	"net"
	"time"
)

// writeDeadlineConn sets a deadline of writeTimeout for every write, so that a peer that
// stops reading cannot block the writer goroutine forever.
type writeDeadlineConn struct{ net.Conn }

// CloseWrite closes the sending direction. It returns errors.ErrUnsupported if the
// underlying connection cannot do that.
func (c *writeDeadlineConn) CloseWrite() error {
	halfCloser, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok {
		return errors.ErrUnsupported
	}
	return halfCloser.CloseWrite()
}

// Write implements net.Conn.
func (c *writeDeadlineConn) Write(p []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return 0, err
	}
	return c.Conn.Write(p)
}
