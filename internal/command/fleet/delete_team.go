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

// Handle deletes the team and then its allotment; with limit 0 no entry host can take a permit in between.
func (h *DeleteTeamHandler) Handle(ctx context.Context, in DeleteTeam) (Changed, error) {
	if err := check(named("id", in.ID)); err != nil {
		return Changed{}, err
	}
	if _, err := readFrom[jaybarrow.Team](ctx, h.records, jaybarrow.TeamKey(in.ID), in.Revision); err != nil {
		return Changed{}, err
	}
	if err := h.unused(ctx, in.ID); err != nil {
		return Changed{}, err
	}
	revision, err := h.records.remove(ctx, jaybarrow.TeamKey(in.ID), in.Revision)
	if err != nil {
		return Changed{}, err
	}
	// An allotment that stays behind has limit 0 and is taken over by the next team of this name.
	if _, left, err := read[jaybarrow.Allotment](ctx, h.records, jaybarrow.AllotmentKey(in.ID)); err == nil {
		_, _ = h.records.remove(ctx, jaybarrow.AllotmentKey(in.ID), left)
	}
	return Changed{revision}, nil
}

func (h *DeleteTeamHandler) unused(ctx context.Context, id jaybarrow.TeamID) error {
	if err := h.noKeys(ctx, id); err != nil {
		return err
	}
	if err := h.noOpenQueues(ctx, id); err != nil {
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

func (h *DeleteTeamHandler) noKeys(ctx context.Context, id jaybarrow.TeamID) error {
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

func (h *DeleteTeamHandler) noOpenQueues(ctx context.Context, id jaybarrow.TeamID) error {
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
