package faultproxy

import (
	"net"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/internal/notify"
	"github.com/jaybarrow/jaybarrow/internal/standin/gate"
)

// dialTimeout bounds connecting to a target, which is on the loopback network.
const dialTimeout = 2 * time.Second

// Proxy forwards connections to a target and injects faults.
type Proxy struct {
	clock    jaybarrow.Clock
	target   jaybarrow.Address
	listener *gate.Listener
	group    conc.WaitGroup
	changed  *notify.Notifier // signals a change of faults

	lock        sync.Mutex
	faults      Faults
	connections map[*connection]struct{}
	accepted    int
	closed      bool
}

// New returns a running Proxy that owns the listener.
func New(clock jaybarrow.Clock, listener net.Listener, target jaybarrow.Address) *Proxy {
	p := &Proxy{
		clock: clock, target: target, listener: gate.New(listener), changed: notify.New(),
		connections: make(map[*connection]struct{}),
	}
	p.group.Go(p.accept)
	return p
}

// Address returns the address that clients connect to.
func (p *Proxy) Address() jaybarrow.Address { return p.listener.Address() }

// Set replaces the current faults. Open connections stay open.
func (p *Proxy) Set(f Faults) error {
	p.lock.Lock()
	p.faults = f
	p.lock.Unlock()
	p.changed.Signal()
	if f.Refuse {
		p.listener.Refuse()
		return nil
	}
	return p.listener.Reopen()
}

// Faults returns the current faults.
func (p *Proxy) Faults() Faults {
	p.lock.Lock()
	defer p.lock.Unlock()
	return p.faults
}

// Cut closes the open connections in both directions.
func (p *Proxy) Cut() {
	for _, c := range p.openConnections() {
		c.close()
	}
}

// CutDirection ends one direction of the open connections. The receiver sees the end of the stream, and the other direction
// still works.
func (p *Proxy) CutDirection(d Direction) {
	for _, c := range p.openConnections() {
		c.pipe(d).cut()
	}
}

// FreezeOpen freezes a direction of the open connections until they are closed. New connections are not affected.
func (p *Proxy) FreezeOpen(d Direction) {
	for _, c := range p.openConnections() {
		c.pipe(d).freeze()
	}
}

// Connections returns how many connections are open and how many were accepted.
func (p *Proxy) Connections() (open, accepted int) {
	p.lock.Lock()
	defer p.lock.Unlock()
	return len(p.connections), p.accepted
}

// Close stops accepting connections, closes the open ones and waits for all goroutines.
func (p *Proxy) Close() {
	p.lock.Lock()
	p.closed = true
	p.lock.Unlock()
	_ = p.listener.Close()
	p.Cut()
	p.group.Wait()
}

func (p *Proxy) openConnections() []*connection {
	p.lock.Lock()
	defer p.lock.Unlock()
	list := make([]*connection, 0, len(p.connections))
	for c := range p.connections {
		list = append(list, c)
	}
	return list
}

func (p *Proxy) accept() {
	for {
		client, err := p.listener.Accept()
		if err != nil {
			return
		}
		p.group.Go(func() { p.serve(client) })
	}
}

func (p *Proxy) serve(client net.Conn) {
	target, err := net.DialTimeout("tcp", string(p.target), dialTimeout)
	if err != nil {
		_ = client.Close()
		return
	}
	c := newConnection(p, client, target)
	if !p.add(c) {
		c.close()
		return
	}
	c.run()
	p.lock.Lock()
	defer p.lock.Unlock()
	delete(p.connections, c)
}

func (p *Proxy) add(c *connection) bool {
	p.lock.Lock()
	defer p.lock.Unlock()
	if p.closed {
		return false
	}
	p.connections[c] = struct{}{}
	p.accepted++
	return true
}

// dropsAnswer reports whether the chunk of an answer is to be dropped, and counts it against DropAnswers.
func (p *Proxy) dropsAnswer() bool {
	p.lock.Lock()
	defer p.lock.Unlock()
	if p.faults.DropAnswers > 0 {
		p.faults.DropAnswers--
		return true
	}
	return p.faults.DropAnswers == DropAll
}
