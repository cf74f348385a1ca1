package leader

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"time"

	"github.com/jaybarrow/jaybarrow"
)

// A takeover interrupts scheduling for some hundred milliseconds, so a leader resigns only to an entry host whose campaign delay is
// shorter by at least minDelayDifference and minDelayFactor.
const (
	minDelayDifference = 200 * time.Millisecond
	minDelayFactor     = 2
)

// challengeRecord is the content of the record in which an entry host asks the leader to resign.
type challengeRecord struct {
	Entry           jaybarrow.EntryID `json:"entry"`
	CampaignDelayMs int64             `json:"campaignDelayMs"`
	MemoryMb        int64             `json:"memoryMb,omitempty"` // of the host; 0 when it is unknown
}

// minMemoryFactor is how many times the memory of a leader that is short of it a host has which should lead instead.
const minMemoryFactor = 1.25

// relieves reports whether a host with the memory should lead in place of the holder, which is short of it.
func (h Holder) relieves(memoryMb int64) bool {
	return h.MemoryMb > 0 && float64(memoryMb) >= minMemoryFactor*float64(h.MemoryMb)
}

// isTooSmall reports whether a leader that was short of memory lately had about as much as this entry host.
func (l *Leader) isTooSmall() bool {
	l.lock.Lock()
	defer l.lock.Unlock()
	return l.tooSmall.MemoryMb > 0 && l.deps.Clock.Now().Sub(l.tooSmallAt) < l.deps.Settings.MemoryLookback &&
		!l.tooSmall.relieves(l.deps.Self.MemoryMb)
}

// shouldLead reports whether this entry host should lead in place of the holder.
func (l *Leader) shouldLead(holder Holder) bool {
	return holder.yieldsTo(l.deps.Self.CampaignDelayMs) || l.ShortOfMemory() && holder.relieves(l.deps.Self.MemoryMb)
}

// yieldsTo reports whether a holder should resign to an entry host with the campaign delay in milliseconds.
func (h Holder) yieldsTo(campaignDelayMs int64) bool {
	return h.CampaignDelayMs >= minDelayFactor*campaignDelayMs &&
		h.CampaignDelayMs-campaignDelayMs >= minDelayDifference.Milliseconds()
}

// awaitVacancy waits until the holder or its shortage of memory changes or ctx ends, and meanwhile challenges a holder that should yield to
// this entry host.
func (l *Leader) awaitVacancy(ctx context.Context, changed <-chan struct{}) {
	for {
		var due <-chan time.Time
		if holder, held := l.Holder(); held && l.shouldLead(holder) {
			delay := l.deps.Settings.ChallengeDelay + rand.N(l.deps.Settings.ChallengeDelay+1)
			due = l.deps.Clock.After(max(delay, l.nextChallenge.Sub(l.deps.Clock.Now())))
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
			return
		case <-due:
			l.nextChallenge = l.deps.Clock.Now().Add(l.challengePause)
			l.challenge(ctx)
		}
	}
}

// backOffChallenges delays the next challenge after a term that this entry host resigned. A host that can write to the store may still be
// unable to schedule, and must not take the lead again and again from one that can.
func (l *Leader) backOffChallenges() {
	l.challengePause = min(2*l.challengePause, l.deps.Settings.MaxChallengeInterval)
	l.nextChallenge = l.deps.Clock.Now().Add(l.challengePause)
}

// challenge asks the leader to resign. A challenge that is lost or that another entry host has made already is of no consequence.
func (l *Leader) challenge(ctx context.Context) {
	d := l.deps
	value, err := json.Marshal(challengeRecord{Entry: d.Self.Entry, CampaignDelayMs: d.Self.CampaignDelayMs, MemoryMb: d.Self.MemoryMb})
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
	if err != nil {
		d.Log.Info().Err(err).Msg("cannot challenge the leader; trying again later")
		return
	}
	d.Log.Info().Int64("campaignDelayMs", d.Self.CampaignDelayMs).Msg("asks the leader to resign")
}

// answerChallenge ends the running term if the challenger takes over much faster, or has the memory that this entry host lacks. The lock is held.
func (l *Leader) answerChallenge(value []byte) {
	var c challengeRecord
	if err := json.Unmarshal(value, &c); err != nil {
		l.deps.Log.Error().Err(err).Msg("cannot decode a challenge; the lead is kept")
		return
	}
	switch {
	case l.deps.Self.yieldsTo(c.CampaignDelayMs):
		l.resign("entry host " + string(c.Entry) + " has a faster link or more cores")
	case l.shortOfMemory && l.deps.Self.relieves(c.MemoryMb):
		l.resign("entry host " + string(c.Entry) + " has more memory")
	}
}

// setResign sets the function that ends the running term; nil without one.
func (l *Leader) setResign(resign func(reason string)) {
	l.lock.Lock()
	defer l.lock.Unlock()
	l.resign = resign
}
