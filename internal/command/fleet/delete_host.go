package fleet

import (
	"context"
	"maps"

	"github.com/jaybarrow/jaybarrow"
)

// DeleteHost deletes a drained host.
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

// Handle deletes the host and then its drain, which would otherwise go on spending the pool's budget.
func (h *DeleteHostHandler) Handle(ctx context.Context, in DeleteHost) (Changed, error) {
	if err := check(named("id", in.ID)); err != nil {
		return Changed{}, err
	}
	host, err := readFrom[jaybarrow.Host](ctx, h.records, jaybarrow.HostKey(in.ID), in.Revision)
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
	return Changed{revision}, h.forget(ctx, host)
}

// forget removes the deleted host's drain.
func (h *DeleteHostHandler) forget(ctx context.Context, host jaybarrow.Host) error {
	key := jaybarrow.DrainKey(host.Pool)
	var last error
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
		last = err
		if !jaybarrow.IsKind(err, jaybarrow.KindConflict) {
			break
		}
	}
	return jaybarrow.Errorf(jaybarrow.AsError(last).Kind, "host %s is deleted, but its drain in pool %s is not; end that drain: %w",
		host.ID, host.Pool, last).WithEffect(jaybarrow.EffectRan)
}
