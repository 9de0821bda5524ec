package upstream

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"coltsfootward/io/wire"
)

const (
	// idleTimeout closes connections before backend servers do: a common limit
	// of theirs is 5 s. A request that meets a connection just closed by the
	// other side ends in doubt, and an order in doubt is not sent again.
	idleTimeout = 4 * time.Second
	// idleMargin is how much earlier than a backend server says a connection is
	// given up: the server counts from when it has sent its answer.
	idleMargin = 500 * time.Millisecond
	// unrepeatableIdle is how long a connection may have been idle to still carry
	// a request that must not run twice. A server that forgets connections sooner
	// than it says resets what is sent next, and such a request is then in doubt
	// and lost; a new connection costs a millisecond.
	unrepeatableIdle = 200 * time.Millisecond
	// maximumAnswerHeader bounds the header of a backend server's answer in
	// bytes: it must fit into one frame to the entry node.
	maximumAnswerHeader = 256 << 10
	// linkBuffer is the size of a connection's buffers in bytes.
	linkBuffer = 4096
	// maximumInterim bounds the interim answers (1xx) before the real one.
	maximumInterim = 5
)

// link is a connection to the backend server. It carries one request at a time.
type link struct {
	conn    *gatedConn
	limit   *wire.LimitedReader
	reader  *bufio.Reader
	writer  *bufio.Writer
	idle    time.Time
	expires time.Time
	// reused is set once the link has carried a request.
	reused bool
}

// pool keeps idle connections to one backend server.
type pool struct {
	address string
	slots   chan struct{}

	mu     sync.Mutex
	free   []*link
	closed bool
}

// newPool returns a pool that has at most connections connections in use.
func newPool(address string, connections int) *pool {
	return &pool{address: address, slots: make(chan struct{}, connections)}
}

// take returns a connection, a kept one where it is sound and idle for less than
// most, else a new one. It waits while as many are in use as there may be.
func (p *pool) take(ctx context.Context, most time.Duration) (*link, error) {
	select {
	case p.slots <- struct{}{}:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	for {
		l := p.pop(most)
		if l == nil {
			break
		}
		if l.sound() {
			return l, nil
		}
		l.conn.Close()
	}
	l, err := p.dial(ctx)
	if err != nil {
		<-p.slots
	}
	return l, err
}

func (p *pool) dial(ctx context.Context) (*link, error) {
	conn, err := dialGated(ctx, "tcp", p.address)
	if err != nil {
		return nil, fmt.Errorf("upstream: connect: %w", err)
	}
	gated := conn.(*gatedConn)
	l := &link{conn: gated, limit: &wire.LimitedReader{Source: gated}}
	l.reader = bufio.NewReaderSize(l.limit, linkBuffer)
	l.writer = bufio.NewWriterSize(gated, linkBuffer)
	return l, nil
}

// pop returns the connection that was used last, which is the least likely to
// have been closed by the other side, and closes those that are too old.
func (p *pool) pop(most time.Duration) *link {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dropExpired(now)
	if len(p.free) == 0 {
		return nil
	}
	last := p.free[len(p.free)-1]
	if now.Sub(last.idle) > most {
		return nil
	}
	p.free = p.free[:len(p.free)-1]
	return last
}

// dropExpired is called with the lock held.
func (p *pool) dropExpired(now time.Time) {
	kept := p.free[:0]
	for _, l := range p.free {
		if now.Before(l.expires) {
			kept = append(kept, l)
			continue
		}
		l.conn.Close()
	}
	clear(p.free[len(kept):])
	p.free = kept
}

// put gives a connection back. keep says whether it may carry another request.
func (p *pool) put(l *link, keep bool, lives time.Duration) {
	<-p.slots
	l.conn.gate.Store(nil)
	p.mu.Lock()
	defer p.mu.Unlock()
	if !keep || p.closed || l.reader.Buffered() > 0 || lives <= 0 {
		l.conn.Close()
		return
	}
	l.idle = time.Now()
	l.expires = l.idle.Add(lives)
	l.reused = true
	p.free = append(p.free, l)
}

// close ends the idle connections; those in use end when they are given back.
func (p *pool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, l := range p.free {
		l.conn.Close()
	}
	p.free = nil
}

// sound reports whether nothing has come on an idle connection: neither its end
// nor bytes that belong to no request.
//
// An answer that a faulty server sends twice waits there, and would be taken for
// the next request's.
func (l *link) sound() bool {
	if l.reader.Buffered() > 0 {
		return false
	}
	raw, err := l.conn.Conn.(syscall.Conn).SyscallConn()
	if err != nil {
		return false
	}
	sound := false
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, err := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		sound = errors.Is(err, syscall.EAGAIN)
		return true
	})
	return err == nil && sound
}

// exchange sends a request and reads the head of its answer.
func (l *link) exchange(r *http.Request) (*http.Response, error) {
	if err := r.Write(l.writer); err != nil {
		return nil, fmt.Errorf("upstream: send: %w", err)
	}
	if err := l.writer.Flush(); err != nil {
		return nil, fmt.Errorf("upstream: send: %w", err)
	}
	for range maximumInterim {
		l.limit.Bound(maximumAnswerHeader)
		response, err := http.ReadResponse(l.reader, r)
		if err != nil {
			return nil, fmt.Errorf("upstream: receive: %w", err)
		}
		if response.StatusCode >= http.StatusOK || response.StatusCode == http.StatusSwitchingProtocols {
			l.limit.Unbound()
			return response, nil
		}
	}
	return nil, errors.New("upstream: receive: nothing but interim answers")
}

// lives returns how long a connection may stay idle after an answer.
func lives(response *http.Response) time.Duration {
	for parameter := range strings.SplitSeq(response.Header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(parameter), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if seconds, err := strconv.Atoi(value); err == nil && seconds >= 0 {
			return min(time.Duration(seconds)*time.Second-idleMargin, idleTimeout)
		}
	}
	return idleTimeout
}
