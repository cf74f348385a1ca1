package gate

import (
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/jaybarrow/jaybarrow"
)

// Listener is a net.Listener whose port can be closed and reopened.
type Listener struct {
	address net.Addr

	lock    sync.Mutex
	inner   net.Listener // nil while connections are refused
	closed  bool
	changed chan struct{} // closed and replaced when inner or closed changes
	open    map[net.Conn]struct{}
}

// New returns a Listener that accepts the connections of inner. It takes ownership of inner.
func New(inner net.Listener) *Listener {
	return &Listener{
		address: inner.Addr(), inner: inner,
		changed: make(chan struct{}), open: make(map[net.Conn]struct{}),
	}
}

// Addr returns the address of the listener, which stays the same when the port is reopened.
func (l *Listener) Addr() net.Addr { return l.address }

// Address returns Addr as an Address.
func (l *Listener) Address() jaybarrow.Address { return jaybarrow.Address(l.address.String()) }

// Accept waits for a connection, also while connections are refused.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		inner, changed, closed := l.state()
		if closed {
			return nil, net.ErrClosed
		}
		if inner == nil {
			<-changed
			continue
		}
		connection, err := inner.Accept()
		if err == nil {
			return l.trackConnection(connection), nil
		}
		if current, _, _ := l.state(); current == inner {
			return nil, err
		}
	}
}

func (l *Listener) state() (net.Listener, <-chan struct{}, bool) {
	l.lock.Lock()
	defer l.lock.Unlock()
	return l.inner, l.changed, l.closed
}

func (l *Listener) trackConnection(c net.Conn) net.Conn {
	l.lock.Lock()
	defer l.lock.Unlock()
	l.open[c] = struct{}{}
	return &trackedConn{Conn: c, listener: l}
}

// Refuse closes the port, so that the operating system refuses new connections. Open connections stay open.
func (l *Listener) Refuse() {
	l.lock.Lock()
	defer l.lock.Unlock()
	if l.inner != nil {
		_ = l.inner.Close()
		l.setInner(nil)
	}
}

// Reopen retries, because another process may briefly use the port as the local end of an outgoing connection.
const (
	listenAttempts      = 50
	listenRetryInterval = 20 * time.Millisecond
)

// Reopen listens on the port again after Refuse. It has no effect while the port is open or after Close.
func (l *Listener) Reopen() error {
	var err error
	for range listenAttempts {
		if err = l.reopen(); err == nil {
			return nil
		}
		time.Sleep(listenRetryInterval)
	}
	return fmt.Errorf("listen again on %s: %w", l.address, err)
}

// reopen makes one attempt to listen on the port again.
func (l *Listener) reopen() error {
	l.lock.Lock()
	defer l.lock.Unlock()
	if l.inner != nil || l.closed {
		return nil
	}
	inner, err := net.Listen(l.address.Network(), l.address.String())
	if err != nil {
		return err
	}
	l.setInner(inner)
	return nil
}

func (l *Listener) setInner(inner net.Listener) {
	l.inner = inner
	close(l.changed)
	l.changed = make(chan struct{})
}

// Cut closes every open connection.
func (l *Listener) Cut() {
	l.lock.Lock()
	defer l.lock.Unlock()
	for c := range l.open {
		_ = c.Close()
	}
}

// Close closes the port for good. Open connections stay open.
func (l *Listener) Close() error {
	l.lock.Lock()
	defer l.lock.Unlock()
	if l.closed {
		return nil
	}
	l.closed = true
	var err error
	if l.inner != nil {
		err = l.inner.Close()
	}
	l.setInner(nil)
	return err
}

// trackedConn is a connection that removes itself from the open connections of its listener when it is closed.
type trackedConn struct {
	net.Conn
	listener *Listener
}

func (t *trackedConn) Close() error {
	t.listener.lock.Lock()
	delete(t.listener.open, t.Conn)
	t.listener.lock.Unlock()
	return t.Conn.Close()
}

// CloseWrite closes the sending direction, or the whole connection if it has no half-close.
func (t *trackedConn) CloseWrite() error {
	if half, ok := t.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return t.Close()
}
