package listen

import (
	"errors"
	"net"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/jaybarrow/jaybarrow"
)

// The delay before Accept is tried again; it doubles with each failure in a row.
const (
	firstDelay = 5 * time.Millisecond
	maxDelay   = time.Second
)

// Listener is a net.Listener whose Accept waits and tries again after a temporary error, such as a lack of file descriptors.
type Listener struct {
	net.Listener
	clock  jaybarrow.Clock
	log    zerolog.Logger
	closed chan struct{}
	once   sync.Once
}

// New returns a Listener that accepts the connections of l.
func New(clock jaybarrow.Clock, log zerolog.Logger, l net.Listener) *Listener {
	return &Listener{Listener: l, clock: clock, log: log, closed: make(chan struct{})}
}

// Accept blocks until there is a connection. It returns net.ErrClosed after Close, and any error that is not temporary.
func (l *Listener) Accept() (net.Conn, error) {
	for failures := 0; ; failures++ {
		c, err := l.Listener.Accept()
		if err == nil || !isTemporary(err) {
			return c, err
		}
		if failures == 0 {
			l.log.Warn().Err(err).Str("address", l.Addr().String()).Msg("cannot accept a connection; trying again after a delay")
		}
		select {
		case <-l.closed:
			return nil, net.ErrClosed
		case <-l.clock.After(min(firstDelay<<min(failures, 10), maxDelay)):
		}
	}
}

// Close stops the Listener; a waiting Accept returns.
func (l *Listener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return l.Listener.Close()
}

// isTemporary reports whether the operating system describes the error as temporary. A lack of file descriptors is not a timeout,
// so net.Error alone does not tell.
func isTemporary(err error) bool {
	var temporary interface{ Temporary() bool }
	return errors.As(err, &temporary) && temporary.Temporary()
}
