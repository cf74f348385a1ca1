package fleet

import (
	"context"
	"encoding/json"

	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/internal/limit"
)

// SetLimit changes a team's limit.
type SetLimit struct {
	Team     jaybarrow.TeamID
	Limit    jaybarrow.Slots
	Revision jaybarrow.Revision // of the limit, as read
}

// SetLimitHandler carries out SetLimit.
type SetLimitHandler struct {
	records     *Records
	newChangeID func() jaybarrow.ChangeID
}

// NewSetLimit returns a SetLimitHandler.
func NewSetLimit(records *Records, newChangeID func() jaybarrow.ChangeID) *SetLimitHandler {
	return &SetLimitHandler{records: records, newChangeID: newChangeID}
}

// Handle writes the limit and says whether it is in force and which entry hosts still hold too much.
func (h *SetLimitHandler) Handle(ctx context.Context, in SetLimit) (limit.State, error) {
	err := check(named("team", in.Team), limitRule(in.Limit),
		rule{"revision", in.Revision > 0, "the revision that the limit was read at, above 0"})
	if err != nil {
		return limit.State{}, err
	}
	allotment, revision, err := setLimit(ctx, h.records, in.Team, in.Limit, in.Revision, h.newChangeID)
	if err != nil {
		return limit.State{}, err
	}
	return limit.Of(allotment, revision), nil
}

// anyLimit lets the creation of a team take over an allotment that was left behind.
const anyLimit jaybarrow.Revision = -1

// setLimit swaps the limit in the team's allotment. Entry hosts move grants in the same record, so it is read again after
// a lost race, and only a change of the limit since from is a conflict: LimitBaseRevision is then at or above from.
func setLimit(ctx context.Context, r *Records, team jaybarrow.TeamID, slots jaybarrow.Slots, from jaybarrow.Revision, newChangeID func() jaybarrow.ChangeID) (jaybarrow.Allotment, jaybarrow.Revision, error) {
	key := jaybarrow.AllotmentKey(team)
	for range swapAttempts {
		allotment, previous, err := read[jaybarrow.Allotment](ctx, r, key)
		if err != nil {
			return allotment, 0, err
		}
		if from != anyLimit && (from > previous || from <= allotment.LimitBaseRevision) {
			return allotment, 0, r.conflict(ctx, key, from, jaybarrow.EffectNotRun)
		}
		allotment.Limit, allotment.LimitBaseRevision, allotment.Change = slots, previous, newChangeID()
		revision, err := r.swapLimit(ctx, key, previous, &allotment)
		if err == nil || !jaybarrow.IsKind(err, jaybarrow.KindConflict) || jaybarrow.AsError(err).Effect != jaybarrow.EffectNotRun {
			return allotment, revision, err
		}
	}
	return jaybarrow.Allotment{}, 0, jaybarrow.Errorf(jaybarrow.KindConflict, "%s changed %d times meanwhile; the limit was not set", key, swapAttempts)
}

// swapLimit writes the allotment; after a lost answer it recognizes its write by the change id or, when grants have moved
// since, by LimitBaseRevision, which only one write can have taken from the previous revision.
func (r *Records) swapLimit(ctx context.Context, key jaybarrow.Key, previous jaybarrow.Revision, allotment *jaybarrow.Allotment) (jaybarrow.Revision, error) {
	data, err := json.Marshal(allotment)
	if err != nil {
		return 0, jaybarrow.Errorf(jaybarrow.KindInternal, "encode %s: %w", key, err)
	}
	written := func(record jaybarrow.Record) bool {
		var now jaybarrow.Allotment
		if record.Deleted || json.Unmarshal(record.Value, &now) != nil {
			return false
		}
		ours := now.Change == allotment.Change || (now.LimitBaseRevision == previous && now.Limit == allotment.Limit)
		if ours {
			*allotment = now
		}
		return ours
	}
	revision, err := r.store.CompareAndSwap(ctx, key, previous, data, 0)
	return r.outcome(ctx, key, previous, revision, err, written)
}
