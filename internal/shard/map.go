package shard

import (
	"sync"

	"github.com/cespare/xxhash/v2"
)

// Count is the number of shards of a Map; it is well above the core count so that threads rarely contend for one lock.
const Count = 32

// Map is a map from string-like keys to values in Count shards.
type Map[K ~string, V any] struct {
	shards [Count]bucket[K, V]
}

type bucket[K ~string, V any] struct {
	sync.RWMutex
	values map[K]V
}

// New returns an empty Map.
func New[K ~string, V any]() *Map[K, V] {
	m := &Map[K, V]{}
	for i := range m.shards {
		m.shards[i].values = make(map[K]V)
	}
	return m
}

func (m *Map[K, V]) bucket(key K) *bucket[K, V] {
	return &m.shards[xxhash.Sum64String(string(key))%Count]
}

// Get returns the value of the key and whether it is present.
func (m *Map[K, V]) Get(key K) (V, bool) {
	b := m.bucket(key)
	b.RLock()
	defer b.RUnlock()
	v, ok := b.values[key]
	return v, ok
}

// Update replaces the value of the key by the result of change, or removes the key when keep is false. change runs under the
// shard's lock and must not block.
func (m *Map[K, V]) Update(key K, change func(old V, present bool) (value V, keep bool)) {
	b := m.bucket(key)
	b.Lock()
	defer b.Unlock()
	old, present := b.values[key]
	value, keep := change(old, present)
	if keep {
		b.values[key] = value
		return
	}
	delete(b.values, key)
}

// GetOrCreate returns the value of the key; an absent one is created by create under the shard's lock.
func (m *Map[K, V]) GetOrCreate(key K, create func() V) V {
	if v, ok := m.Get(key); ok {
		return v
	}
	b := m.bucket(key)
	b.Lock()
	defer b.Unlock()
	if v, ok := b.values[key]; ok {
		return v
	}
	v := create()
	b.values[key] = v
	return v
}

// Set stores the value of the key.
func (m *Map[K, V]) Set(key K, value V) {
	b := m.bucket(key)
	b.Lock()
	defer b.Unlock()
	b.values[key] = value
}

// Delete removes the key.
func (m *Map[K, V]) Delete(key K) {
	b := m.bucket(key)
	b.Lock()
	defer b.Unlock()
	delete(b.values, key)
}

// Len returns the number of entries; entries added or removed during the call may or may not be counted.
func (m *Map[K, V]) Len() int {
	total := 0
	for i := range m.shards {
		m.shards[i].RLock()
		total += len(m.shards[i].values)
		m.shards[i].RUnlock()
	}
	return total
}

// Each calls visit for every entry of a copy of each shard; it holds no lock during the calls.
func (m *Map[K, V]) Each(visit func(key K, value V)) {
	for i := range m.shards {
		for k, v := range m.shards[i].snapshot() {
			visit(k, v)
		}
	}
}

func (b *bucket[K, V]) snapshot() map[K]V {
	b.RLock()
	defer b.RUnlock()
	c := make(map[K]V, len(b.values))
	for k, v := range b.values {
		c[k] = v
	}
	return c
}
