package maintenance

import (
	"context"
	"encoding/json"
	"fmt"

	"github.com/jaybarrow/jaybarrow"
)

// maxConflicts limits the attempts of one change. It is more than the entry hosts and operators that can race at once, so
// that many conflicts in a row indicate another fault.
const maxConflicts = 20

// readRecord decodes the record into value and returns its revision; its errors have EffectNotRun.
func readRecord(ctx context.Context, store jaybarrow.Store, key jaybarrow.Key, value any) (jaybarrow.Revision, error) {
	record, err := store.Get(ctx, key)
	if err != nil {
		return 0, jaybarrow.AsError(err).WithEffect(jaybarrow.EffectNotRun)
	}
	if err := json.Unmarshal(record.Value, value); err != nil {
		return 0, jaybarrow.Errorf(jaybarrow.KindInternal, "decode %s: %w", key, err).WithEffect(jaybarrow.EffectNotRun)
	}
	return record.Revision, nil
}

// updateDrains applies decide to the pool's drains and writes the result by compare-and-swap; after a conflict it applies decide
// to the newer record.
func (m *Manager) updateDrains(ctx context.Context, pool jaybarrow.PoolID, decide func(jaybarrow.PoolDrains) (jaybarrow.PoolDrains, error)) (jaybarrow.Revision, error) {
	key := jaybarrow.DrainKey(pool)
	for range maxConflicts {
		var record jaybarrow.PoolDrains
		previous, err := readRecord(ctx, m.deps.Store, key, &record)
		if err != nil && !jaybarrow.IsKind(err, jaybarrow.KindNotFound) {
			return 0, err
		}
		next, err := decide(record)
		if err != nil {
			return 0, err
		}
		next.Change = m.deps.NewChange()
		revision, err := m.writeDrains(ctx, key, previous, next)
		if !jaybarrow.IsKind(err, jaybarrow.KindConflict) {
			return revision, err
		}
	}
	return 0, jaybarrow.Errorf(jaybarrow.KindConflict, "%s keeps changing", key)
}

// writeDrains writes the record by compare-and-swap. When the answer of the store was lost, it does not repeat the write but
// reads the record back, and takes the write as done if the record has its change id.
func (m *Manager) writeDrains(ctx context.Context, key jaybarrow.Key, previous jaybarrow.Revision, next jaybarrow.PoolDrains) (jaybarrow.Revision, error) {
	value, err := json.Marshal(next)
	if err != nil {
		return 0, fmt.Errorf("encode %s: %w", key, err)
	}
	revision, err := m.deps.Store.CompareAndSwap(ctx, key, previous, value, 0)
	if err == nil || jaybarrow.AsError(err).Effect != jaybarrow.EffectMayHaveRun {
		return revision, err
	}
	var found jaybarrow.PoolDrains
	foundRevision, readErr := readRecord(ctx, m.deps.Store, key, &found)
	if readErr == nil && found.Change == next.Change {
		return foundRevision, nil
	}
	return 0, err
}

// moveHost changes the pool in the host's record; it returns KindConflict when the host is in neither of the two pools.
func (m *Manager) moveHost(ctx context.Context, id jaybarrow.HostID, from, to jaybarrow.PoolID) error {
	var host jaybarrow.Host
	previous, err := readRecord(ctx, m.deps.Store, jaybarrow.HostKey(id), &host)
	if err != nil {
		return err
	}
	if host.Pool == to {
		return nil
	}
	if host.Pool != from {
		return jaybarrow.Errorf(jaybarrow.KindConflict, "host %s is in pool %s, not %s", id, host.Pool, from)
	}
	host.Pool = to
	value, err := json.Marshal(host)
	if err != nil {
		return fmt.Errorf("encode host %s: %w", id, err)
	}
	_, err = m.deps.Store.CompareAndSwap(ctx, jaybarrow.HostKey(id), previous, value, 0)
	return err
}
