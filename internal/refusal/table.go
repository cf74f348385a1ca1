package refusal

import (
	"container/list"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// tableShards is the number of shards of a table, above the number of cores of most hosts.
const tableShards = 16

// table is a bounded map in shards, each under its own lock. Each shard drops the entries that were set longest ago, when it is full and when
// they are older than maxAge.
type table[K ~string, V any] struct {
	maxAge time.Duration
	shards [tableShards]tableShard[K, V]
}

type tableShard[K ~string, V any] struct {
	lock    sync.Mutex
	most    int
	entries map[K]*list.Element // of order
	order   *list.List          // of *entry, by the time at which they were set
	dropped int64               // because the shard was full
}

type entry[K ~string, V any] struct {
	key   K
	value V
	setAt time.Time
}

// newTable returns a table of at most most entries.
func newTable[K ~string, V any](most int, maxAge time.Duration) *table[K, V] {
	t := &table[K, V]{maxAge: maxAge}
	for n := range t.shards {
		t.shards[n].most, t.shards[n].entries, t.shards[n].order = most/tableShards, make(map[K]*list.Element), list.New()
	}
	return t
}

func (t *table[K, V]) shard(key K) *tableShard[K, V] {
	return &t.shards[xxhash.Sum64String(string(key))%tableShards]
}

// set replaces the value of the key by the result of change, which runs under the shard's lock.
func (t *table[K, V]) set(now time.Time, key K, change func(old V, known bool) V) {
	s := t.shard(key)
	s.lock.Lock()
	defer s.lock.Unlock()
	s.expire(now, t.maxAge)
	if e, known := s.entries[key]; known {
		one := e.Value.(*entry[K, V])
		one.value, one.setAt = change(one.value, true), now
		s.order.MoveToBack(e)
		return
	}
	if len(s.entries) >= s.most {
		s.removeFirst()
		s.dropped++
	}
	var none V
	s.entries[key] = s.order.PushBack(&entry[K, V]{key, change(none, false), now})
}

// modify changes the value of a known key without making the entry newer.
func (t *table[K, V]) modify(key K, change func(*V)) {
	s := t.shard(key)
	s.lock.Lock()
	defer s.lock.Unlock()
	if e, known := s.entries[key]; known {
		change(&e.Value.(*entry[K, V]).value)
	}
}

// get returns the value of a key that is not too old.
func (t *table[K, V]) get(now time.Time, key K) (V, bool) {
	s := t.shard(key)
	s.lock.Lock()
	defer s.lock.Unlock()
	s.expire(now, t.maxAge)
	if e, known := s.entries[key]; known {
		return e.Value.(*entry[K, V]).value, true
	}
	var none V
	return none, false
}

// newest calls use for the entries of one shard after the other, in each from the one that was set last, until use returns false. It runs under
// the lock of the shard, and goes on with the next shard after a false.
func (t *table[K, V]) newest(now time.Time, use func(key K, value V, setAt time.Time) bool) {
	for n := range t.shards {
		s := &t.shards[n]
		s.lock.Lock()
		s.expire(now, t.maxAge)
		for e := s.order.Back(); e != nil; e = e.Prev() {
			one := e.Value.(*entry[K, V])
			if !use(one.key, one.value, one.setAt) {
				break
			}
		}
		s.lock.Unlock()
	}
}

// size returns the number of entries and how many were dropped because a shard was full.
func (t *table[K, V]) size(now time.Time) (entries int, dropped int64) {
	for n := range t.shards {
		s := &t.shards[n]
		s.lock.Lock()
		s.expire(now, t.maxAge)
		entries, dropped = entries+len(s.entries), dropped+s.dropped
		s.lock.Unlock()
	}
	return entries, dropped
}

// expire drops the entries that are too old. The lock is held.
func (s *tableShard[K, V]) expire(now time.Time, maxAge time.Duration) {
	for e := s.order.Front(); e != nil && now.Sub(e.Value.(*entry[K, V]).setAt) > maxAge; e = s.order.Front() {
		s.removeFirst()
	}
}

// removeFirst drops the entry that was set longest ago. The lock is held.
func (s *tableShard[K, V]) removeFirst() {
	e := s.order.Front()
	delete(s.entries, e.Value.(*entry[K, V]).key)
	s.order.Remove(e)
}
