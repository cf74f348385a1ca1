package estimate

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/jaybarrow/jaybarrow"
)

const shardCount = 32

// Estimator predicts run times from a bounded number of histories, kept in shards that each have their own lock. It is safe for
// concurrent use.
type Estimator struct {
	shards      [shardCount]shard
	maxPerShard int
}

type shard struct {
	sync.Mutex
	histories map[key]*history
	useCount  uint64
}

type key struct {
	team  jaybarrow.TeamID
	queue jaybarrow.QueueID
}

// New returns an Estimator for about maxHistories pairs of team and queue; the least recently used history is evicted first.
func New(maxHistories int) *Estimator {
	e := &Estimator{maxPerShard: max(maxHistories/shardCount, 1)}
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

// Estimate returns the median run time, the declared time when no run has been observed, and 0 when there is neither.
func (e *Estimator) Estimate(team jaybarrow.TeamID, queue jaybarrow.QueueID, declared time.Duration) time.Duration {
	if learned := e.Quantile(team, queue, declared, 0.5); learned > 0 {
		return learned
	}
	return max(declared, 0)
}

// Quantile returns the q-quantile of the run time, and 0 when no run has been observed: a declared time alone does not justify
// refusing a request.
func (e *Estimator) Quantile(team jaybarrow.TeamID, queue jaybarrow.QueueID, declared time.Duration, q float64) time.Duration {
	k := key{team, queue}
	s := e.shard(k)
	s.Lock()
	defer s.Unlock()
	h, ok := s.histories[k]
	if !ok {
		return 0
	}
	s.markUsed(h)
	return fromLogSeconds(h.quantile(declared, q))
}

// Observe records the run time of a task that ran to its end; declared is 0 when the caller declared no run time.
func (e *Estimator) Observe(team jaybarrow.TeamID, queue jaybarrow.QueueID, declared, ran time.Duration) {
	k := key{team, queue}
	s := e.shard(k)
	s.Lock()
	defer s.Unlock()
	h, ok := s.histories[k]
	if !ok {
		s.evictOldest(e.maxPerShard)
		h = &history{}
		s.histories[k] = h
	}
	s.markUsed(h)
	h.observe(declared, ran)
}

func (s *shard) markUsed(h *history) {
	s.useCount++
	h.lastUse = s.useCount
}

// evictOldest removes the least recently used history if the shard has reached the limit.
func (s *shard) evictOldest(limit int) {
	if len(s.histories) < limit {
		return
	}
	var oldest key
	oldestUse := uint64(0)
	for k, h := range s.histories {
		if oldestUse == 0 || h.lastUse < oldestUse {
			oldest, oldestUse = k, h.lastUse
		}
	}
	delete(s.histories, oldest)
}
