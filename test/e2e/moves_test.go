package e2e

import (
	"context"
	"encoding/json"
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/anishathalye/porcupine"

	"github.com/jaybarrow/jaybarrow"
)

// move is an operator's move of a host to another pool, or a read of the host's pool from the store when to is empty.
type move struct {
	host jaybarrow.HostID
	to   jaybarrow.PoolID
}

// moveOutcome is the result of a move.
type moveOutcome string

const (
	moveDone    moveOutcome = "done"
	moveRefused moveOutcome = "refused"
	moveUnknown moveOutcome = "unknown"
)

// membership models the pool of each host: a completed move took effect once, a refused one did not, and one with an unknown
// outcome may have.
var membership = porcupine.NondeterministicModel{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		parts := make(map[jaybarrow.HostID][]porcupine.Operation)
		for _, o := range history {
			host := o.Input.(move).host
			parts[host] = append(parts[host], o)
		}
		var list [][]porcupine.Operation
		for _, p := range parts {
			list = append(list, p)
		}
		return list
	},
	Init: func() []any { return []any{jaybarrow.PoolID("")} },
	Step: func(state, input, output any) []any {
		pool, in := state.(jaybarrow.PoolID), input.(move)
		if in.to == "" {
			seen := output.(jaybarrow.PoolID)
			if pool == "" || pool == seen {
				return []any{seen}
			}
			return nil
		}
		switch output.(moveOutcome) {
		case moveDone:
			return []any{in.to}
		case moveRefused:
			return []any{pool}
		default:
			return []any{pool, in.to}
		}
	},
}

// moves runs operators that move hosts between two pools, and records the operations of the operators and of a reader of the
// store.
type moves struct {
	c         *cluster
	startedAt time.Time
	group     sync.WaitGroup
	stopped   chan struct{}

	sync.Mutex
	history []porcupine.Operation
	pools   map[jaybarrow.HostID]jaybarrow.PoolID // as last read from the store
}

// startMoves starts the reader and one operator for each of the entry hosts.
func (c *cluster) startMoves(through ...*entryHost) *moves {
	m := &moves{c: c, startedAt: time.Now(), stopped: make(chan struct{}), pools: make(map[jaybarrow.HostID]jaybarrow.PoolID)}
	m.readPools()
	m.group.Go(func() {
		for !m.pause(50 * time.Millisecond) {
			m.readPools()
		}
	})
	for i, e := range through {
		m.group.Go(func() {
			for !m.pause(20 * time.Millisecond) {
				m.moveOne(i+1, e)
			}
		})
	}
	return m
}

// pause waits for the duration, or returns true at once when the moves are stopped.
func (m *moves) pause(d time.Duration) bool {
	select {
	case <-m.stopped:
		return true
	case <-time.After(d):
		return false
	}
}

func (m *moves) elapsed() int64 { return int64(time.Since(m.startedAt)) }

func (m *moves) addOperation(client int, called, returned int64, in move, out any) {
	m.Lock()
	defer m.Unlock()
	m.history = append(m.history, porcupine.Operation{ClientId: client, Input: in, Output: out, Call: called, Return: returned})
}

// readPools records a read of each host's pool from the store's writes.
func (m *moves) readPools() {
	called := m.elapsed()
	last := make(map[jaybarrow.HostID]jaybarrow.PoolID)
	for _, change := range m.c.storeWrites(jaybarrow.HostPrefix) {
		var h jaybarrow.Host
		_ = json.Unmarshal(change.Value, &h)
		last[h.ID] = h.Pool
	}
	returned := m.elapsed()
	for id, pool := range last {
		m.addOperation(0, called, returned, move{host: id}, pool)
	}
	m.Lock()
	m.pools = last
	m.Unlock()
}

// lastPool returns the host's pool as last read from the store.
func (m *moves) lastPool(id jaybarrow.HostID) jaybarrow.PoolID {
	m.Lock()
	defer m.Unlock()
	return m.pools[id]
}

// moveOne moves a random host to the other pool, waits until the store has the new pool, and records the move.
func (m *moves) moveOne(client int, e *entryHost) {
	host := m.c.workers[rand.N(len(m.c.workers))].host.ID
	in := move{host: host, to: "batch"}
	if m.lastPool(host) == "batch" {
		in.to = "desk"
	}
	called := m.elapsed()
	_, err := m.c.operator(e).BeginDrain(context.Background(), host, jaybarrow.PurposeMove, in.to)
	switch {
	case err == nil:
		for m.lastPool(host) != in.to {
			if m.pause(20 * time.Millisecond) {
				m.addOperation(client, called, math.MaxInt64, in, moveUnknown)
				return
			}
		}
		m.addOperation(client, called, m.elapsed(), in, moveDone)
	case jaybarrow.AsError(err).Effect == jaybarrow.EffectNotRun:
		m.addOperation(client, called, m.elapsed(), in, moveRefused)
	default:
		m.addOperation(client, called, math.MaxInt64, in, moveUnknown)
	}
}

// stop stops the operators and the reader, and returns the history with a last read.
func (m *moves) stop() []porcupine.Operation {
	close(m.stopped)
	m.group.Wait()
	m.readPools()
	return m.history
}
