package fleet

import (
	"context"
	"maps"

	"github.com/jaybarrow/jaybarrow"
)

// DeleteHost deletes a host that is drained and held.
type DeleteHost struct {
	ID       jaybarrow.HostID
	Revision jaybarrow.Revision
}

// DeleteHostHandler carries out DeleteHost.
type DeleteHostHandler struct {
	records     *Records
	newChangeID func() jaybarrow.ChangeID
}

// NewDeleteHost returns a DeleteHostHandler.
func NewDeleteHost(records *Records, newChangeID func() jaybarrow.ChangeID) *DeleteHostHandler {
	return &DeleteHostHandler{records: records, newChangeID: newChangeID}
}

// Handle deletes the host and then its drain, which would otherwise count against the pool's availability budget.
func (h *DeleteHostHandler) Handle(ctx context.Context, in DeleteHost) (Changed, error) {
	if err := check(nameRule("id", in.ID)); err != nil {
		return Changed{}, err
	}
	host, err := readAt[jaybarrow.Host](ctx, h.records, jaybarrow.HostKey(in.ID), in.Revision)
	if err != nil {
		return Changed{}, err
	}
	drains, _, err := read[jaybarrow.PoolDrains](ctx, h.records, jaybarrow.DrainKey(host.Pool))
	if err != nil && !jaybarrow.IsKind(err, jaybarrow.KindNotFound) {
		return Changed{}, err
	}
	if drain, ok := drains.Drains[in.ID]; !ok || drain.Phase != jaybarrow.PhaseDrained || drain.Purpose != jaybarrow.PurposeHold {
		return Changed{}, jaybarrow.Errorf(jaybarrow.KindConflict, "host %s is not drained and held; begin a drain with purpose hold and wait for its end", in.ID)
	}
	revision, err := h.records.remove(ctx, jaybarrow.HostKey(in.ID), in.Revision)
	if err != nil {
		return Changed{}, err
	}
	return Changed{revision}, h.removeDrain(ctx, host)
}

// removeDrain removes the drain of the deleted host, and retries when the pool's drains change concurrently.
func (h *DeleteHostHandler) removeDrain(ctx context.Context, host jaybarrow.Host) error {
	key := jaybarrow.DrainKey(host.Pool)
	var lastErr error
	for range swapAttempts {
		drains, previous, err := read[jaybarrow.PoolDrains](ctx, h.records, key)
		if err == nil {
			if _, ok := drains.Drains[host.ID]; !ok {
				return nil
			}
			drains.Drains = maps.Clone(drains.Drains)
			delete(drains.Drains, host.ID)
			drains.Change = h.newChangeID()
			_, err = h.records.put(ctx, key, previous, drains)
		}
		if err == nil {
			return nil
		}
		lastErr = err
		if !jaybarrow.IsKind(err, jaybarrow.KindConflict) {
			break
		}
	}
	return jaybarrow.Errorf(jaybarrow.AsError(lastErr).Kind, "host %s is deleted, but its drain in pool %s is not; end that drain: %w",
		host.ID, host.Pool, lastErr).WithEffect(jaybarrow.EffectRan)
}
