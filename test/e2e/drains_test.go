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
type span struct{ from, to int64 }

func (s span) holds(at int64) bool { return at > s.from && (s.to == 0 || at < s.to) }

// fleetLog replays the store's log of pools, hosts and drains.
type fleetLog struct {
	budgets map[jaybarrow.PoolID]int
	hosts   map[jaybarrow.HostID]jaybarrow.PoolID
	drains  map[jaybarrow.PoolID]jaybarrow.PoolDrains
	// emptied holds for each host the times from "drained" to the host's return.
	emptied map[jaybarrow.HostID][]span
	begun   int
	moved   int
	down    map[jaybarrow.HostID]span // when the platform's list certainly said that a host is down
}

// replay checks each write in order of revision: a drain that begins stays within the pool's budget, and a host changes its
// pool only by its own drained move.
func replay(changes []store.Change, down map[jaybarrow.HostID]span) (*fleetLog, error) {
	f := &fleetLog{
		budgets: make(map[jaybarrow.PoolID]int), hosts: make(map[jaybarrow.HostID]jaybarrow.PoolID),
		drains: make(map[jaybarrow.PoolID]jaybarrow.PoolDrains), emptied: make(map[jaybarrow.HostID][]span), down: down,
	}
	for _, change := range changes {
		if err := f.apply(change); err != nil {
			return nil, fmt.Errorf("revision %d of %s: %w", change.Revision, change.Key, err)
		}
	}
	return f, nil
}

func (f *fleetLog) apply(change store.Change) error {
	has := func(prefix jaybarrow.Key) bool { return strings.HasPrefix(string(change.Key), string(prefix)) }
	switch {
	case has(jaybarrow.PoolPrefix):
		var pool jaybarrow.Pool
		if err := json.Unmarshal(change.Value, &pool); err != nil {
			return err
		}
		f.budgets[pool.ID] = pool.MaxUnavailable
	case has(jaybarrow.HostPrefix):
		var host jaybarrow.Host
		if err := json.Unmarshal(change.Value, &host); err != nil {
			return err
		}
		return f.host(host)
	case has(jaybarrow.DrainPrefix):
		var record jaybarrow.PoolDrains
		if err := json.Unmarshal(change.Value, &record); err != nil {
			return err
		}
		return f.drain(record, change.TimeNs)
	}
	return nil
}

func (f *fleetLog) host(host jaybarrow.Host) error {
	before, known := f.hosts[host.ID]
	if _, ok := f.budgets[host.Pool]; !ok {
		return fmt.Errorf("the host is in pool %q, which does not exist", host.Pool)
	}
	f.hosts[host.ID] = host.Pool
	if !known || before == host.Pool {
		return nil
	}
	d := f.drains[before].Drains[host.ID]
	if d.Purpose != jaybarrow.PurposeMove || d.MoveTo != host.Pool || d.Phase != jaybarrow.PhaseDrained {
		return fmt.Errorf("the host went from pool %s to %s while its drain was %+v", before, host.Pool, d)
	}
	f.moved++
	return nil
}

func (f *fleetLog) drain(next jaybarrow.PoolDrains, at int64) error {
	before := f.drains[next.Pool]
	f.drains[next.Pool] = next
	for id, d := range next.Drains {
		if old, ok := before.Drains[id]; !ok || old.ID != d.ID {
			f.begun++
			if used := f.unavailable(next, at); used > f.budgets[next.Pool] {
				return fmt.Errorf("the drain of %s made %d hosts unavailable, budget %d", id, used, f.budgets[next.Pool])
			}
		}
	}
	for id := range f.hosts {
		f.noteEmptied(id, holdsEmpty(before.Drains[id]), holdsEmpty(next.Drains[id]), at)
	}
	return nil
}

func holdsEmpty(d jaybarrow.Drain) bool {
	return d.Phase == jaybarrow.PhaseDrained || d.Phase == jaybarrow.PhaseRebooting
}

func (f *fleetLog) noteEmptied(id jaybarrow.HostID, before, now bool, at int64) {
	spans := f.emptied[id]
	switch {
	case now && !before:
		f.emptied[id] = append(spans, span{from: at})
	case before && !now:
		spans[len(spans)-1].to = at
	}
}

// unavailable counts the hosts of the record's pool that drain or are down.
func (f *fleetLog) unavailable(record jaybarrow.PoolDrains, at int64) int {
	count := len(record.Drains)
	for id, down := range f.down {
		if _, draining := record.Drains[id]; !draining && f.hosts[id] == record.Pool && down.holds(at) {
			count++
		}
	}
	return count
}

// checkEmptied finds a task that started on a host after its drain was "drained" and before the host returned.
func checkEmptied(l ledgers, emptied map[jaybarrow.HostID][]span) error {
	for id, spans := range emptied {
		for _, s := range spans {
			for _, e := range l[id] {
				if e.StartedNs != 0 && s.holds(e.StartedNs) {
					return fmt.Errorf("task %s started on %s %s after its drain was drained", e.Task, id, time.Duration(e.StartedNs-s.from))
				}
			}
		}
	}
	return nil
}
