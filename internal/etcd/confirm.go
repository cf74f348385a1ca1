package etcd

import (
	"context"

	"github.com/jaybarrow/jaybarrow"
)

// Outcome is the result of a read-back after a write whose answer was lost.
type Outcome string

// The outcomes.
const (
	// OutcomeWritten means that the record holds the writer's own value.
	OutcomeWritten Outcome = "written"
	// OutcomeReplaced means that the record was changed after the previous revision and does not hold the writer's value. The
	// write either was overwritten or can no longer take effect.
	OutcomeReplaced Outcome = "replaced"
	// OutcomeUnchanged means that the record is still at the previous revision. A delayed write may still take effect; another
	// compare-and-swap from the same revision is safe, because at most one of them succeeds.
	OutcomeUnchanged Outcome = "unchanged"
)

// Confirm reads a record back after a write from the previous revision had an unknown outcome, and returns the record that
// it read; it never writes. own reports whether a record holds the writer's value; it is called with Deleted set when the
// record no longer exists. A failed or stale read is KindStoreUnavailable and proves nothing about the write.
func Confirm(ctx context.Context, store jaybarrow.Store, key jaybarrow.Key, previous jaybarrow.Revision, own func(jaybarrow.Record) bool) (Outcome, jaybarrow.Record, error) {
	record, err := readBack(ctx, store, key, previous)
	switch {
	case err != nil:
		return "", record, err
	case record.Revision == previous:
		return OutcomeUnchanged, record, nil
	case own(record):
		return OutcomeWritten, record, nil
	}
	return OutcomeReplaced, record, nil
}

// readBack returns the record. For a record that does not exist it returns a deletion, at the store's revision, or at
// revision 0 if the record did not exist before the write either.
func readBack(ctx context.Context, store jaybarrow.Store, key jaybarrow.Key, previous jaybarrow.Revision) (jaybarrow.Record, error) {
	record, err := store.Get(ctx, key)
	missing := jaybarrow.IsKind(err, jaybarrow.KindNotFound)
	switch {
	case missing && previous == 0:
		return jaybarrow.Record{Key: key, Deleted: true}, nil
	case missing:
		return readDeletion(ctx, store, key, previous)
	case err != nil:
		return jaybarrow.Record{}, err
	case record.Revision < previous:
		return jaybarrow.Record{}, staleRead(key, record.Revision, previous)
	}
	return record, nil
}

// readDeletion returns the deletion of a record that Get did not find, or the record if it has been written since. It returns
// an error if the store's answer may be older than the record.
func readDeletion(ctx context.Context, store jaybarrow.Store, key jaybarrow.Key, previous jaybarrow.Revision) (jaybarrow.Record, error) {
	records, at, err := store.List(ctx, key)
	if err != nil {
		return jaybarrow.Record{}, err
	}
	if at <= previous {
		return jaybarrow.Record{}, staleRead(key, at, previous)
	}
	for _, r := range records {
		if r.Key == key {
			return r, nil
		}
	}
	return jaybarrow.Record{Key: key, Revision: at, Deleted: true}, nil
}

func staleRead(key jaybarrow.Key, got, previous jaybarrow.Revision) error {
	return jaybarrow.Errorf(jaybarrow.KindStoreUnavailable, "%s: the answer is from revision %d, no newer than %d", key, got, previous).
		WithEffect(jaybarrow.EffectNotRun)
}
