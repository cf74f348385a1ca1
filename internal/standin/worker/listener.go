package worker

import (
	"fmt"
	"io"
	"net"
	"sync"
	"time"

	"github.com/jaybarrow/jaybarrow/internal/task"
)

// DefaultConnections is the default limit of concurrent connections to a worker.
const DefaultConnections = 64

// refusalLinger bounds how long a refused connection stays open, so that the client can read the refusal: closing a socket
// with unread input resets the connection and may discard what was written.
const refusalLinger = time.Second

// limitListener accepts up to limit concurrent connections and answers further ones with a refusal. It can freeze open
// connections.
type limitListener struct {
	net.Listener

	sync.Mutex
	limit        int
	closed       bool // every new connection is refused
	open         map[*conn]struct{}
	refused      map[net.Conn]struct{}
	thawed       chan struct{} // closed at the thaw; nil outside a freeze
	blockedReads int           // reads that have received data and wait for the thaw
	refusals     sync.WaitGroup
}

// conn blocks its reads and writes while it is frozen.
type conn struct {
	net.Conn
	listener  *limitListener
	frozen    chan struct{} // closed at the thaw; nil while the connection is not frozen
	closed    chan struct{}
	closeOnce sync.Once
}

func newLimitListener(inner net.Listener, limit int) *limitListener {
	return &limitListener{
		Listener: inner, limit: limit, open: make(map[*conn]struct{}), refused: make(map[net.Conn]struct{}),
	}
}

// Accept waits for the next connection that it does not refuse.
func (l *limitListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if admitted, ok := l.admit(c); ok {
			return admitted, nil
		}
	}
}

func (l *limitListener) admit(c net.Conn) (net.Conn, bool) {
	l.Lock()
	defer l.Unlock()
	if l.closed || len(l.open) >= l.limit {
		l.refused[c] = struct{}{}
		l.refusals.Add(1)
		go l.refuse(c)
		return nil, false
	}
	admitted := &conn{Conn: c, listener: l, closed: make(chan struct{})}
	l.open[admitted] = struct{}{}
	return admitted, true
}

// refuse answers a connection with a refusal, without reading a request from it.
func (l *limitListener) refuse(c net.Conn) {
	defer l.refusals.Done()
	const body = "connection refused"
	_ = c.SetDeadline(time.Now().Add(refusalLinger))
	_, _ = fmt.Fprintf(c, "HTTP/1.1 503 Service Unavailable\r\n%s: %s\r\nConnection: close\r\nContent-Length: %d\r\n\r\n%s",
		task.HeaderOutcome, task.OutcomeRefused, len(body), body)
	if half, ok := c.(interface{ CloseWrite() error }); ok {
		_ = half.CloseWrite()
	}
	_, _ = io.Copy(io.Discard, c)
	_ = c.Close()
	l.Lock()
	defer l.Unlock()
	delete(l.refused, c)
}

// freeze freezes the open connections, except the one from the remote address.
func (l *limitListener) freeze(except net.Addr) {
	l.Lock()
	defer l.Unlock()
	if l.thawed == nil {
		l.thawed = make(chan struct{})
	}
	for c := range l.open {
		if except == nil || c.RemoteAddr().String() != except.String() {
			c.frozen = l.thawed
		}
	}
}

// setClosed makes the listener refuse new connections, or accept them again.
func (l *limitListener) setClosed(closed bool) {
	l.Lock()
	defer l.Unlock()
	l.closed = closed
}

// thaw resumes frozen connections and delivers the data that they received.
func (l *limitListener) thaw() {
	l.Lock()
	defer l.Unlock()
	if l.thawed != nil {
		close(l.thawed)
		l.thawed = nil
	}
}

// closeAll closes every connection and waits until the pending refusals have ended.
func (l *limitListener) closeAll() {
	l.Lock()
	var all []net.Conn
	for c := range l.open {
		all = append(all, c)
	}
	for c := range l.refused {
		all = append(all, c)
	}
	l.Unlock()
	for _, c := range all {
		_ = c.Close()
	}
	l.refusals.Wait()
}

func (l *limitListener) addBlockedReads(n int) {
	l.Lock()
	defer l.Unlock()
	l.blockedReads += n
}

// waitForThaw blocks while the connection is frozen. It returns net.ErrClosed when the connection is closed meanwhile.
func (c *conn) waitForThaw() error {
	c.listener.Lock()
	frozen := c.frozen
	c.listener.Unlock()
	if frozen == nil {
		return nil
	}
	select {
	case <-frozen:
		return nil
	case <-c.closed:
		return net.ErrClosed
	}
}

// Read reads from the connection. It delivers data that arrives while the connection is frozen after the thaw.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.listener.addBlockedReads(1)
		defer c.listener.addBlockedReads(-1)
	}
	if err := c.waitForThaw(); err != nil {
		return 0, err
	}
	return n, err
}

// Write writes to the connection, after the thaw if it is frozen.
func (c *conn) Write(p []byte) (int, error) {
	if err := c.waitForThaw(); err != nil {
		return 0, err
	}
	return c.Conn.Write(p)
}

// Close closes the connection.
func (c *conn) Close() error {
	c.closeOnce.Do(func() {
		close(c.closed)
		c.listener.Lock()
		delete(c.listener.open, c)
		c.listener.Unlock()
	})
	return c.Conn.Close()
}
