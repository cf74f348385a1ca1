package main

import (
	"context"
	"encoding/json"
	"maps"
	"sync"

	"github.com/jaybarrow/jaybarrow"
)

// reason is the purpose of a write to an allotment, as derived from what it changes.
type reason string

const (
	reasonTake       reason = "take"   // raises the host's own grant
	reasonGive       reason = "give"   // raises another host's grant
	reasonReturn     reason = "return" // lowers the host's own grant and raises no other
	reasonMoreDemand reason = "want"   // changes the unmet demand without lowering the host's own
	reasonLessDemand reason = "less"   // lowers or removes the host's own unmet demand
	reasonFailed     reason = "failed" // conflicted, or the call failed
	reasonOther      reason = "other"
)

// reasons counts writes by reason.
type reasons struct {
	mutex  sync.Mutex
	counts map[reason]int
}

func (r *reasons) add(why reason) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.counts == nil {
		r.counts = make(map[reason]int)
	}
	r.counts[why]++
}

// takeCounts returns the counts since the last call and resets them.
func (r *reasons) takeCounts() map[reason]int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	counts := r.counts
	r.counts = nil
	return counts
}

// reason derives the reason of a write by comparing the value with the record that it replaces.
func (s *countingStore) reason(ctx context.Context, key jaybarrow.Key, previous jaybarrow.Revision, value []byte) reason {
	stored, err := s.Core.Get(ctx, key)
	if err != nil || stored.Revision != previous {
		return reasonFailed
	}
	var old, next jaybarrow.Allotment
	if json.Unmarshal(stored.Value, &old) != nil || json.Unmarshal(value, &next) != nil {
		return reasonOther
	}
	for id, g := range next.Grants {
		if id != s.entry && g.Slots > old.Grants[id].Slots {
			return reasonGive
		}
	}
	own, before := next.Grants[s.entry].Slots, old.Grants[s.entry].Slots
	switch {
	case own > before:
		return reasonTake
	case own < before:
		return reasonReturn
	case next.UnmetDemand[s.entry] < old.UnmetDemand[s.entry]:
		return reasonLessDemand
	case !maps.Equal(old.UnmetDemand, next.UnmetDemand):
		return reasonMoreDemand
	}
	return reasonOther
}
