package clientlimit

import (
	"container/list"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/internal/budget"
	"github.com/jaybarrow/jaybarrow/internal/shard"
)

// The time limits of connections are above those that a well-behaved client keeps (header_timeout_ms 3,000 and idle_timeout_ms 15,000) by
// more than the time for which a packet may be delayed.
const (
	// HeaderTimeout bounds the time from the first byte of a request to the end of its headers.
	HeaderTimeout = 5 * time.Second
	// IdleTimeout bounds the time without a request.
	IdleTimeout = 20 * time.Second
	// BodyTimeout bounds the time from the end of the headers to the end of the body.
	BodyTimeout = 10 * time.Second
	// WriteTimeout bounds the time in which a client takes an answer.
	WriteTimeout = 10 * time.Second
	// HeaderBytes is the largest size of a request's headers: max_header_bytes with room for the request line.
	HeaderBytes = 16_384 + 4096
)

// Settings are the settings of a Listener.
type Settings struct {
	Name           string // in logs and metrics
	MaxConnections int
	Bodies         *Bytes // nil without a bound over all connections
	Reporter       *Reporter
	// Messages and Calls bound what a gRPC server holds, which serves with ServerOptions.
	Messages budget.Bytes
	Calls    int
	// LongCalls are not counted by Messages any more when their message is complete, since they may run for hours.
	LongCalls bool
}

// Listener accepts at most a number of connections. When there are more, it closes the one that has waited longest without ever having
// sent a complete request, else the one that has been idle longest, else the new one.
type Listener struct {
	net.Listener
	settings Settings
	open     atomic.Int64
	sequence atomic.Uint64
	evicting atomic.Uint64 // shard of the next eviction
	shards   [shardCount]connShard

	// For a gRPC server only.
	byAddress    *shard.Map[jaybarrow.Address, *Conn]
	messageBytes atomic.Int64
	calls        atomic.Int64
}

// connShard holds some of the connections. The lists are in order of time, oldest first.
type connShard struct {
	lock  sync.Mutex
	fresh list.List // have sent no complete request
	idle  list.List // wait for a further request
}

// New returns a Listener that accepts the connections of l.
func New(l net.Listener, s Settings) *Listener {
	return &Listener{Listener: l, settings: s, byAddress: shard.New[jaybarrow.Address, *Conn]()}
}

// Bodies returns the bound on bodies that the Listener was given.
func (l *Listener) Bodies() *Bytes { return l.settings.Bodies }

// Reached counts and logs that a client has reached a limit.
func (l *Listener) Reached(limit Limit, effect string) {
	l.settings.Reporter.reached(l.settings.Name, limit, effect)
}

// Open returns the number of open connections.
func (l *Listener) Open() int64 { return l.open.Load() }

// Accept blocks until there is a connection.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		inner, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &Conn{Conn: inner, listener: l, shard: &l.shards[l.sequence.Add(1)%shardCount]}
		if l.open.Add(1) > int64(l.settings.MaxConnections) {
			evicted := l.evict()
			l.Reached(LimitConnections, "a connection was closed")
			if !evicted {
				l.open.Add(-1)
				_ = inner.Close()
				continue
			}
		}
		if l.settings.Messages > 0 {
			l.byAddress.Set(jaybarrow.Address(inner.RemoteAddr().String()), c)
		}
		c.setState(stateFresh)
		return c, nil
	}
}

// evict closes a connection that holds no request in progress, and returns false if there is none. Connections are spread over the shards
// in the order in which they came, and so are evictions, so that about the oldest one is closed.
func (l *Listener) evict() bool {
	for _, lists := range []func(*connShard) *list.List{
		func(s *connShard) *list.List { return &s.fresh }, func(s *connShard) *list.List { return &s.idle },
	} {
		for range shardCount {
			s := &l.shards[l.evicting.Add(1)%shardCount]
			s.lock.Lock()
			var victim *Conn
			if first := lists(s).Front(); first != nil {
				victim, _ = first.Value.(*Conn)
				victim.leaveList()
			}
			s.lock.Unlock()
			if victim != nil {
				_ = victim.Close()
				return true
			}
		}
	}
	return false
}

// state says whether a connection may be closed in favour of another one.
type state string

const (
	stateFresh   state = "fresh"
	stateServing state = "serving"
	stateIdle    state = "idle"
	stateClosed  state = "closed"
)

// Conn is a connection of a Listener.
type Conn struct {
	net.Conn
	listener *Listener
	shard    *connShard
	started  atomic.Bool // whether a byte has arrived
	answered atomic.Bool // whether a part of the present answer has been written

	// The shard's lock guards these.
	state   state
	element *list.Element // in the list of the state
	inList  *list.List

	// For a gRPC server only.
	pending atomic.Int64 // bytes that belong to no complete message
	running atomic.Int64 // calls whose message is complete
	streams atomic.Int64 // calls
}

// Of returns the connection of a Listener that c is or wraps, or nil.
func Of(c net.Conn) *Conn {
	for c != nil {
		if conn, ok := c.(*Conn); ok {
			return conn
		}
		wrapper, ok := c.(interface{ NetConn() net.Conn })
		if !ok {
			return nil
		}
		c = wrapper.NetConn()
	}
	return nil
}

// Listener returns the Listener of the connection.
func (c *Conn) Listener() *Listener { return c.listener }

// Serve protects the connection from being closed in favour of another one until its answer is written; it begins when a request is complete.
func (c *Conn) Serve() {
	c.answered.Store(false)
	c.setState(stateServing)
}

// idle ends Serve.
func (c *Conn) idle() { c.setState(stateIdle) }

func (c *Conn) setState(to state) {
	c.shard.lock.Lock()
	defer c.shard.lock.Unlock()
	if c.state == stateClosed || c.state == to {
		return
	}
	c.leaveList()
	c.state = to
	switch to {
	case stateFresh:
		c.inList = &c.shard.fresh
	case stateIdle:
		c.inList = &c.shard.idle
	case stateServing, stateClosed:
		return
	}
	c.element = c.inList.PushBack(c)
}

// leaveList removes the connection from its list; the shard's lock is held.
func (c *Conn) leaveList() {
	if c.inList != nil {
		c.inList.Remove(c.element)
		c.inList, c.element = nil, nil
	}
}

// touch makes an idle connection the one that has been idle for the shortest time.
func (c *Conn) touch() {
	c.shard.lock.Lock()
	defer c.shard.lock.Unlock()
	if c.state == stateIdle && c.inList != nil {
		c.inList.MoveToBack(c.element)
	}
}

func (c *Conn) isServing() bool {
	c.shard.lock.Lock()
	defer c.shard.lock.Unlock()
	return c.state == stateServing
}

// SetReadDeadline sets the time at which reads fail. A client may wait before its first request as long as between two requests. An HTTP server
// calls it when it begins to wait for the next request, so that the connection is idle if its answer was written; the answer to one of several
// requests sent at once may still be in the server's buffer. A deadline in the past only interrupts a read.
func (c *Conn) SetReadDeadline(t time.Time) error {
	if c.listener.settings.Messages == 0 && c.answered.Load() && c.isServing() && time.Now().Before(t) {
		c.idle()
	}
	if !t.IsZero() && c.listener.settings.Messages == 0 && !c.started.Load() {
		t = t.Add(IdleTimeout - HeaderTimeout)
	}
	return c.Conn.SetReadDeadline(t)
}

// Read reads from the connection and counts what a gRPC server has received.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 && c.listener.settings.Messages > 0 {
		return c.receive(n, err)
	}
	if n <= 0 {
		return n, err
	}
	c.touch()
	if !c.started.Swap(true) {
		_ = c.Conn.SetReadDeadline(time.Now().Add(HeaderTimeout)) // fails only on a closed connection
	}
	return n, err
}

// Write writes a part of an answer.
func (c *Conn) Write(p []byte) (int, error) {
	c.answered.Store(true)
	return c.Conn.Write(p)
}

// CloseWrite closes the connection for writing.
func (c *Conn) CloseWrite() error {
	if w, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return w.CloseWrite()
	}
	return nil
}

// Close closes the connection; a second call does nothing.
func (c *Conn) Close() error {
	c.shard.lock.Lock()
	closed := c.state == stateClosed
	c.leaveList()
	c.state = stateClosed
	c.shard.lock.Unlock()
	if closed {
		return nil
	}
	if c.listener.settings.Messages > 0 {
		c.listener.byAddress.Delete(jaybarrow.Address(c.RemoteAddr().String()))
		c.forget(c.pending.Load())
	}
	err := c.Conn.Close()
	c.listener.open.Add(-1)
	return err
}
