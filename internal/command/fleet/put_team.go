package fleet

import (
	"context"

	"github.com/jaybarrow/jaybarrow"
)

// PutTeam creates a team with its limit, or changes its share.
type PutTeam struct {
	ID       jaybarrow.TeamID
	Share    jaybarrow.Share
	Limit    jaybarrow.Slots    // only for a new team; SetLimit changes it later
	Revision jaybarrow.Revision // 0 when the team must not exist
}

// PutTeamHandler carries out PutTeam.
type PutTeamHandler struct {
	records     *Records
	newChangeID func() jaybarrow.ChangeID
}

// NewPutTeam returns a PutTeamHandler.
func NewPutTeam(records *Records, newChangeID func() jaybarrow.ChangeID) *PutTeamHandler {
	return &PutTeamHandler{records: records, newChangeID: newChangeID}
}

// Handle writes the team; the allotment of a new team is written first, so that no team is ever without one.
func (h *PutTeamHandler) Handle(ctx context.Context, in PutTeam) (Changed, error) {
	err := check(nameRule("id", in.ID), shareRule(in.Share), limitRule(in.Limit), revisionRule(in.Revision),
		rule{"limit", in.Revision == 0 || in.Limit == 0, "none for a team that exists; its limit is changed on its own"})
	if err != nil {
		return Changed{}, err
	}
	if in.Revision == 0 {
		return h.create(ctx, in)
	}
	revision, err := h.records.put(ctx, jaybarrow.TeamKey(in.ID), in.Revision, jaybarrow.Team{ID: in.ID, Share: in.Share})
	return Changed{revision}, err
}

// create writes the allotment, then the team. When the allotment exists already, from an interrupted creation or deletion or a
// concurrent creation, its limit is set only after this creation has written the team's record.
func (h *PutTeamHandler) create(ctx context.Context, in PutTeam) (Changed, error) {
	teamRecord, err := h.records.getOrAbsent(ctx, jaybarrow.TeamKey(in.ID))
	if err != nil {
		return Changed{}, readError(err)
	}
	if !teamRecord.Deleted {
		return Changed{}, h.records.conflictError(ctx, jaybarrow.TeamKey(in.ID), 0, jaybarrow.EffectNotRun)
	}
	// LimitBaseRevision is the store's current revision, so that a change of the limit that was based on an earlier team of this
	// name is a conflict.
	allotment := jaybarrow.Allotment{
		Team: in.ID, Limit: in.Limit, LimitBaseRevision: teamRecord.Revision, Grants: map[jaybarrow.EntryID]jaybarrow.Grant{}, Change: h.newChangeID(),
	}
	_, err = h.records.put(ctx, jaybarrow.AllotmentKey(in.ID), 0, allotment)
	allotmentExists := jaybarrow.IsKind(err, jaybarrow.KindConflict)
	if err != nil && !allotmentExists {
		return Changed{}, err
	}
	revision, err := h.records.put(ctx, jaybarrow.TeamKey(in.ID), 0, jaybarrow.Team{ID: in.ID, Share: in.Share})
	if err != nil || !allotmentExists {
		return Changed{revision}, err
	}
	if _, _, err = setLimit(ctx, h.records, in.ID, in.Limit, anyRevision, h.newChangeID); err != nil {
		e := jaybarrow.AsError(err)
		err = jaybarrow.Errorf(e.Kind, "team %s is created, but its limit is not set; set it: %w", in.ID, err).WithEffect(jaybarrow.EffectRan)
	}
	return Changed{revision}, err
}
