package fleetkeeper

import (
	"context"
	"encoding/json"
	"time"

	"github.com/jaybarrow/jaybarrow"
)

// fleetRecord is what is stored before orders are given.
type fleetRecord struct {
	Ordered []jaybarrow.HostID `json:"ordered"` // hosts with an order within the last Quiet
}

// inherit reads which hosts the previous leader gave orders for lately; they are left alone for a while. It reports false when
// ctx has ended.
func (k *Keeper) inherit(ctx context.Context) bool {
	for {
		record, err := k.readOrders(ctx)
		if err == nil {
			k.state.quiet(record.Ordered, k.deps.Clock.Now().Add(k.deps.Settings.Quiet))
			return true
		}
		if ctx.Err() == nil {
			k.deps.Log.Warn().Err(err).Msg("the previous orders for hosts cannot be read")
		}
		if !k.sleep(ctx, k.deps.Settings.Interval) {
			return false
		}
	}
}

func (k *Keeper) readOrders(ctx context.Context) (fleetRecord, error) {
	limited, cancel := context.WithTimeout(ctx, k.deps.Settings.Call)
	defer cancel()
	var record fleetRecord
	r, err := k.deps.Store.Get(limited, jaybarrow.JobFleetKey)
	if jaybarrow.IsKind(err, jaybarrow.KindNotFound) {
		return record, nil
	}
	if err != nil {
		return record, err
	}
	return record, json.Unmarshal(r.Value, &record)
}

// storeOrders writes the hosts of the planned orders and of the recent ones, on condition that this entry host still leads.
func (k *Keeper) storeOrders(ctx context.Context, planned []plannedOrder) error {
	limited, cancel := context.WithTimeout(ctx, k.deps.Settings.Store)
	defer cancel()
	now := k.deps.Clock.Now()
	var record fleetRecord
	for _, p := range planned {
		k.state.remember(p.host.ID, now)
	}
	record.Ordered = k.state.recent(now.Add(-k.deps.Settings.Quiet))
	value, err := json.Marshal(record)
	if err != nil {
		return err
	}
	_, err = k.deps.Store.Commit(limited, jaybarrow.Commit{
		Expect: []jaybarrow.Expectation{{Key: jaybarrow.JobLeaderKey, Revision: k.deps.Term.Revision}},
		Puts:   []jaybarrow.Put{{Key: jaybarrow.JobFleetKey, Value: value}},
	})
	return err
}

// quiet leaves hosts alone until the time; an own successor leaves them alone for as long.
func (s *state) quiet(hosts []jaybarrow.HostID, until time.Time) {
	s.lock.Lock()
	defer s.lock.Unlock()
	for _, id := range hosts {
		s.quietUntil[id] = until
		s.ordered[id] = until
	}
}

func (s *state) remember(host jaybarrow.HostID, now time.Time) {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.ordered[host] = now
}

// recent returns the hosts with an order after the time, and forgets the others.
func (s *state) recent(after time.Time) []jaybarrow.HostID {
	s.lock.Lock()
	defer s.lock.Unlock()
	var out []jaybarrow.HostID
	for id, at := range s.ordered {
		if at.Before(after) {
			delete(s.ordered, id)
			continue
		}
		out = append(out, id)
	}
	return out
}
