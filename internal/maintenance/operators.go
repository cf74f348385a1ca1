package maintenance

import (
	"context"

	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/internal/drain"
)

// BeginDrain begins to drain the host, or returns KindBudgetSpent when its pool's budget does not allow it; moveTo is only for
// PurposeMove.
func (m *Manager) BeginDrain(ctx context.Context, id jaybarrow.HostID, purpose jaybarrow.DrainPurpose, moveTo jaybarrow.PoolID) (jaybarrow.Revision, error) {
	var host jaybarrow.Host
	if _, err := readRecord(ctx, m.deps.Store, jaybarrow.HostKey(id), &host); err != nil {
		return 0, err
	}
	d := jaybarrow.Drain{Host: id, Purpose: purpose, MoveTo: moveTo}
	return m.beginDrain(ctx, host.Pool, d, "an operator asked for "+string(purpose))
}

// BeginMove begins to drain the host for a move to another pool. It returns KindConflict when the host is not in the pool from
// any more, and KindBudgetSpent when that pool's budget does not allow the drain.
func (m *Manager) BeginMove(ctx context.Context, id jaybarrow.HostID, from, to jaybarrow.PoolID, reason string) (jaybarrow.Revision, error) {
	var host jaybarrow.Host
	if _, err := readRecord(ctx, m.deps.Store, jaybarrow.HostKey(id), &host); err != nil {
		return 0, err
	}
	if host.Pool != from {
		return 0, jaybarrow.Errorf(jaybarrow.KindConflict, "host %s is in pool %s, not %s", id, host.Pool, from)
	}
	return m.beginDrain(ctx, from, jaybarrow.Drain{Host: id, Purpose: jaybarrow.PurposeMove, MoveTo: to}, reason)
}

func (m *Manager) beginDrain(ctx context.Context, pool jaybarrow.PoolID, d jaybarrow.Drain, reason string) (jaybarrow.Revision, error) {
	view, err := m.view(ctx, pool)
	if err != nil {
		return 0, err
	}
	revision, err := m.updateDrains(ctx, pool, func(record jaybarrow.PoolDrains) (jaybarrow.PoolDrains, error) {
		d.ID = m.deps.NewChange()
		return drain.Begin(record, view, d, m.deps.Clock.Now())
	})
	if err != nil {
		return 0, err
	}
	m.recordDecision(jaybarrow.SubjectHost, string(d.Host), "drain begun", reason)
	return revision, nil
}

// EndDrain cancels the drain of the host and returns the host to service.
func (m *Manager) EndDrain(ctx context.Context, id jaybarrow.HostID) (jaybarrow.Revision, error) {
	var host jaybarrow.Host
	if _, err := readRecord(ctx, m.deps.Store, jaybarrow.HostKey(id), &host); err != nil {
		return 0, err
	}
	revision, err := m.updateDrains(ctx, host.Pool, func(record jaybarrow.PoolDrains) (jaybarrow.PoolDrains, error) {
		return drain.Cancel(record, id, m.deps.Clock.Now())
	})
	if err == nil {
		m.recordDecision(jaybarrow.SubjectHost, string(id), "drain cancelled", "an operator asked for it")
	}
	return revision, err
}

// BeginWave plans a reboot of every host of the pool, one rack at a time within the pool's budget.
func (m *Manager) BeginWave(ctx context.Context, pool jaybarrow.PoolID) (jaybarrow.Revision, error) {
	view, err := m.view(ctx, pool)
	if err != nil {
		return 0, err
	}
	revision, err := m.updateDrains(ctx, pool, func(record jaybarrow.PoolDrains) (jaybarrow.PoolDrains, error) {
		return drain.BeginWave(record, view, m.deps.Clock.Now())
	})
	if err == nil {
		m.recordDecision(jaybarrow.SubjectPool, string(pool), "wave begun", "an operator asked for it")
	}
	return revision, err
}
