package maintenance

import (
	"context"
	"encoding/json"
	"fmt"

	"github.com/jaybarrow/jaybarrow"
)

// maxConflicts bounds the retries of one change; more losses in a row than entry hosts and operators race at once mean that
// something else is wrong.
const maxConflicts = 20

// read decodes a record and returns its revision; an error changed nothing.
func read(ctx context.Context, store jaybarrow.Store, key jaybarrow.Key, value any) (jaybarrow.Revision, error) {
	record, err := store.Get(ctx, key)
	if err != nil {
		return 0, jaybarrow.AsError(err).WithEffect(jaybarrow.EffectNotRun)
	}
	if err := json.Unmarshal(record.Value, value); err != nil {
		return 0, jaybarrow.Errorf(jaybarrow.KindInternal, "decode %s: %w", key, err).WithEffect(jaybarrow.EffectNotRun)
	}
	return record.Revision, nil
}

// change applies decide to the pool's drains by compare-and-swap, and again to the newer record after a conflict. A write
// whose answer was lost is read back by its change id and never repeated.
func (m *Manager) change(ctx context.Context, pool jaybarrow.PoolID, decide func(jaybarrow.PoolDrains) (jaybarrow.PoolDrains, error)) (jaybarrow.Revision, error) {
	key := jaybarrow.DrainKey(pool)
	for range maxConflicts {
		var record jaybarrow.PoolDrains
		previous, err := read(ctx, m.deps.Store, key, &record)
		if err != nil && !jaybarrow.IsKind(err, jaybarrow.KindNotFound) {
			return 0, err
		}
		next, err := decide(record)
		if err != nil {
			return 0, err
		}
		next.Change = m.deps.NewChange()
		revision, err := m.write(ctx, key, previous, next)
		if !jaybarrow.IsKind(err, jaybarrow.KindConflict) {
			return revision, err
		}
	}
	return 0, jaybarrow.Errorf(jaybarrow.KindConflict, "%s keeps changing", key)
}

func (m *Manager) write(ctx context.Context, key jaybarrow.Key, previous jaybarrow.Revision, next jaybarrow.PoolDrains) (jaybarrow.Revision, error) {
	value, err := json.Marshal(next)
	if err != nil {
		return 0, fmt.Errorf("encode %s: %w", key, err)
	}
	revision, err := m.deps.Store.CompareAndSwap(ctx, key, previous, value, 0)
	if err == nil || jaybarrow.AsError(err).Effect != jaybarrow.EffectMayHaveRun {
		return revision, err
	}
	var found jaybarrow.PoolDrains
	at, readErr := read(ctx, m.deps.Store, key, &found)
	if readErr == nil && found.Change == next.Change {
		return at, nil
	}
	return 0, err
}

// moveHost changes the pool in the host's record, if it is still in the pool from.
func (m *Manager) moveHost(ctx context.Context, id jaybarrow.HostID, from, to jaybarrow.PoolID) error {
	var host jaybarrow.Host
	previous, err := read(ctx, m.deps.Store, jaybarrow.HostKey(id), &host)
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
