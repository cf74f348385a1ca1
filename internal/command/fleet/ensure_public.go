package fleet

import (
	"context"

	"github.com/jaybarrow/jaybarrow"
)

// PublicTeamLimit is the limit of team public when the first open queue creates it: the slots of one worker, so that
// unkeyed work cannot fill a fleet before an operator has chosen a limit.
const PublicTeamLimit jaybarrow.Slots = 8

// ensurePublic creates team public if it does not exist.
func (h *PutQueueHandler) ensurePublic(ctx context.Context) error {
	_, _, err := read[jaybarrow.Team](ctx, h.records, jaybarrow.TeamKey(jaybarrow.PublicTeam))
	if !jaybarrow.IsKind(err, jaybarrow.KindNotFound) {
		return err
	}
	_, err = h.putTeam.Handle(ctx, PutTeam{ID: jaybarrow.PublicTeam, Share: 1, Limit: PublicTeamLimit})
	if jaybarrow.IsKind(err, jaybarrow.KindConflict) {
		return nil // created meanwhile by another operator's open queue
	}
	return err
}
