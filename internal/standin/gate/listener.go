package gate

import (
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/jaybarrow/jaybarrow"
)

// Listener is a net.Listener whose port can be closed and opened again.
type Listener struct {
	address net.Addr

	lock    sync.Mutex
	inner   net.Listener // nil while connections are refused
	closed  bool
	changed chan struct{} // closed and replaced when inner or closed changes
	open    map[net.Conn]struct{}
}

// New returns a Listener that accepts the connections of inner and owns it.
func New(inner net.Listener) *Listener {
	return &Listener{
		address: inner.Addr(), inner: inner,
		changed: make(chan struct{}), open: make(map[net.Conn]struct{}),
	}
}

// Addr returns the address that was listened on first.
func (l *Listener) Addr() net.Addr { return l.address }

// Address returns Addr as an Address.
func (l *Listener) Address() jaybarrow.Address { return jaybarrow.Address(l.address.String()) }

// Accept waits for a connection; it keeps waiting while connections are refused.
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
			return l.track(connection), nil
		}
		if now, _, _ := l.state(); now == inner {
			return nil, err
		}
	}
}

func (l *Listener) state() (net.Listener, <-chan struct{}, bool) {
	l.lock.Lock()
	defer l.lock.Unlock()
	return l.inner, l.changed, l.closed
}

func (l *Listener) track(c net.Conn) net.Conn {
	l.lock.Lock()
	defer l.lock.Unlock()
	l.open[c] = struct{}{}
	return &tracked{Conn: c, listener: l}
}

// Refuse closes the port, so that the system refuses new connections; open ones stay.
func (l *Listener) Refuse() {
	l.lock.Lock()
	defer l.lock.Unlock()
	if l.inner != nil {
		_ = l.inner.Close()
		l.set(nil)
	}
}

// Another process may hold the port for a moment, as the local end of an outgoing connection.
const (
	listenAttempts = 50
	listenPause    = 20 * time.Millisecond
)

// Reopen opens the port again.
func (l *Listener) Reopen() error {
	var err error
	for range listenAttempts {
		if err = l.admit(); err == nil {
			return nil
		}
		time.Sleep(listenPause)
	}
	return fmt.Errorf("listen again on %s: %w", l.address, err)
}

func (l *Listener) admit() error {
	l.lock.Lock()
	defer l.lock.Unlock()
	if l.inner != nil || l.closed {
		return nil
	}
	inner, err := net.Listen(l.address.Network(), l.address.String())
	if err != nil {
		return err
	}
	l.set(inner)
	return nil
}

func (l *Listener) set(inner net.Listener) {
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

// Close closes the port for good; open connections stay.
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
	l.set(nil)
	return err
}

// tracked leaves the listener's set of open connections when it is closed.
type tracked struct {
	net.Conn
	listener *Listener
}

func (t *tracked) Close() error {
	t.listener.lock.Lock()
	delete(t.listener.open, t.Conn)
	t.listener.lock.Unlock()
	return t.Conn.Close()
}

// CloseWrite ends the sending direction.
func (t *tracked) CloseWrite() error {
	if half, ok := t.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return t.Close()
}
