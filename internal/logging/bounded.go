package logging

import (
	"io"
	"sync"
	"sync/atomic"

	"github.com/sourcegraph/conc"
)

const (
	// queuedBytes is how much may wait for a slow output; further lines are dropped and counted.
	queuedBytes = 1 << 20
	// writeBytes is the size from which a line waits for the next write, so that a burst costs few writes.
	writeBytes = 64 << 10
)

// Bounded is a writer of lines that never blocks its callers.
type Bounded struct {
	out     io.Writer
	dropped atomic.Int64
	group   conc.WaitGroup

	lock   sync.Mutex
	filled *sync.Cond
	queue  []byte
	closed bool
}

// NewBounded returns a Bounded that writes to out in a goroutine of its own.
func NewBounded(out io.Writer) *Bounded {
	b := &Bounded{out: out}
	b.filled = sync.NewCond(&b.lock)
	b.group.Go(b.run)
	return b
}

// Write queues a line, or drops it when too much waits; it never fails.
func (b *Bounded) Write(line []byte) (int, error) {
	b.lock.Lock()
	defer b.lock.Unlock()
	if b.closed || len(b.queue)+len(line) > queuedBytes {
		b.dropped.Add(1)
		return len(line), nil
	}
	b.queue = append(b.queue, line...)
	b.filled.Signal()
	return len(line), nil
}

// Dropped returns how many lines were dropped.
func (b *Bounded) Dropped() int64 { return b.dropped.Load() }

// Close writes what is queued and stops.
func (b *Bounded) Close() {
	b.lock.Lock()
	b.closed = true
	b.filled.Signal()
	b.lock.Unlock()
	b.group.Wait()
}

func (b *Bounded) run() {
	var batch []byte
	for {
		b.lock.Lock()
		for len(b.queue) == 0 && !b.closed {
			b.filled.Wait()
		}
		batch, b.queue = b.queue, batch[:0]
		closed := b.closed
		b.lock.Unlock()
		for rest := batch; len(rest) > 0; {
			n := min(len(rest), writeBytes)
			if _, err := b.out.Write(rest[:n]); err != nil {
				// There is nowhere left to report to; the lines count as dropped.
				b.dropped.Add(1)
				break
			}
			rest = rest[n:]
		}
		if closed {
			return
		}
	}
}
