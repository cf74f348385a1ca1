package fleet

import (
	"context"

	"github.com/jaybarrow/jaybarrow"
)

// Maintenance begins and ends drains, and begins maintenance waves; every step is a compare-and-swap on the pool's drains.
type Maintenance interface {
	// BeginDrain starts the drain of the host; moveTo is set only for PurposeMove.
	BeginDrain(ctx context.Context, host jaybarrow.HostID, purpose jaybarrow.DrainPurpose, moveTo jaybarrow.PoolID) (jaybarrow.Revision, error)
	// EndDrain returns the host to service.
	EndDrain(ctx context.Context, host jaybarrow.HostID) (jaybarrow.Revision, error)
	// BeginWave requests a reboot of every host of the pool, one rack at a time within the pool's availability budget.
	BeginWave(ctx context.Context, pool jaybarrow.PoolID) (jaybarrow.Revision, error)
}
