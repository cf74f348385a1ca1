package logging

import (
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"
)

const (
	// maxQueuedBytes bounds the queue for a slow output; further lines are dropped and counted.
	maxQueuedBytes = 1 << 20
	// maxWriteBytes bounds one write. Queued lines are written together, so that a burst of lines takes few writes.
	maxWriteBytes = 64 << 10
	// batchDelay is how long lines are collected into one write. A busy process has hundreds of lines in that time, and each write wakes
	// whoever reads the output.
	batchDelay = 20 * time.Millisecond
)

// BoundedWriter queues lines for an output in bounded memory and never blocks its callers.
type BoundedWriter struct {
	out     io.Writer
	dropped atomic.Int64
	group   conc.WaitGroup

	lock    sync.Mutex
	changed *sync.Cond // signals a queued line or closed
	queue   []byte
	closed  bool
}

// NewBoundedWriter returns a BoundedWriter that writes to out in a goroutine of its own until Close.
func NewBoundedWriter(out io.Writer) *BoundedWriter {
	b := &BoundedWriter{out: out}
	b.changed = sync.NewCond(&b.lock)
	b.group.Go(b.writeLoop)
	return b
}

// Write queues a line, or drops it if the queue is full or closed; it never returns an error.
func (b *BoundedWriter) Write(line []byte) (int, error) {
	b.lock.Lock()
	defer b.lock.Unlock()
	if b.closed || len(b.queue)+len(line) > maxQueuedBytes {
		b.dropped.Add(1)
		return len(line), nil
	}
	b.queue = append(b.queue, line...)
	b.changed.Signal()
	return len(line), nil
}

// Dropped returns the number of dropped lines; a failed write counts as one line.
func (b *BoundedWriter) Dropped() int64 { return b.dropped.Load() }

// Close blocks until the queued lines are written and stops the writer.
func (b *BoundedWriter) Close() {
	b.lock.Lock()
	b.closed = true
	b.changed.Signal()
	b.lock.Unlock()
	b.group.Wait()
}

// writeLoop writes the queued lines until the writer is closed.
func (b *BoundedWriter) writeLoop() {
	var batch []byte
	for {
		b.lock.Lock()
		for len(b.queue) == 0 && !b.closed {
			b.changed.Wait()
		}
		if !b.closed {
			b.lock.Unlock()
			time.Sleep(batchDelay)
			b.lock.Lock()
		}
		batch, b.queue = b.queue, batch[:0]
		closed := b.closed
		b.lock.Unlock()
		for rest := batch; len(rest) > 0; {
			n := min(len(rest), maxWriteBytes)
			if _, err := b.out.Write(rest[:n]); err != nil {
				// The error cannot be logged, since this is the output of the log; the rest of the batch counts as one dropped line.
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
