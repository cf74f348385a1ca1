package fleet

import (
	"context"

	"github.com/jaybarrow/jaybarrow"
)

// SetShare changes a team's share.
type SetShare struct {
	Team     jaybarrow.TeamID
	Share    jaybarrow.Share
	Revision jaybarrow.Revision // of the team's record
}

// SetShareHandler carries out SetShare.
type SetShareHandler struct {
	records *Records
}

// NewSetShare returns a SetShareHandler.
func NewSetShare(records *Records) *SetShareHandler { return &SetShareHandler{records: records} }

// Handle writes the share.
func (h *SetShareHandler) Handle(ctx context.Context, in SetShare) (Changed, error) {
	if err := check(nameRule("team", in.Team), shareRule(in.Share)); err != nil {
		return Changed{}, err
	}
	team, err := readAt[jaybarrow.Team](ctx, h.records, jaybarrow.TeamKey(in.Team), in.Revision)
	if err != nil {
		return Changed{}, err
	}
	team.Share = in.Share
	revision, err := h.records.put(ctx, jaybarrow.TeamKey(in.Team), in.Revision, team)
	return Changed{revision}, err
}
