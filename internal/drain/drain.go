package drain

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/jaybarrow/jaybarrow"
)

// Host is a host of the pool, as far as the decisions depend on it.
type Host struct {
	ID         jaybarrow.HostID
	Rack       jaybarrow.RackID
	DataCentre jaybarrow.DataCentreID
	Down       bool // down, leaving or gone, according to the platform's list
}

// View is a pool with its hosts.
type View struct {
	Pool  jaybarrow.Pool
	Hosts []Host
}

func (v View) host(id jaybarrow.HostID) (Host, bool) {
	i := slices.IndexFunc(v.Hosts, func(h Host) bool { return h.ID == id })
	if i < 0 {
		return Host{}, false
	}
	return v.Hosts[i], true
}

// Unavailable returns the number of hosts other than except that are draining or down. A drain counts even when its host is not
// in the view, since the view may be older than the record.
func Unavailable(record jaybarrow.PoolDrains, view View, except jaybarrow.HostID) int {
	count := len(record.Drains)
	if _, ok := record.Drains[except]; ok {
		count--
	}
	for _, h := range view.Hosts {
		if _, draining := record.Drains[h.ID]; h.Down && !draining && h.ID != except {
			count++
		}
	}
	return count
}

// Begin adds a drain if the pool's availability budget allows one more unavailable host, or returns KindBudgetSpent. A host that
// is down already does not count twice.
func Begin(record jaybarrow.PoolDrains, view View, d jaybarrow.Drain, now time.Time) (jaybarrow.PoolDrains, error) {
	h, ok := view.host(d.Host)
	if !ok {
		return record, jaybarrow.Errorf(jaybarrow.KindNotFound, "host %s is not in pool %s", d.Host, view.Pool.ID)
	}
	if existing, ok := record.Drains[d.Host]; ok {
		return record, jaybarrow.Errorf(jaybarrow.KindConflict, "host %s is already %s for %s", d.Host, existing.Phase, existing.Purpose)
	}
	if unavailable := Unavailable(record, view, d.Host); unavailable+1 > view.Pool.MaxUnavailable {
		return record, jaybarrow.Errorf(jaybarrow.KindBudgetSpent, "%d hosts of pool %s are draining or down and its budget is %d",
			unavailable, view.Pool.ID, view.Pool.MaxUnavailable)
	}
	next := copyRecord(record, view.Pool.ID)
	d.Rack, d.Phase, d.StartedMs, d.PhaseMs = h.Rack, jaybarrow.PhaseDraining, now.UnixMilli(), now.UnixMilli()
	next.Drains[d.Host] = d
	next.Pending = slices.DeleteFunc(next.Pending, func(id jaybarrow.HostID) bool {
		return id == d.Host && d.Purpose == jaybarrow.PurposeReboot
	})
	return next.PoolDrains, nil
}

// checkUnchanged returns KindConflict unless the record has the drain that was seen in the same phase, because a driver with a
// stale copy of the record must not change a later drain of the same host.
func checkUnchanged(record jaybarrow.PoolDrains, seen jaybarrow.Drain) error {
	if d, ok := record.Drains[seen.Host]; !ok || d.ID != seen.ID || d.Phase != seen.Phase {
		return jaybarrow.Errorf(jaybarrow.KindConflict, "the drain of host %s is no longer %s", seen.Host, seen.Phase)
	}
	return nil
}

// Advance sets the phase of a drain, and counts a move that is complete; it returns KindConflict when the drain has changed since
// it was seen.
func Advance(record jaybarrow.PoolDrains, seen jaybarrow.Drain, to jaybarrow.DrainPhase, now time.Time) (jaybarrow.PoolDrains, error) {
	if err := checkUnchanged(record, seen); err != nil {
		return record, err
	}
	next := copyRecord(record, record.Pool)
	d := record.Drains[seen.Host]
	d.Phase, d.PhaseMs = to, now.UnixMilli()
	next.Drains[seen.Host] = d
	if d.Purpose == jaybarrow.PurposeMove && seen.Phase == jaybarrow.PhaseDrained && to == jaybarrow.PhaseReturning {
		next.Moves++
	}
	return next.PoolDrains, nil
}

// Cancel returns a host to service before the drain has met its purpose. A reboot under way cannot be cancelled, which is
// KindConflict.
func Cancel(record jaybarrow.PoolDrains, host jaybarrow.HostID, now time.Time) (jaybarrow.PoolDrains, error) {
	d, ok := record.Drains[host]
	switch {
	case !ok:
		return record, jaybarrow.Errorf(jaybarrow.KindNotFound, "host %s is not draining", host)
	case d.Phase == jaybarrow.PhaseRebooting:
		return record, jaybarrow.Errorf(jaybarrow.KindConflict, "host %s is rebooting and returns by itself", host)
	}
	next := copyRecord(record, record.Pool)
	d.Phase, d.PhaseMs, d.Purpose, d.MoveTo = jaybarrow.PhaseReturning, now.UnixMilli(), jaybarrow.PurposeHold, ""
	next.Drains[host] = d
	return next.PoolDrains, nil
}

// Remove removes a drain whose worker accepts work again, and ends the wave when this was its last host; it returns KindConflict
// when the drain has changed since it was seen.
func Remove(record jaybarrow.PoolDrains, seen jaybarrow.Drain, now time.Time) (jaybarrow.PoolDrains, error) {
	if err := checkUnchanged(record, seen); err != nil {
		return record, err
	}
	next := copyRecord(record, record.Pool)
	delete(next.Drains, seen.Host)
	if seen.Wave {
		next.endWaveIfDone(now)
	}
	return next.PoolDrains, nil
}

// BeginWave plans a reboot of every host of the pool, or returns KindConflict while a wave is running.
func BeginWave(record jaybarrow.PoolDrains, view View, now time.Time) (jaybarrow.PoolDrains, error) {
	if waveRunning(record) {
		return record, jaybarrow.Errorf(jaybarrow.KindConflict, "a wave over pool %s is running", view.Pool.ID)
	}
	next := copyRecord(record, view.Pool.ID)
	for _, h := range sortedByRack(view.Hosts) {
		next.Pending = append(next.Pending, h.ID)
	}
	next.WaveStartedMs, next.WaveEndedMs = now.UnixMilli(), 0
	next.endWaveIfDone(now)
	return next.PoolDrains, nil
}

// PruneWave removes the hosts from the wave that are not in the pool any more, and reports whether there were any.
func PruneWave(record jaybarrow.PoolDrains, view View, now time.Time) (next jaybarrow.PoolDrains, changed bool) {
	c := copyRecord(record, view.Pool.ID)
	c.Pending = slices.DeleteFunc(c.Pending, func(id jaybarrow.HostID) bool {
		_, ok := view.host(id)
		return !ok
	})
	c.endWaveIfDone(now)
	return c.PoolDrains, len(c.Pending) != len(record.Pending)
}

// NextOfWave returns the next host of the wave in the data centre that may begin to drain now, or false when there is none. The
// wave drains one rack of the pool at a time, so that few hosts of other racks are unavailable if a rack fails during the wave.
// A rack that has hosts down goes first.
func NextOfWave(record jaybarrow.PoolDrains, view View, dataCentre jaybarrow.DataCentreID) (jaybarrow.HostID, bool) {
	if Unavailable(record, view, "")+1 > view.Pool.MaxUnavailable {
		return "", false
	}
	inProgress, withDownHosts := make(map[jaybarrow.RackID]bool), make(map[jaybarrow.RackID]bool)
	for _, h := range view.Hosts {
		inProgress[h.Rack] = inProgress[h.Rack] || record.Drains[h.ID].Wave
		withDownHosts[h.Rack] = withDownHosts[h.Rack] || h.Down
	}
	var eligible []Host
	for _, h := range sortedByRack(view.Hosts) {
		if h.DataCentre == dataCentre && !h.Down && slices.Contains(record.Pending, h.ID) {
			eligible = append(eligible, h)
		}
	}
	if anyRack(inProgress) {
		return firstInRacks(eligible, inProgress)
	}
	if id, ok := firstInRacks(eligible, withDownHosts); ok {
		return id, true
	}
	if len(eligible) == 0 {
		return "", false
	}
	return eligible[0].ID, true
}

// anyRack reports whether the set contains any rack.
func anyRack(racks map[jaybarrow.RackID]bool) bool {
	for _, in := range racks {
		if in {
			return true
		}
	}
	return false
}

// firstInRacks returns the first of the hosts that is in one of the racks.
func firstInRacks(hosts []Host, racks map[jaybarrow.RackID]bool) (jaybarrow.HostID, bool) {
	i := slices.IndexFunc(hosts, func(h Host) bool { return racks[h.Rack] })
	if i < 0 {
		return "", false
	}
	return hosts[i].ID, true
}

// sortedByRack returns the hosts in the order of their racks, and of their ids within a rack.
func sortedByRack(hosts []Host) []Host {
	ordered := slices.Clone(hosts)
	slices.SortFunc(ordered, func(a, b Host) int {
		if c := strings.Compare(string(a.Rack), string(b.Rack)); c != 0 {
			return c
		}
		return strings.Compare(string(a.ID), string(b.ID))
	})
	return ordered
}

func waveRunning(record jaybarrow.PoolDrains) bool {
	return record.WaveStartedMs != 0 && record.WaveEndedMs == 0
}

// recordCopy is a copy of a record that can be changed without changing the original.
type recordCopy struct{ jaybarrow.PoolDrains }

// copyRecord returns a copy of the record with its pool set.
func copyRecord(record jaybarrow.PoolDrains, pool jaybarrow.PoolID) recordCopy {
	record.Pool = pool
	record.Drains = maps.Clone(record.Drains)
	if record.Drains == nil {
		record.Drains = make(map[jaybarrow.HostID]jaybarrow.Drain)
	}
	record.Pending = slices.Clone(record.Pending)
	return recordCopy{record}
}

// endWaveIfDone records the end of a wave that has no host pending or draining.
func (c *recordCopy) endWaveIfDone(now time.Time) {
	if !waveRunning(c.PoolDrains) || len(c.Pending) > 0 {
		return
	}
	for _, d := range c.Drains {
		if d.Wave {
			return
		}
	}
	c.WaveEndedMs = now.UnixMilli()
}
