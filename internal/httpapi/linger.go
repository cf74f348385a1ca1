package httpapi

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jaybarrow/jaybarrow/internal/rungroup"
)

// lingerTimeout bounds how long the rest of a rejected body is read. Closing a connection with unread bytes resets it, and the
// reset can discard the response before the caller has read it, so that the caller could not know that its request did not run.
const lingerTimeout = 5 * time.Second

// lingeringListener accepts connections that can stay open for reading after Close, until the caller has stopped sending.
type lingeringListener struct {
	net.Listener
	group *rungroup.Group
}

// Accept waits for a connection and returns it as a lingeringConn.
func (l *lingeringListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &lingeringConn{Conn: c, listener: l}, nil
}

// lingeringConn is a connection whose Close can linger.
type lingeringConn struct {
	net.Conn
	listener *lingeringListener
	linger   atomic.Bool
	once     sync.Once
}

// NetConn returns the connection that was accepted.
func (c *lingeringConn) NetConn() net.Conn { return c.Conn }

// Close closes the connection. A lingering connection is closed in the background: for writing at once, and for reading when
// the caller has stopped sending or lingerTimeout has passed.
func (c *lingeringConn) Close() error {
	if !c.linger.Load() {
		return c.Conn.Close()
	}
	c.once.Do(func() { c.listener.group.Go("lingering connection", c.discardAndClose) })
	return nil
}

// discardAndClose closes the write side, discards what the caller still sends and closes the connection.
func (c *lingeringConn) discardAndClose() {
	defer c.Conn.Close()
	if writeCloser, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		_ = writeCloser.CloseWrite()
	}
	if c.SetReadDeadline(time.Now().Add(lingerTimeout)) == nil {
		_, _ = io.Copy(io.Discard, c.Conn)
	}
}

// lingerOnClose makes Close of the connection linger.
func lingerOnClose(c net.Conn) {
	if lingering, ok := c.(*lingeringConn); ok {
		lingering.linger.Store(true)
	}
}
