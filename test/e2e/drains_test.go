package e2e

import (
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/internal/standin/store"
)

// span is a time between two moments, in nanoseconds of the wall clock; an end of 0 is open.
type interval struct{ from, to int64 }

func (s interval) contains(at int64) bool { return at > s.from && (s.to == 0 || at < s.to) }

// fleetLog replays the store's log of pools, hosts and drains.
type fleetReplay struct {
	budgets map[jaybarrow.PoolID]int
	hosts   map[jaybarrow.HostID]jaybarrow.PoolID
	drains  map[jaybarrow.PoolID]jaybarrow.PoolDrains
	// emptied holds for each host the times from "drained" to the host's return.
	emptyIntervals map[jaybarrow.HostID][]interval
	drainsStarted  int
	moves          int
	downInterval   map[jaybarrow.HostID]interval // when the platform's list certainly said that a host is down
}

// replay checks each write in order of revision: a drain that begins stays within the pool's budget, and a host changes its
// pool only by its own drained move.
func replay(changes []store.Change, downInterval map[jaybarrow.HostID]interval) (*fleetReplay, error) {
	f := &fleetReplay{
		budgets: make(map[jaybarrow.PoolID]int), hosts: make(map[jaybarrow.HostID]jaybarrow.PoolID),
		drains: make(map[jaybarrow.PoolID]jaybarrow.PoolDrains), emptyIntervals: make(map[jaybarrow.HostID][]interval), downInterval: downInterval,
	}
	for _, change := range changes {
		if err := f.applyChange(change); err != nil {
			return nil, fmt.Errorf("revision %d of %s: %w", change.Revision, change.Key, err)
		}
	}
	return f, nil
}

func (f *fleetReplay) applyChange(change store.Change) error {
	hasPrefix := func(prefix jaybarrow.Key) bool { return strings.HasPrefix(string(change.Key), string(prefix)) }
	switch {
	case hasPrefix(jaybarrow.PoolPrefix):
		var pool jaybarrow.Pool
		if err := json.Unmarshal(change.Value, &pool); err != nil {
			return err
		}
		f.budgets[pool.ID] = pool.MaxUnavailable
	case hasPrefix(jaybarrow.HostPrefix):
		var host jaybarrow.Host
		if err := json.Unmarshal(change.Value, &host); err != nil {
			return err
		}
		return f.host(host)
	case hasPrefix(jaybarrow.DrainPrefix):
		var record jaybarrow.PoolDrains
		if err := json.Unmarshal(change.Value, &record); err != nil {
			return err
		}
		return f.drain(record, change.TimeNs)
	}
	return nil
}

func (f *fleetReplay) host(host jaybarrow.Host) error {
	oldPool, known := f.hosts[host.ID]
	if _, ok := f.budgets[host.Pool]; !ok {
		return fmt.Errorf("the host is in pool %q, which does not exist", host.Pool)
	}
	f.hosts[host.ID] = host.Pool
	if !known || oldPool == host.Pool {
		return nil
	}
	d := f.drains[oldPool].Drains[host.ID]
	if d.Purpose != jaybarrow.PurposeMove || d.MoveTo != host.Pool || d.Phase != jaybarrow.PhaseDrained {
		return fmt.Errorf("the host went from pool %s to %s while its drain was %+v", oldPool, host.Pool, d)
	}
	f.moves++
	return nil
}

func (f *fleetReplay) drain(next jaybarrow.PoolDrains, at int64) error {
	before := f.drains[next.Pool]
	f.drains[next.Pool] = next
	for id, d := range next.Drains {
		if old, ok := before.Drains[id]; !ok || old.ID != d.ID {
			f.drainsStarted++
			if used := f.unavailable(next, at); used > f.budgets[next.Pool] {
				return fmt.Errorf("the drain of %s made %d hosts unavailable, budget %d", id, used, f.budgets[next.Pool])
			}
		}
	}
	for id := range f.hosts {
		f.recordEmpty(id, mustBeEmpty(before.Drains[id]), mustBeEmpty(next.Drains[id]), at)
	}
	return nil
}

func mustBeEmpty(d jaybarrow.Drain) bool {
	return d.Phase == jaybarrow.PhaseDrained || d.Phase == jaybarrow.PhaseRebooting
}

func (f *fleetReplay) recordEmpty(id jaybarrow.HostID, wasEmpty, isEmpty bool, at int64) {
	intervals := f.emptyIntervals[id]
	switch {
	case isEmpty && !wasEmpty:
		f.emptyIntervals[id] = append(intervals, interval{from: at})
	case wasEmpty && !isEmpty:
		intervals[len(intervals)-1].to = at
	}
}

// unavailable counts the hosts of the record's pool that drain or are down.
func (f *fleetReplay) unavailable(record jaybarrow.PoolDrains, at int64) int {
	count := len(record.Drains)
	for id, downInterval := range f.downInterval {
		if _, draining := record.Drains[id]; !draining && f.hosts[id] == record.Pool && downInterval.contains(at) {
			count++
		}
	}
	return count
}

// checkEmptied finds a task that started on a host after its drain was "drained" and before the host returned.
func checkDrainedHosts(l ledgers, emptyIntervals map[jaybarrow.HostID][]interval) error {
	for id, intervals := range emptyIntervals {
		for _, s := range intervals {
			for _, e := range l[id] {
				if e.StartedNs != 0 && s.contains(e.StartedNs) {
					return fmt.Errorf("task %s started on %s %s after its drain was drained", e.Task, id, time.Duration(e.StartedNs-s.from))
				}
			}
		}
	}
	return nil
}
