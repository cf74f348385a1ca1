package fleet

import (
	"context"

	"github.com/jaybarrow/jaybarrow"
)

// PublicTeamLimit is the limit of team public when the first open queue creates it: the slots of one worker, so that
// requests without a key cannot fill the fleet before an operator sets a limit.
const PublicTeamLimit jaybarrow.Slots = 8

// ensurePublicTeam creates team public if it does not exist.
func (h *PutQueueHandler) ensurePublicTeam(ctx context.Context) error {
	_, _, err := read[jaybarrow.Team](ctx, h.records, jaybarrow.TeamKey(jaybarrow.PublicTeam))
	if !jaybarrow.IsKind(err, jaybarrow.KindNotFound) {
		return err
	}
	_, err = h.putTeam.Handle(ctx, PutTeam{ID: jaybarrow.PublicTeam, Share: 1, Limit: PublicTeamLimit})
	if jaybarrow.IsKind(err, jaybarrow.KindConflict) {
		return nil // created concurrently for another open queue
	}
	return err
}
