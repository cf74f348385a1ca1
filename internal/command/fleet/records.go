package fleet

import (
	"bytes"
	"context"
	"encoding/json"
	"time"

	"github.com/jaybarrow/jaybarrow"
)

// Changed is the answer to a change.
type Changed struct {
	Revision jaybarrow.Revision `json:"revision"`
}

// Records writes single records and finds out what became of a write whose answer was lost.
type Records struct {
	clock jaybarrow.Clock
	store jaybarrow.Store
}

// NewRecords returns Records on the store.
func NewRecords(clock jaybarrow.Clock, store jaybarrow.Store) *Records {
	return &Records{clock: clock, store: store}
}

const (
	// readBackAttempts and readBackPause bound how long an operator waits to learn the outcome of a lost write; a short
	// outage of the store is bridged, a long one is reported.
	readBackAttempts = 4
	readBackPause    = 250 * time.Millisecond
	// swapAttempts bounds the retries of a change that only meets other parts' changes of the same record.
	swapAttempts = 16
)

// put writes the value if the record's revision is previous; 0 means that there must be no record.
func (r *Records) put(ctx context.Context, key jaybarrow.Key, previous jaybarrow.Revision, value any) (jaybarrow.Revision, error) {
	data, err := json.Marshal(value)
	if err != nil {
		return 0, jaybarrow.Errorf(jaybarrow.KindInternal, "encode %s: %w", key, err)
	}
	written := func(record jaybarrow.Record) bool { return !record.Deleted && bytes.Equal(record.Value, data) }
	revision, err := r.store.CompareAndSwap(ctx, key, previous, data, 0)
	return r.outcome(ctx, key, previous, revision, err, written)
}

// remove deletes the record if its revision is previous.
func (r *Records) remove(ctx context.Context, key jaybarrow.Key, previous jaybarrow.Revision) (jaybarrow.Revision, error) {
	if previous <= 0 {
		return 0, invalid("revision", "the revision that the record was read at, above 0")
	}
	written := func(record jaybarrow.Record) bool { return record.Deleted }
	revision, err := r.store.Delete(ctx, key, previous)
	return r.outcome(ctx, key, previous, revision, err, written)
}

// outcome turns the result of a write into a definite answer where the store allows one.
func (r *Records) outcome(ctx context.Context, key jaybarrow.Key, previous, revision jaybarrow.Revision, err error, written func(jaybarrow.Record) bool) (jaybarrow.Revision, error) {
	switch {
	case err == nil:
		return revision, nil
	case jaybarrow.IsKind(err, jaybarrow.KindConflict):
		return 0, r.conflict(ctx, key, previous, jaybarrow.EffectNotRun)
	case jaybarrow.AsError(err).Effect == jaybarrow.EffectNotRun:
		return 0, err
	}
	return r.readBack(ctx, key, previous, err, written)
}

// readBack finds out whether a write with a lost answer took effect; it never writes again.
func (r *Records) readBack(ctx context.Context, key jaybarrow.Key, previous jaybarrow.Revision, lost error, written func(jaybarrow.Record) bool) (jaybarrow.Revision, error) {
	for attempt := range readBackAttempts {
		if attempt > 0 && !r.pause(ctx) {
			break
		}
		record, err := r.current(ctx, key)
		switch {
		case err != nil:
			continue
		case record.Revision <= previous || (record.Deleted && previous == 0):
			// The write may still be on its way, or the store may answer from an older replica, so this is not yet a definite
			// answer.
			continue
		case written(record):
			return record.Revision, nil
		default:
			return 0, r.conflict(ctx, key, previous, jaybarrow.EffectMayHaveRun)
		}
	}
	return 0, unknownOutcome(key, previous, lost)
}

func unknownOutcome(key jaybarrow.Key, previous jaybarrow.Revision, lost error) error {
	return jaybarrow.Errorf(jaybarrow.KindStoreUnavailable,
		"the outcome of the write of %s is unknown; the same change made from revision %d again takes effect at most once: %w",
		key, previous, lost).WithEffect(jaybarrow.EffectMayHaveRun)
}

// pause waits between two reads; false when ctx ended.
func (r *Records) pause(ctx context.Context) bool {
	select {
	case <-ctx.Done():
		return false
	case <-r.clock.After(readBackPause):
		return true
	}
}

// current returns the record; an absent one is Deleted, with the store's revision.
func (r *Records) current(ctx context.Context, key jaybarrow.Key) (jaybarrow.Record, error) {
	record, err := r.store.Get(ctx, key)
	if !jaybarrow.IsKind(err, jaybarrow.KindNotFound) {
		return record, err
	}
	list, revision, err := r.store.List(ctx, key)
	if err != nil {
		return record, err
	}
	for _, present := range list {
		if present.Key == key {
			return present, nil
		}
	}
	return jaybarrow.Record{Key: key, Revision: revision, Deleted: true}, nil
}

// conflict says at which revision the record is now.
func (r *Records) conflict(ctx context.Context, key jaybarrow.Key, previous jaybarrow.Revision, effect jaybarrow.Effect) error {
	record, err := r.current(ctx, key)
	switch {
	case err != nil:
		return jaybarrow.Errorf(jaybarrow.KindConflict, "%s is no longer at revision %d; its current revision could not be read: %w",
			key, previous, err).WithEffect(effect)
	case record.Deleted:
		return jaybarrow.Errorf(jaybarrow.KindConflict, "%s does not exist; the change was made from revision %d", key, previous).WithEffect(effect)
	}
	return jaybarrow.Errorf(jaybarrow.KindConflict, "%s is at revision %d; the change was made from revision %d",
		key, record.Revision, previous).WithEffect(effect)
}

// read decodes a record and returns its revision.
func read[V any](ctx context.Context, r *Records, key jaybarrow.Key) (V, jaybarrow.Revision, error) {
	var value V
	record, err := r.store.Get(ctx, key)
	if err != nil {
		return value, 0, readFault(err)
	}
	if err := json.Unmarshal(record.Value, &value); err != nil {
		return value, 0, jaybarrow.Errorf(jaybarrow.KindInternal, "decode %s: %w", key, err).WithEffect(jaybarrow.EffectNotRun)
	}
	return value, record.Revision, nil
}

// readFrom is read, with KindConflict when the record is not at the revision that a change was made from.
func readFrom[V any](ctx context.Context, r *Records, key jaybarrow.Key, previous jaybarrow.Revision) (V, error) {
	value, revision, err := read[V](ctx, r, key)
	if err == nil && revision != previous {
		err = r.conflict(ctx, key, previous, jaybarrow.EffectNotRun)
	}
	return value, err
}

// list decodes all records below the prefix.
func list[V any](ctx context.Context, r *Records, prefix jaybarrow.Key) ([]V, error) {
	records, _, err := r.store.List(ctx, prefix)
	if err != nil {
		return nil, readFault(err)
	}
	values := make([]V, len(records))
	for i, record := range records {
		if err := json.Unmarshal(record.Value, &values[i]); err != nil {
			return nil, jaybarrow.Errorf(jaybarrow.KindInternal, "decode %s: %w", record.Key, err).WithEffect(jaybarrow.EffectNotRun)
		}
	}
	return values, nil
}

// readFault marks a failed read: it changed nothing, whatever the table says of a failed write.
func readFault(err error) error {
	return jaybarrow.AsError(err).WithEffect(jaybarrow.EffectNotRun)
}
