package presence

import (
	"context"
	"encoding/json"
	"fmt"

	"github.com/jaybarrow/jaybarrow"
)

// incarnationRecord is the stored record whose revision is the incarnation.
type incarnationRecord struct {
	Change jaybarrow.ChangeID `json:"change"`
}

// incarnationKey returns the key of the incarnation record; it is outside the watched prefix, because only the entry host itself
// reads it.
func incarnationKey(id jaybarrow.EntryID) jaybarrow.Key {
	return jaybarrow.LeasePrefix + "incarnation/" + jaybarrow.Key(id)
}

// acquireIncarnation writes the incarnation record. All attempts of one process carry the same change id, so that the next
// attempt recognizes a write whose answer was lost.
func (p *Presence) acquireIncarnation(ctx context.Context) error {
	key := incarnationKey(p.deps.Host.ID)
	record, err := p.deps.Store.Get(ctx, key)
	if err != nil && !jaybarrow.IsKind(err, jaybarrow.KindNotFound) {
		return err
	}
	if err == nil {
		var found incarnationRecord
		if json.Unmarshal(record.Value, &found) == nil && found.Change == p.processChange {
			p.setIncarnation(record.Revision)
			return nil
		}
	}
	value, err := json.Marshal(incarnationRecord{Change: p.processChange})
	if err != nil {
		return fmt.Errorf("encode the incarnation record: %w", err)
	}
	revision, err := p.deps.Store.CompareAndSwap(ctx, key, record.Revision, value, 0)
	if err != nil {
		return err
	}
	p.setIncarnation(revision)
	return nil
}

func (p *Presence) setIncarnation(revision jaybarrow.Revision) {
	p.state.Lock()
	defer p.state.Unlock()
	p.state.incarnation = jaybarrow.Incarnation(revision)
	p.state.registeredAt = p.deps.Clock.Now()
}

// checkFence closes the fenced channel when a newer process has written the incarnation record.
func (p *Presence) checkFence(ctx context.Context) error {
	record, err := p.deps.Store.Get(ctx, incarnationKey(p.deps.Host.ID))
	if jaybarrow.IsKind(err, jaybarrow.KindNotFound) {
		return nil
	}
	if err != nil {
		return err
	}
	if jaybarrow.Incarnation(record.Revision) > p.Incarnation() {
		p.deps.Log.Error().Str("entry", string(p.deps.Host.ID)).Msg("a newer process has registered this entry host; no more work is started")
		close(p.fenced)
	}
	return nil
}

// register writes the presence record under a new lease.
func (p *Presence) register(ctx context.Context) error {
	if err := p.checkFence(ctx); err != nil || p.isFenced() {
		return err
	}
	lease, err := p.deps.Store.GrantLease(ctx, p.deps.Settings.TTL)
	if err != nil {
		return err
	}
	revision, err := p.writePresence(ctx, lease)
	if err != nil {
		// If the write took effect nevertheless, its record would expire with this lease, which is not renewed; the next attempt
		// replaces the record.
		return err
	}
	p.state.Lock()
	defer p.state.Unlock()
	p.state.lease, p.state.revision = lease, revision
	return nil
}

// writePresence writes the presence record under the lease; it returns KindConflict when a newer process is registered.
func (p *Presence) writePresence(ctx context.Context, lease jaybarrow.LeaseID) (jaybarrow.Revision, error) {
	host := p.deps.Host
	host.Incarnation, host.Change = p.Incarnation(), p.deps.NewChange()
	value, err := json.Marshal(host)
	if err != nil {
		return 0, fmt.Errorf("encode the presence record: %w", err)
	}
	key := jaybarrow.EntryKey(host.ID)
	record, err := p.deps.Store.Get(ctx, key)
	if err != nil && !jaybarrow.IsKind(err, jaybarrow.KindNotFound) {
		return 0, err
	}
	var found jaybarrow.EntryHost
	if err == nil && json.Unmarshal(record.Value, &found) == nil && found.Incarnation > host.Incarnation {
		return 0, jaybarrow.Errorf(jaybarrow.KindConflict, "incarnation %d is registered", found.Incarnation)
	}
	revision, err := p.deps.Store.CompareAndSwap(ctx, key, record.Revision, value, lease)
	if err == nil || jaybarrow.IsKind(err, jaybarrow.KindConflict) || jaybarrow.AsError(err).Effect == jaybarrow.EffectNotRun {
		return revision, err
	}
	return p.readBack(ctx, key, host.Change, err)
}

// readBack returns the record's revision when the record carries the change id, and the cause otherwise.
func (p *Presence) readBack(ctx context.Context, key jaybarrow.Key, change jaybarrow.ChangeID, cause error) (jaybarrow.Revision, error) {
	record, err := p.deps.Store.Get(ctx, key)
	if err != nil {
		return 0, cause
	}
	var found jaybarrow.EntryHost
	if json.Unmarshal(record.Value, &found) != nil || found.Change != change {
		return 0, cause
	}
	return record.Revision, nil
}

// renew renews the lease, or registers again when it has expired.
func (p *Presence) renew(ctx context.Context) error {
	if err := p.checkFence(ctx); err != nil || p.isFenced() {
		return err
	}
	p.state.Lock()
	lease := p.state.lease
	p.state.Unlock()
	err := p.deps.Store.KeepAlive(ctx, lease)
	if jaybarrow.IsKind(err, jaybarrow.KindNotFound) {
		return p.register(ctx)
	}
	return err
}
