package fleet

import (
	"context"

	"github.com/jaybarrow/jaybarrow"
)

// BeginDrain starts the drain of a host for a move, a reboot or a hold.
type BeginDrain struct {
	Host    jaybarrow.HostID
	Purpose jaybarrow.DrainPurpose
	MoveTo  jaybarrow.PoolID // only for PurposeMove
}

// BeginDrainHandler carries out BeginDrain.
type BeginDrainHandler struct {
	records     *Records
	maintenance Maintenance
}

// NewBeginDrain returns a BeginDrainHandler.
func NewBeginDrain(records *Records, maintenance Maintenance) *BeginDrainHandler {
	return &BeginDrainHandler{records: records, maintenance: maintenance}
}

// Handle starts the drain; the target pool of a move must exist.
func (h *BeginDrainHandler) Handle(ctx context.Context, in BeginDrain) (Changed, error) {
	move := in.Purpose == jaybarrow.PurposeMove
	err := check(nameRule("host", in.Host),
		rule{"purpose", move || in.Purpose == jaybarrow.PurposeReboot || in.Purpose == jaybarrow.PurposeHold, "reboot, move or hold"},
		rule{"moveTo", move == (in.MoveTo != ""), "a pool for a move, and nothing for another purpose"})
	if err == nil && move {
		err = h.records.checkPoolExists(ctx, "moveTo", in.MoveTo)
	}
	if err != nil {
		return Changed{}, err
	}
	revision, err := h.maintenance.BeginDrain(ctx, in.Host, in.Purpose, in.MoveTo)
	return Changed{revision}, err
}
