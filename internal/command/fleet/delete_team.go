package fleet

import (
	"context"

	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/internal/limit"
)

// DeleteTeam deletes a team whose limit is 0 and in force, and that has no usable key and no open queue.
type DeleteTeam struct {
	ID       jaybarrow.TeamID
	Revision jaybarrow.Revision
}

// DeleteTeamHandler carries out DeleteTeam.
type DeleteTeamHandler struct {
	records *Records
}

// NewDeleteTeam returns a DeleteTeamHandler.
func NewDeleteTeam(records *Records) *DeleteTeamHandler { return &DeleteTeamHandler{records: records} }

// Handle deletes the team and then its allotment; with limit 0 no entry host can acquire a permit in between.
func (h *DeleteTeamHandler) Handle(ctx context.Context, in DeleteTeam) (Changed, error) {
	if err := check(nameRule("id", in.ID)); err != nil {
		return Changed{}, err
	}
	if _, err := readAt[jaybarrow.Team](ctx, h.records, jaybarrow.TeamKey(in.ID), in.Revision); err != nil {
		return Changed{}, err
	}
	if err := h.checkUnused(ctx, in.ID); err != nil {
		return Changed{}, err
	}
	revision, err := h.records.remove(ctx, jaybarrow.TeamKey(in.ID), in.Revision)
	if err != nil {
		return Changed{}, err
	}
	// A failed removal is harmless: the remaining allotment has limit 0, and a later team of this name reuses it.
	if _, allotmentRevision, err := read[jaybarrow.Allotment](ctx, h.records, jaybarrow.AllotmentKey(in.ID)); err == nil {
		_, _ = h.records.remove(ctx, jaybarrow.AllotmentKey(in.ID), allotmentRevision)
	}
	return Changed{revision}, nil
}

// checkUnused returns KindConflict while the team has a usable key, an open queue, a limit above 0 or a limit that is not in
// force.
func (h *DeleteTeamHandler) checkUnused(ctx context.Context, id jaybarrow.TeamID) error {
	if err := h.checkNoKeys(ctx, id); err != nil {
		return err
	}
	if err := h.checkNoOpenQueues(ctx, id); err != nil {
		return err
	}
	allotment, revision, err := read[jaybarrow.Allotment](ctx, h.records, jaybarrow.AllotmentKey(id))
	if jaybarrow.IsKind(err, jaybarrow.KindNotFound) {
		return nil
	}
	if err != nil {
		return err
	}
	if s := limit.Of(allotment, revision); s.Limit > 0 || !s.InForce {
		return jaybarrow.Errorf(jaybarrow.KindConflict, "team %s has limit %d and %d granted; set the limit to 0 and wait until it is in force",
			id, s.Limit, s.Granted)
	}
	return nil
}

func (h *DeleteTeamHandler) checkNoKeys(ctx context.Context, id jaybarrow.TeamID) error {
	keys, err := list[jaybarrow.AccessKey](ctx, h.records, jaybarrow.AccessKeyPrefix)
	if err != nil {
		return err
	}
	for _, k := range keys {
		if k.Team == id && !k.Withdrawn {
			return jaybarrow.Errorf(jaybarrow.KindConflict, "team %s has key %s; withdraw it first", id, k.Hash)
		}
	}
	return nil
}

// checkNoOpenQueues returns KindConflict for team public while an open queue runs its requests as that team.
func (h *DeleteTeamHandler) checkNoOpenQueues(ctx context.Context, id jaybarrow.TeamID) error {
	if id != jaybarrow.PublicTeam {
		return nil
	}
	queues, err := list[jaybarrow.Queue](ctx, h.records, jaybarrow.QueuePrefix)
	if err != nil {
		return err
	}
	for _, q := range queues {
		if q.Open {
			return jaybarrow.Errorf(jaybarrow.KindConflict, "queue %s is open and runs its requests as team %s", q.ID, id)
		}
	}
	return nil
}
