package faultproxy

import (
	"net"
	"sync"
	"time"

	"github.com/sourcegraph/conc"
)

// connection is the connection of a client together with its connection to the target.
type connection struct {
	proxy          *Proxy
	client, target net.Conn
	up, down       *pipe
	done           chan struct{}
	closeOnce      sync.Once
}

func newConnection(p *Proxy, client, target net.Conn) *connection {
	c := &connection{proxy: p, client: client, target: target, done: make(chan struct{})}
	c.up = newPipe(c, Up, client, target)
	c.down = newPipe(c, Down, target, client)
	return c
}

func (c *connection) pipe(d Direction) *pipe {
	if d == Up {
		return c.up
	}
	return c.down
}

// run forwards bytes until both directions have ended.
func (c *connection) run() {
	var group conc.WaitGroup
	for _, p := range []*pipe{c.up, c.down} {
		group.Go(p.read)
		group.Go(p.write)
	}
	group.Wait()
	c.close()
}

func (c *connection) close() {
	c.closeOnce.Do(func() {
		close(c.done)
		_ = c.client.Close()
		_ = c.target.Close()
	})
}

// chunk is the data of one read. A chunk without data is the end of the stream.
type chunk struct {
	data    []byte
	arrived time.Time
}

// The reader queues up to maxQueuedChunks for a delayed writer, so that a delay does not reduce the throughput of ordinary
// calls.
const (
	maxQueuedChunks = 64
	chunkBytes      = 32 << 10
)

// pipe forwards one direction of a connection.
type pipe struct {
	connection *connection
	direction  Direction
	from, to   net.Conn
	chunks     chan chunk
	frozen     chan struct{} // closed by Proxy.FreezeOpen; such a pipe stays frozen
	cutOff     chan struct{} // closed when this direction is cut
	freezeOnce sync.Once
	cutOnce    sync.Once
}

func newPipe(c *connection, d Direction, from, to net.Conn) *pipe {
	return &pipe{
		connection: c, direction: d, from: from, to: to,
		chunks: make(chan chunk, maxQueuedChunks), frozen: make(chan struct{}), cutOff: make(chan struct{}),
	}
}

func (p *pipe) freeze() { p.freezeOnce.Do(func() { close(p.frozen) }) }

func (p *pipe) cut() { p.cutOnce.Do(func() { close(p.cutOff) }) }

// read queues the data from the sender until the stream ends.
func (p *pipe) read() {
	buffer := make([]byte, chunkBytes)
	for {
		n, err := p.from.Read(buffer)
		if n > 0 && !p.queue(append([]byte(nil), buffer[:n]...)) {
			return
		}
		if err != nil {
			p.queue(nil)
			return
		}
	}
}

// queue adds a chunk, and blocks while the queue is full. It reports false when the connection is closed.
func (p *pipe) queue(data []byte) bool {
	select {
	case p.chunks <- chunk{data, p.connection.proxy.clock.Now()}:
		return true
	case <-p.connection.done:
		return false
	}
}

// write forwards the queued chunks, subject to the faults, until the stream ends or is cut.
func (p *pipe) write() {
	defer p.endStream()
	for {
		select {
		case c := <-p.chunks:
			if !p.awaitForwarding(c) || len(c.data) == 0 {
				return
			}
			if p.direction == Down && p.connection.proxy.dropsAnswer() {
				p.connection.close()
				return
			}
			if _, err := p.to.Write(c.data); err != nil {
				p.connection.close()
				return
			}
		case <-p.cutOff:
			return
		case <-p.connection.done:
			return
		}
	}
}

// awaitForwarding blocks while the direction is frozen and until the delay of the chunk has passed. It reports false when the
// connection or the direction was closed meanwhile, so that the chunk must not be forwarded.
func (p *pipe) awaitForwarding(c chunk) bool {
	proxy := p.connection.proxy
	for {
		changed := proxy.changed.Changed()
		directionFaults := proxy.Faults().directionFaults(p.direction)
		due := c.arrived.Add(time.Duration(directionFaults.DelayMs) * time.Millisecond)
		wait := due.Sub(proxy.clock.Now())
		if !directionFaults.Frozen && !p.isFrozen() && wait <= 0 {
			return true
		}
		var timer <-chan time.Time
		if !directionFaults.Frozen && !p.isFrozen() {
			timer = proxy.clock.After(wait)
		}
		select {
		case <-p.connection.done:
			return false
		case <-p.cutOff:
			return false
		case <-changed:
		case <-timer:
		}
	}
}

func (p *pipe) isFrozen() bool {
	select {
	case <-p.frozen:
		return true
	default:
		return false
	}
}

// endStream closes the sending direction of the connection to the receiver. The other direction stays open.
func (p *pipe) endStream() {
	if half, ok := p.to.(interface{ CloseWrite() error }); ok {
		_ = half.CloseWrite()
	}
}
