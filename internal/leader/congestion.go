package leader

import (
	"encoding/json"

	"github.com/jaybarrow/jaybarrow"
)

// Congestion is the record in which the leader names the pools that may refuse jobs. Entry hosts ask the leader about jobs of these pools
// only, so that a calm fleet pays nothing for admission.
type Congestion struct {
	Pools []jaybarrow.PoolID `json:"pools"`
}

// Congested reports whether the leader named the pool as one that may refuse jobs.
func (l *Leader) Congested(pool jaybarrow.PoolID) bool {
	l.lock.Lock()
	defer l.lock.Unlock()
	return l.congested[pool]
}

// applyCongestion applies the leader's record of congested pools. The lock is held.
func (l *Leader) applyCongestion(r jaybarrow.Record) {
	l.congested = nil
	if r.Deleted {
		return
	}
	var c Congestion
	if err := json.Unmarshal(r.Value, &c); err != nil {
		l.deps.Log.Error().Err(err).Msg("cannot decode the record of congested pools; every job is admitted")
		return
	}
	l.congested = make(map[jaybarrow.PoolID]bool, len(c.Pools))
	for _, id := range c.Pools {
		l.congested[id] = true
	}
}
