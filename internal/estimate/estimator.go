package estimate

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/jaybarrow/jaybarrow"
)

const shardCount = 32

// Estimator is a bounded set of histories in shards, each under its own lock.
type Estimator struct {
	shards   [shardCount]shard
	perShard int
}

type shard struct {
	sync.Mutex
	histories map[key]*history
	uses      uint64
}

type key struct {
	team  jaybarrow.TeamID
	queue jaybarrow.QueueID
}

// New returns an Estimator for about maxHistories pairs of team and queue; the least recently used is forgotten first.
func New(maxHistories int) *Estimator {
	e := &Estimator{perShard: max(maxHistories/shardCount, 1)}
	for i := range e.shards {
		e.shards[i].histories = make(map[key]*history)
	}
	return e
}

func (e *Estimator) shard(k key) *shard {
	d := xxhash.New()
	_, _ = d.WriteString(string(k.team))
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(string(k.queue))
	return &e.shards[d.Sum64()%shardCount]
}

// Estimate returns the median run time, the declared time when no run was observed, and 0 when nothing is known.
func (e *Estimator) Estimate(team jaybarrow.TeamID, queue jaybarrow.QueueID, declared time.Duration) time.Duration {
	if learned := e.Quantile(team, queue, declared, 0.5); learned > 0 {
		return learned
	}
	return max(declared, 0)
}

// Quantile returns the q-quantile of the run time, and 0 when no run was observed: a declared time alone is no reason to
// refuse a request.
func (e *Estimator) Quantile(team jaybarrow.TeamID, queue jaybarrow.QueueID, declared time.Duration, q float64) time.Duration {
	k := key{team, queue}
	s := e.shard(k)
	s.Lock()
	defer s.Unlock()
	h, ok := s.histories[k]
	if !ok {
		return 0
	}
	s.touch(h)
	return fromLog(h.quantile(declared, q))
}

// Observe learns the run time of a task that ran to its end; declared is 0 when the caller declared none.
func (e *Estimator) Observe(team jaybarrow.TeamID, queue jaybarrow.QueueID, declared, ran time.Duration) {
	k := key{team, queue}
	s := e.shard(k)
	s.Lock()
	defer s.Unlock()
	h, ok := s.histories[k]
	if !ok {
		s.makeRoom(e.perShard)
		h = &history{}
		s.histories[k] = h
	}
	s.touch(h)
	h.observe(declared, ran)
}

func (s *shard) touch(h *history) {
	s.uses++
	h.used = s.uses
}

func (s *shard) makeRoom(limit int) {
	if len(s.histories) < limit {
		return
	}
	var oldest key
	least := uint64(0)
	for k, h := range s.histories {
		if least == 0 || h.used < least {
			oldest, least = k, h.used
		}
	}
	delete(s.histories, oldest)
}
