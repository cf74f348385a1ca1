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
	Revision jaybarrow.Revision // at which the limit was read
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

// Handle writes the limit and returns whether it is in force and which entry hosts still hold too many permits.
func (h *SetLimitHandler) Handle(ctx context.Context, in SetLimit) (limit.State, error) {
	err := check(nameRule("team", in.Team), limitRule(in.Limit),
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

// anyRevision makes setLimit accept any previous change of the limit, for the creation of a team that reuses an allotment.
const anyRevision jaybarrow.Revision = -1

// setLimit writes the limit to the team's allotment. Entry hosts move grants in the same record, so a conflicting write is
// retried from the new record. Only a change of the limit since baseRevision is a conflict for the caller; LimitBaseRevision is
// then at or above baseRevision.
func setLimit(ctx context.Context, r *Records, team jaybarrow.TeamID, slots jaybarrow.Slots, baseRevision jaybarrow.Revision, newChangeID func() jaybarrow.ChangeID) (jaybarrow.Allotment, jaybarrow.Revision, error) {
	key := jaybarrow.AllotmentKey(team)
	for range swapAttempts {
		allotment, previous, err := read[jaybarrow.Allotment](ctx, r, key)
		if err != nil {
			return allotment, 0, err
		}
		if baseRevision != anyRevision && (baseRevision > previous || baseRevision <= allotment.LimitBaseRevision) {
			return allotment, 0, r.conflictError(ctx, key, baseRevision, jaybarrow.EffectNotRun)
		}
		allotment.Limit, allotment.LimitBaseRevision, allotment.Change = slots, previous, newChangeID()
		revision, err := r.swapLimit(ctx, key, previous, &allotment)
		if err == nil || !jaybarrow.IsKind(err, jaybarrow.KindConflict) || jaybarrow.AsError(err).Effect != jaybarrow.EffectNotRun {
			return allotment, revision, err
		}
	}
	return jaybarrow.Allotment{}, 0, jaybarrow.Errorf(jaybarrow.KindConflict, "%s changed %d times meanwhile; the limit was not set", key, swapAttempts)
}

// swapLimit writes the allotment. After a lost response it recognizes its write by the change id or, when grants have moved
// since, by LimitBaseRevision, since only one write can replace the previous revision. *allotment is then the stored one.
func (r *Records) swapLimit(ctx context.Context, key jaybarrow.Key, previous jaybarrow.Revision, allotment *jaybarrow.Allotment) (jaybarrow.Revision, error) {
	data, err := json.Marshal(allotment)
	if err != nil {
		return 0, jaybarrow.Errorf(jaybarrow.KindInternal, "encode %s: %w", key, err)
	}
	isWritten := func(record jaybarrow.Record) bool {
		var stored jaybarrow.Allotment
		if record.Deleted || json.Unmarshal(record.Value, &stored) != nil {
			return false
		}
		ours := stored.Change == allotment.Change || (stored.LimitBaseRevision == previous && stored.Limit == allotment.Limit)
		if ours {
			*allotment = stored
		}
		return ours
	}
	revision, err := r.store.CompareAndSwap(ctx, key, previous, data, 0)
	return r.resolveOutcome(ctx, key, previous, revision, err, isWritten)
}
