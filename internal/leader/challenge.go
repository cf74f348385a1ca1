package leader

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"time"

	"github.com/jaybarrow/jaybarrow"
)

// A takeover interrupts scheduling for some hundred milliseconds, so a leader resigns only to an entry host whose handicap is lower by
// at least minHandicapDifference and minHandicapFactor.
const (
	minHandicapDifference = 200 * time.Millisecond
	minHandicapFactor     = 2
)

// challengeRecord is the content of the record in which an entry host asks the leader to resign.
type challengeRecord struct {
	Entry      jaybarrow.EntryID `json:"entry"`
	HandicapMs int64             `json:"handicapMs"`
}

// outrankedBy reports whether a holder should resign to an entry host with the handicap in milliseconds.
func (h Holder) outrankedBy(handicapMs int64) bool {
	return h.HandicapMs >= minHandicapFactor*handicapMs && h.HandicapMs-handicapMs >= minHandicapDifference.Milliseconds()
}

// awaitVacancy waits until the holder changes or ctx ends, and meanwhile challenges a holder that is less suited for the lead.
func (l *Leader) awaitVacancy(ctx context.Context, changed <-chan struct{}) {
	var due <-chan time.Time
	if holder, held := l.Holder(); held && holder.outrankedBy(l.deps.Self.HandicapMs) {
		due = l.deps.Clock.After(l.deps.Settings.ChallengeDelay + rand.N(l.deps.Settings.ChallengeDelay+1))
	}
	for {
		select {
		case <-ctx.Done():
			return
		case <-changed:
			return
		case <-due:
			l.challenge(ctx)
			due = l.deps.Clock.After(l.deps.Settings.ChallengeInterval)
		}
	}
}

// challenge asks the leader to resign. A challenge that is lost or that another entry host has made already is of no consequence.
func (l *Leader) challenge(ctx context.Context) {
	d := l.deps
	value, err := json.Marshal(challengeRecord{Entry: d.Self.Entry, HandicapMs: d.Self.HandicapMs})
	if err != nil {
		d.Log.Error().Err(err).Msg("cannot encode a challenge; the leader stays")
		return
	}
	_, err = callWithTimeout(ctx, d.Settings.CallTimeout, func(ctx context.Context) (jaybarrow.Revision, error) {
		lease, err := d.Store.GrantLease(ctx, d.Settings.Lease)
		if err != nil {
			return 0, err
		}
		return d.Store.Commit(ctx, jaybarrow.Commit{
			Expect: []jaybarrow.Expectation{{Key: jaybarrow.JobChallengeKey}},
			Puts:   []jaybarrow.Put{{Key: jaybarrow.JobChallengeKey, Value: value, Lease: lease}},
		})
	})
	d.Log.Info().Err(err).Int64("handicapMs", d.Self.HandicapMs).Msg("asks the leader to resign")
}

// answerChallenge ends the running term if the challenger is better suited for the lead. The lock is held.
func (l *Leader) answerChallenge(value []byte) {
	var c challengeRecord
	if err := json.Unmarshal(value, &c); err != nil {
		l.deps.Log.Error().Err(err).Msg("cannot decode a challenge; the lead is kept")
		return
	}
	if l.deps.Self.outrankedBy(c.HandicapMs) {
		l.resign("entry host " + string(c.Entry) + " is better suited for the lead")
	}
}

// setResign sets the function that ends the running term; nil without one.
func (l *Leader) setResign(resign func(reason string)) {
	l.lock.Lock()
	defer l.lock.Unlock()
	l.resign = resign
}
