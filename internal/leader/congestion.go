package leader

import (
	"encoding/json"
	"slices"

	"github.com/jaybarrow/jaybarrow"
)

// Congestion is the record in which the leader says what it may refuse. Entry hosts ask the leader about jobs of the pools that it names only,
// so that a calm fleet pays nothing for admission.
type Congestion struct {
	Pools []jaybarrow.PoolID `json:"pools"`
	// ShortOfMemory means that no new job is accepted, and that a host with more memory should lead.
	ShortOfMemory bool `json:"shortOfMemory,omitempty"`
}

// Equal reports whether both records say the same.
func (c Congestion) Equal(o Congestion) bool {
	return c.ShortOfMemory == o.ShortOfMemory && slices.Equal(c.Pools, o.Pools)
}

// Congested reports whether the leader named the pool as one that may refuse jobs.
func (l *Leader) Congested(pool jaybarrow.PoolID) bool {
	l.lock.Lock()
	defer l.lock.Unlock()
	return l.congested[pool]
}

// ShortOfMemory reports whether the leader says that it accepts no new job for want of memory.
func (l *Leader) ShortOfMemory() bool {
	l.lock.Lock()
	defer l.lock.Unlock()
	return l.shortOfMemory
}

// applyCongestion applies the leader's record of what is congested. The lock is held.
func (l *Leader) applyCongestion(r jaybarrow.Record) {
	l.congested, l.shortOfMemory = nil, false
	if r.Deleted {
		return
	}
	var c Congestion
	if err := json.Unmarshal(r.Value, &c); err != nil {
		l.deps.Log.Error().Err(err).Msg("cannot decode the record of congested pools; every job is admitted")
		return
	}
	if l.shortOfMemory = c.ShortOfMemory; c.ShortOfMemory {
		l.tooSmall = l.current
		l.tooSmallAt = l.deps.Clock.Now()
	}
	l.congested = make(map[jaybarrow.PoolID]bool, len(c.Pools))
	for _, id := range c.Pools {
		l.congested[id] = true
	}
}
