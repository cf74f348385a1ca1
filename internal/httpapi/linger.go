package httpapi

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"
)

// lingerTime bounds how long the rest of a refused body is read. A connection that is closed with unread bytes is reset, and
// the reset can destroy the answer before the caller has read it: the caller could not tell that its request did not run.
const lingerTime = 5 * time.Second

// lingeringListener accepts connections that can outlive their close until the caller has stopped sending.
type lingeringListener struct {
	net.Listener
	group conc.WaitGroup
}

// Accept waits for a connection.
func (l *lingeringListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &lingeringConn{Conn: c, listener: l}, nil
}

type lingeringConn struct {
	net.Conn
	listener *lingeringListener
	linger   atomic.Bool
	once     sync.Once
}

// Close closes the connection; one that lingers is closed for writing at once, and altogether when the caller has stopped
// sending or lingerTime has passed.
func (c *lingeringConn) Close() error {
	if !c.linger.Load() {
		return c.Conn.Close()
	}
	c.once.Do(func() { c.listener.group.Go(c.discard) })
	return nil
}

func (c *lingeringConn) discard() {
	defer c.Conn.Close()
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		_ = half.CloseWrite()
	}
	if c.SetReadDeadline(time.Now().Add(lingerTime)) == nil {
		_, _ = io.Copy(io.Discard, c.Conn)
	}
}

// lingerOn makes the connection linger when it is closed.
func lingerOn(c net.Conn) {
	if lingering, ok := c.(*lingeringConn); ok {
		lingering.linger.Store(true)
	}
}
