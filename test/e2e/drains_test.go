package e2e

import (
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/internal/standin/store"
)

// interval is an open time interval in nanoseconds of the wall clock. It has no end when to is 0.
type interval struct{ from, to int64 }

func (i interval) contains(atNs int64) bool { return atNs > i.from && (i.to == 0 || atNs < i.to) }

// fleetReplay is the state of pools, hosts and drains after a replay of the store's writes.
type fleetReplay struct {
	budgets map[jaybarrow.PoolID]int
	hosts   map[jaybarrow.HostID]jaybarrow.PoolID
	drains  map[jaybarrow.PoolID]jaybarrow.PoolDrains
	// emptyIntervals holds for each host the intervals from the end of a drain to the host's return.
	emptyIntervals map[jaybarrow.HostID][]interval
	drainsStarted  int
	moves          int
	downInterval   map[jaybarrow.HostID]interval // when the platform's list is known to have reported the host as down
}

// replay applies the writes in order of revision. It returns an error if a drain that begins exceeds the pool's budget, or if a
// host changes its pool other than by a drained move of that host.
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

// host applies a write of a host's record.
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
		return fmt.Errorf("the host moved from pool %s to %s while its drain was %+v", oldPool, host.Pool, d)
	}
	f.moves++
	return nil
}

// drain applies a write of a pool's drains.
func (f *fleetReplay) drain(record jaybarrow.PoolDrains, atNs int64) error {
	before := f.drains[record.Pool]
	f.drains[record.Pool] = record
	for id, d := range record.Drains {
		if old, ok := before.Drains[id]; !ok || old.ID != d.ID {
			f.drainsStarted++
			if used := f.unavailable(record, atNs); used > f.budgets[record.Pool] {
				return fmt.Errorf("the drain of %s made %d hosts unavailable, budget %d", id, used, f.budgets[record.Pool])
			}
		}
	}
	for id := range f.hosts {
		f.recordEmpty(id, mustBeEmpty(before.Drains[id]), mustBeEmpty(record.Drains[id]), atNs)
	}
	return nil
}

// mustBeEmpty reports whether no task may start on the host of the drain.
func mustBeEmpty(d jaybarrow.Drain) bool {
	return d.Phase == jaybarrow.PhaseDrained || d.Phase == jaybarrow.PhaseRebooting
}

// recordEmpty begins or ends an interval in which the host must be empty.
func (f *fleetReplay) recordEmpty(id jaybarrow.HostID, wasEmpty, isEmpty bool, atNs int64) {
	intervals := f.emptyIntervals[id]
	switch {
	case isEmpty && !wasEmpty:
		f.emptyIntervals[id] = append(intervals, interval{from: atNs})
	case wasEmpty && !isEmpty:
		intervals[len(intervals)-1].to = atNs
	}
}

// unavailable returns the number of hosts of the record's pool that drain or are down.
func (f *fleetReplay) unavailable(record jaybarrow.PoolDrains, atNs int64) int {
	count := len(record.Drains)
	for id, downInterval := range f.downInterval {
		if _, draining := record.Drains[id]; !draining && f.hosts[id] == record.Pool && downInterval.contains(atNs) {
			count++
		}
	}
	return count
}

// checkDrainedHosts returns an error if a task started on a host between the end of its drain and the host's return.
func checkDrainedHosts(l ledgers, emptyIntervals map[jaybarrow.HostID][]interval) error {
	for id, intervals := range emptyIntervals {
		for _, s := range intervals {
			for _, e := range l[id] {
				if e.StartedNs != 0 && s.contains(e.StartedNs) {
					return fmt.Errorf("task %s started on %s %s after the host was drained", e.Task, id, time.Duration(e.StartedNs-s.from))
				}
			}
		}
	}
	return nil
}
