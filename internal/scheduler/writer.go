package scheduler

import (
	"context"
	"encoding/json"
	"errors"

	"github.com/rs/zerolog"

	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/internal/hedge"
	"github.com/jaybarrow/jaybarrow/internal/workload"
)

// writer writes one pool's records in an order that a lost or late write cannot break: each write also replaces the pool's
// sequence record and expects the one before, and the leader's record must be the own one.
type writer struct {
	clock    jaybarrow.Clock
	log      zerolog.Logger
	store    jaybarrow.JobStore
	settings Settings
	leader   jaybarrow.Revision
	key      jaybarrow.Key
	previous jaybarrow.Revision // of the sequence record; 0: there is none
	number   int64
}

// sequence is the value of a sequence record.
type sequence struct {
	Leader jaybarrow.Revision `json:"leader"`
	Number int64              `json:"number"`
}

// errDeposed means that the leader's record is not the own one any more.
var errDeposed = errors.New("another scheduler leads")

// entriesBesideRecords are the two conditions and the sequence record of each write.
const entriesBesideRecords = 3

// write stores the records, whatever it takes, until ctx ends or another scheduler leads.
func (w *writer) write(ctx context.Context, records []workload.Stored) error {
	const most = jaybarrow.MaxCommitEntries - entriesBesideRecords
	for len(records) > 0 {
		n := min(most, len(records))
		puts := make([]jaybarrow.Put, 0, n+1)
		for _, r := range records[:n] {
			value, err := r.Record.Encode()
			if err != nil {
				return err
			}
			puts = append(puts, jaybarrow.Put{Key: jaybarrow.JobStateKey(r.Job), Value: value})
		}
		if err := w.commit(ctx, puts); err != nil {
			return err
		}
		records = records[n:]
	}
	return nil
}

// commit repeats one write until it has certainly taken effect.
func (w *writer) commit(ctx context.Context, puts []jaybarrow.Put) error {
	w.number++
	value, err := json.Marshal(sequence{Leader: w.leader, Number: w.number})
	if err != nil {
		return err
	}
	puts = append(puts, jaybarrow.Put{Key: w.key, Value: value})
	for failures := 0; ; failures++ {
		err := w.try(ctx, puts)
		if err == nil || errors.Is(err, errDeposed) || ctx.Err() != nil {
			return err
		}
		if errors.Is(err, errRepeat) {
			continue
		}
		if failures == 0 {
			w.log.Warn().Err(err).Str("key", string(w.key)).Int("records", len(puts)-1).Msg("write failed; trying again")
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-w.clock.After(w.settings.CommitRetry << min(failures, 3)):
		}
	}
}

// try makes one attempt; an error other than errDeposed means that it must be repeated.
func (w *writer) try(ctx context.Context, puts []jaybarrow.Put) error {
	changes := jaybarrow.Commit{
		Expect: []jaybarrow.Expectation{
			{Key: jaybarrow.JobLeaderKey, Revision: w.leader}, {Key: w.key, Revision: w.previous},
		},
		Puts: puts,
	}
	revision, err := hedge.Do(ctx, w.clock, w.settings.Commit, func(ctx context.Context) (jaybarrow.Revision, error) {
		return w.store.Commit(ctx, changes)
	}, func(err error) bool { return jaybarrow.IsKind(err, jaybarrow.KindConflict) })
	if err == nil {
		w.previous = revision
		return nil
	}
	var conflict *jaybarrow.ConflictError
	if !errors.As(err, &conflict) {
		return err
	}
	return w.resolve(conflict)
}

// errRepeat means that the sequence record was another one than expected.
var errRepeat = errors.New("the sequence record has changed")

// resolve finds out from the current records whether an earlier attempt took effect.
func (w *writer) resolve(conflict *jaybarrow.ConflictError) error {
	found := jaybarrow.Revision(0)
	leads := false
	for _, r := range conflict.Current {
		switch r.Key {
		case jaybarrow.JobLeaderKey:
			leads = r.Revision == w.leader
		case w.key:
			found = r.Revision
			var s sequence
			if err := json.Unmarshal(r.Value, &s); err != nil {
				w.log.Error().Err(err).Str("key", string(w.key)).Msg("the sequence record cannot be read")
				continue
			}
			if s.Leader == w.leader && s.Number == w.number {
				w.previous = r.Revision
				return nil
			}
		}
	}
	if !leads {
		return errDeposed
	}
	w.previous = found
	return errRepeat
}
