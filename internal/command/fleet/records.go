package fleet

import (
	"bytes"
	"context"
	"encoding/json"
	"time"

	"github.com/jaybarrow/jaybarrow"
)

// Changed is the result of a change.
type Changed struct {
	Revision jaybarrow.Revision `json:"revision"`
}

// Records reads and writes single records, and determines the outcome of a write whose response was lost.
type Records struct {
	clock jaybarrow.Clock
	store jaybarrow.Store
}

// NewRecords returns Records on the store.
func NewRecords(clock jaybarrow.Clock, store jaybarrow.Store) *Records {
	return &Records{clock: clock, store: store}
}

const (
	// readBackAttempts and readBackPause bound how long an operator waits for the outcome of a write whose response was lost: a
	// short outage of the store is waited for, a long one is reported.
	readBackAttempts = 4
	readBackPause    = 250 * time.Millisecond
	// swapAttempts bounds the attempts of a change that conflicts only with unrelated changes of the same record.
	swapAttempts = 16
)

// put writes the value if the record's revision is previous; 0 means that the record must not exist.
func (r *Records) put(ctx context.Context, key jaybarrow.Key, previous jaybarrow.Revision, value any) (jaybarrow.Revision, error) {
	data, err := json.Marshal(value)
	if err != nil {
		return 0, jaybarrow.Errorf(jaybarrow.KindInternal, "encode %s: %w", key, err)
	}
	isWritten := func(record jaybarrow.Record) bool { return !record.Deleted && bytes.Equal(record.Value, data) }
	revision, err := r.store.CompareAndSwap(ctx, key, previous, data, 0)
	return r.resolveOutcome(ctx, key, previous, revision, err, isWritten)
}

// remove deletes the record if its revision is previous.
func (r *Records) remove(ctx context.Context, key jaybarrow.Key, previous jaybarrow.Revision) (jaybarrow.Revision, error) {
	if previous <= 0 {
		return 0, invalidField("revision", "the revision that the record was read at, above 0")
	}
	isWritten := func(record jaybarrow.Record) bool { return record.Deleted }
	revision, err := r.store.Delete(ctx, key, previous)
	return r.resolveOutcome(ctx, key, previous, revision, err, isWritten)
}

// resolveOutcome returns the definite outcome of a write, which it reads back when err leaves the outcome open. isWritten
// reports whether a record is the one that the write leaves.
func (r *Records) resolveOutcome(ctx context.Context, key jaybarrow.Key, previous, revision jaybarrow.Revision, err error, isWritten func(jaybarrow.Record) bool) (jaybarrow.Revision, error) {
	switch {
	case err == nil:
		return revision, nil
	case jaybarrow.IsKind(err, jaybarrow.KindConflict):
		return 0, r.conflictError(ctx, key, previous, jaybarrow.EffectNotRun)
	case jaybarrow.AsError(err).Effect == jaybarrow.EffectNotRun:
		return 0, err
	}
	return r.readBack(ctx, key, previous, err, isWritten)
}

// readBack determines whether a write whose response was lost took effect; it never repeats the write.
func (r *Records) readBack(ctx context.Context, key jaybarrow.Key, previous jaybarrow.Revision, writeErr error, isWritten func(jaybarrow.Record) bool) (jaybarrow.Revision, error) {
	for attempt := range readBackAttempts {
		if attempt > 0 && !r.pause(ctx) {
			break
		}
		record, err := r.getOrAbsent(ctx, key)
		switch {
		case err != nil:
			continue
		case record.Revision <= previous || (record.Deleted && previous == 0):
			// The write may still be in flight, or a replica that lags behind may have answered the read, so the outcome is still
			// open.
			continue
		case isWritten(record):
			return record.Revision, nil
		default:
			return 0, r.conflictError(ctx, key, previous, jaybarrow.EffectMayHaveRun)
		}
	}
	return 0, unknownOutcome(key, previous, writeErr)
}

// unknownOutcome returns the error of a write whose outcome could not be determined.
func unknownOutcome(key jaybarrow.Key, previous jaybarrow.Revision, writeErr error) error {
	return jaybarrow.Errorf(jaybarrow.KindStoreUnavailable,
		"the outcome of the write of %s is unknown; the same change made from revision %d again takes effect at most once: %w",
		key, previous, writeErr).WithEffect(jaybarrow.EffectMayHaveRun)
}

// pause waits for readBackPause; it reports false when ctx ends first.
func (r *Records) pause(ctx context.Context) bool {
	select {
	case <-ctx.Done():
		return false
	case <-r.clock.After(readBackPause):
		return true
	}
}

// getOrAbsent returns the record, or a record that is Deleted and has the store's revision when there is none.
func (r *Records) getOrAbsent(ctx context.Context, key jaybarrow.Key) (jaybarrow.Record, error) {
	record, err := r.store.Get(ctx, key)
	if !jaybarrow.IsKind(err, jaybarrow.KindNotFound) {
		return record, err
	}
	list, revision, err := r.store.List(ctx, key)
	if err != nil {
		return record, err
	}
	for _, listed := range list {
		if listed.Key == key {
			return listed, nil
		}
	}
	return jaybarrow.Record{Key: key, Revision: revision, Deleted: true}, nil
}

// conflictError returns a KindConflict error with the current revision of the record.
func (r *Records) conflictError(ctx context.Context, key jaybarrow.Key, previous jaybarrow.Revision, effect jaybarrow.Effect) error {
	record, err := r.getOrAbsent(ctx, key)
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

// read returns a decoded record and its revision.
func read[V any](ctx context.Context, r *Records, key jaybarrow.Key) (V, jaybarrow.Revision, error) {
	var value V
	record, err := r.store.Get(ctx, key)
	if err != nil {
		return value, 0, readError(err)
	}
	if err := json.Unmarshal(record.Value, &value); err != nil {
		return value, 0, jaybarrow.Errorf(jaybarrow.KindInternal, "decode %s: %w", key, err).WithEffect(jaybarrow.EffectNotRun)
	}
	return value, record.Revision, nil
}

// readAt returns a decoded record, or KindConflict when the record is not at revision previous.
func readAt[V any](ctx context.Context, r *Records, key jaybarrow.Key, previous jaybarrow.Revision) (V, error) {
	value, revision, err := read[V](ctx, r, key)
	if err == nil && revision != previous {
		err = r.conflictError(ctx, key, previous, jaybarrow.EffectNotRun)
	}
	return value, err
}

// list returns all decoded records below the prefix.
func list[V any](ctx context.Context, r *Records, prefix jaybarrow.Key) ([]V, error) {
	records, _, err := r.store.List(ctx, prefix)
	if err != nil {
		return nil, readError(err)
	}
	values := make([]V, len(records))
	for i, record := range records {
		if err := json.Unmarshal(record.Value, &values[i]); err != nil {
			return nil, jaybarrow.Errorf(jaybarrow.KindInternal, "decode %s: %w", record.Key, err).WithEffect(jaybarrow.EffectNotRun)
		}
	}
	return values, nil
}

// readError returns err with EffectNotRun, since a read changes nothing; the default effect of the error's kind is that of a
// failed write.
func readError(err error) error {
	return jaybarrow.AsError(err).WithEffect(jaybarrow.EffectNotRun)
}
