package clientlimit

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/internal/budget"
)

// Bytes counts the bytes that all requests of a process hold. It is safe for concurrent use.
type Bytes struct {
	clock jaybarrow.Clock
	total int64
	used  atomic.Int64

	lock    sync.Mutex
	freed   chan struct{} // closed at the next release
	waiters int

	sequence atomic.Uint64
	shards   [shardCount]receivingShard
}

// shardCount is the number of shards of the connections of a listener and of the bodies that are being received.
const shardCount = 16

// receivingShard holds some of the bodies that are being received.
type receivingShard struct {
	lock   sync.Mutex
	bodies map[*Body]struct{}
}

// NewBytes returns a Bytes with room for total bytes.
func NewBytes(clock jaybarrow.Clock, total budget.Bytes) *Bytes {
	b := &Bytes{clock: clock, total: int64(total), freed: make(chan struct{})}
	for i := range b.shards {
		b.shards[i].bodies = make(map[*Body]struct{})
	}
	return b
}

// Used returns the number of bytes that are held.
func (b *Bytes) Used() int64 { return b.used.Load() }

const (
	// smallBytes is the size up to which a reservation may take the last quarter, so that ordinary requests do not wait behind large ones.
	smallBytes    = 16 << 10
	largeFraction = 0.75
	// evictAfter is how long a body may take to arrive before it has to give way to a waiting one. A body of the largest size takes 0.1 s at
	// 20 Mbit/s.
	evictAfter = 500 * time.Millisecond
	// maxReserveWait bounds the wait for room; callers allow 3 s for an answer by default.
	maxReserveWait = 2 * time.Second
)

// limitFor returns how many bytes may be held after a reservation of n bytes for a body.
func (b *Bytes) limitFor(n int64) int64 {
	if n > smallBytes {
		return int64(largeFraction * float64(b.total))
	}
	return b.total
}

// take takes n bytes if no more than limit are held then.
func (b *Bytes) take(n, limit int64) bool {
	for {
		used := b.used.Load()
		if used+n > limit {
			return false
		}
		if b.used.CompareAndSwap(used, used+n) {
			return true
		}
	}
}

// release returns n bytes and wakes those that wait for room.
func (b *Bytes) release(n int64) {
	if n == 0 {
		return
	}
	b.used.Add(-n)
	b.lock.Lock()
	defer b.lock.Unlock()
	if b.waiters > 0 {
		close(b.freed)
		b.freed, b.waiters = make(chan struct{}), 0
	}
}

// waitForRoom returns a channel that is closed at the next release.
func (b *Bytes) waitForRoom() <-chan struct{} {
	b.lock.Lock()
	defer b.lock.Unlock()
	b.waiters++
	return b.freed
}

// reserve takes n bytes if no more than limit are held then. While there is no room, the oldest body that has been arriving for evictAfter has
// to give way; it returns false when there is no room within maxReserveWait or evicted is closed.
func (b *Bytes) reserve(n, limit int64, evicted <-chan struct{}) bool {
	if b.take(n, limit) {
		return true
	}
	if n > b.total {
		return false
	}
	deadline := b.clock.Now().Add(maxReserveWait)
	for {
		// The channel is taken before the attempt, so that a release in between is not missed.
		freed := b.waitForRoom()
		if b.take(n, limit) {
			return true
		}
		now := b.clock.Now()
		if !now.Before(deadline) {
			return false
		}
		wait := deadline.Sub(now)
		if until, ok := b.evictOldest(now); !ok {
			wait = min(wait, until)
		}
		select {
		case <-evicted:
			return false
		case <-freed:
		case <-b.clock.After(wait):
		}
	}
}

// evictOldest ends the oldest body that has been arriving for evictAfter. If there is none, it returns the time until there may be one.
func (b *Bytes) evictOldest(now time.Time) (time.Duration, bool) {
	var oldest *Body
	for i := range b.shards {
		s := &b.shards[i]
		s.lock.Lock()
		for body := range s.bodies {
			if !body.isEvicted() && (oldest == nil || body.since.Before(oldest.since)) {
				oldest = body
			}
		}
		s.lock.Unlock()
	}
	if oldest == nil {
		return evictAfter, false
	}
	if age := now.Sub(oldest.since); age < evictAfter {
		return evictAfter - age, false
	}
	oldest.evict()
	return 0, true
}

func (b *Bytes) add(body *Body) {
	body.shard = int(b.sequence.Add(1) % shardCount)
	s := &b.shards[body.shard]
	s.lock.Lock()
	defer s.lock.Unlock()
	s.bodies[body] = struct{}{}
}

func (b *Bytes) remove(body *Body) {
	s := &b.shards[body.shard]
	s.lock.Lock()
	defer s.lock.Unlock()
	delete(s.bodies, body)
}
