package leader

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"

	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/internal/boottime"
	"github.com/jaybarrow/jaybarrow/internal/follow"
	"github.com/jaybarrow/jaybarrow/internal/notify"
)

// Holder is the content of the leader's record: the entry host that leads.
type Holder struct {
	Entry   jaybarrow.EntryID  `json:"entry"`
	Address jaybarrow.Address  `json:"address"` // of its peer server
	Change  jaybarrow.ChangeID `json:"change"`  // identifies a write whose answer was lost
	Lease   jaybarrow.LeaseID  `json:"lease"`   // lease of the record
	// CampaignDelayMs is the delay before a campaign that follows from the host's cores and link; a host with a shorter one takes over
	// faster.
	CampaignDelayMs int64 `json:"campaignDelayMs,omitempty"`
	MemoryMb        int64 `json:"memoryMb,omitempty"` // of the host; 0 when it is unknown
}

// Replaces reports whether h has the entry id and address of other. Two processes cannot listen at one address, so the process of
// other has ended when that of h runs.
func (h Holder) Replaces(other Holder) bool {
	return h.Entry == other.Entry && h.Address == other.Address
}

// Deps are what a Leader depends on.
type Deps struct {
	Clock     jaybarrow.Clock
	Log       zerolog.Logger
	Store     jaybarrow.JobStore
	Self      Holder
	NewChange func() jaybarrow.ChangeID
	Settings  Settings
	// Eligible reports whether this entry host knows all that a leader decides on. While it does not, it does not campaign.
	Eligible func() bool
	// Lead acts as leader for a term and returns once ctx has ended.
	Lead func(ctx context.Context, term Term)
}

// Leader campaigns for leadership and tracks the current leader.
type Leader struct {
	deps    Deps
	group   conc.WaitGroup
	cancel  context.CancelFunc
	changed *notify.Notifier
	started time.Time

	lock      sync.Mutex
	known     bool                      // whether the record has been read
	held      bool                      // whether an entry host leads
	congested map[jaybarrow.PoolID]bool // pools that may refuse jobs
	// shortOfMemory is whether the present leader says that it is; tooSmall is the last one that did, and tooSmallAt when it did.
	shortOfMemory bool
	tooSmall      Holder
	tooSmallAt    time.Time
	current       Holder
	resign        func(reason string) // ends the running term; nil without one

	// These are used by the campaign only.
	nextChallenge  time.Time     // before it no leader is challenged
	challengePause time.Duration // after a challenge; doubles with each term that this entry host resigned
}

// New returns a Leader that campaigns until it is closed.
func New(d Deps) *Leader {
	ctx, cancel := context.WithCancel(context.Background())
	d.Self.CampaignDelayMs, d.Self.MemoryMb = d.Settings.campaignDelay(0).Milliseconds(), d.Settings.MemoryMb
	l := &Leader{
		deps: d, cancel: cancel, changed: notify.New(), started: d.Clock.Now(), challengePause: d.Settings.ChallengeInterval,
	}
	l.group.Go(func() {
		follow.Run(ctx, follow.Deps{Clock: d.Clock, Log: d.Log, Settings: d.Settings.Follow}, follow.Source[jaybarrow.Record]{
			Name: "leader",
			List: func(ctx context.Context, after jaybarrow.Key) (jaybarrow.Page[jaybarrow.Record], error) {
				return d.Store.ListPage(ctx, jaybarrow.JobLeaderKey, after)
			},
			Changes: func(ctx context.Context, after jaybarrow.Revision, wait time.Duration) ([]jaybarrow.Record, jaybarrow.Revision, error) {
				return d.Store.Changes(ctx, jaybarrow.JobLeaderKey, after, wait)
			},
			Apply: l.applyRecords,
		})
	})
	l.group.Go(func() { l.campaign(ctx) })
	return l
}

// Close gives up leadership, stops the campaign and waits until both have ended.
func (l *Leader) Close() {
	l.cancel()
	l.group.Wait()
}

// Holder returns the entry host that leads; false when none leads or the record has not been read yet.
func (l *Leader) Holder() (Holder, bool) {
	l.lock.Lock()
	defer l.lock.Unlock()
	return l.current, l.held
}

// Changed returns a channel that is closed when the holder changes.
func (l *Leader) Changed() <-chan struct{} { return l.changed.Changed() }

// applyRecords applies a list or changes of the leader's record and signals a change of the holder.
func (l *Leader) applyRecords(records []jaybarrow.Record, isList bool, _ time.Time) {
	l.lock.Lock()
	before, held, short := l.current, l.held, l.shortOfMemory
	if isList {
		l.held, l.congested, l.shortOfMemory = false, nil, false
	}
	for _, r := range records {
		if r.Key == jaybarrow.JobChallengeKey && !r.Deleted && l.resign != nil {
			l.answerChallenge(r.Value)
		}
		if r.Key == jaybarrow.JobCongestionKey {
			l.applyCongestion(r)
		}
		if r.Key != jaybarrow.JobLeaderKey {
			continue
		}
		l.held = !r.Deleted
		if r.Deleted {
			continue
		}
		var holder Holder // a new one, since decoding keeps the fields that the record lacks
		if err := json.Unmarshal(r.Value, &holder); err != nil {
			l.deps.Log.Error().Err(err).Msg("cannot decode the leader's record; it counts as vacant")
			l.held = false
			continue
		}
		l.current = holder
	}
	differs := !l.known || held != l.held || before != l.current
	l.known = true
	holder, held := l.current, l.held
	shortChanged := short != l.shortOfMemory
	l.lock.Unlock()
	if shortChanged {
		l.changed.Signal() // a leader that is short of memory may be challenged
	}
	if differs {
		l.deps.Log.Info().Bool("held", held).Str("holder", string(holder.Entry)).Msg("leader changed")
		l.changed.Signal()
	}
}

// vacant reports whether the record has been read and no entry host leads.
func (l *Leader) vacant() bool {
	l.lock.Lock()
	defer l.lock.Unlock()
	return l.known && !l.held
}

// campaign tries to become leader whenever there is none, until ctx ends. The delay before an attempt lets the preferred entry host
// write first.
func (l *Leader) campaign(ctx context.Context) {
	defer func() {
		if fault := recover(); fault != nil {
			// The group would hold the panic back until Close; the process must crash and restart now.
			l.deps.Log.Error().Interface("fault", fault).Msg("a term ended by a fault")
			go panic(fault)
		}
	}()
	waits := false // for the host to become eligible
	for ctx.Err() == nil {
		changed := l.Changed()
		if !l.vacant() {
			l.revokeAbandonedLease()
			l.awaitVacancy(ctx, changed)
			continue
		}
		if !l.deps.Eligible() {
			if !waits {
				l.deps.Log.Info().Msg("not campaigning without a recent configuration")
			}
			waits = true
			l.sleep(ctx, l.deps.Settings.Jitter*4)
			continue
		}
		waits = false
		l.sleep(ctx, l.campaignDelay()+rand.N(l.deps.Settings.Jitter+1))
		if ctx.Err() != nil || !l.vacant() {
			continue
		}
		if !l.tryLead(ctx) {
			l.sleep(ctx, l.deps.Settings.Jitter*4)
		}
	}
}

// revokeAbandonedLease revokes the lease of a record that an earlier process at this address wrote, or that this one wrote and whose
// answer was lost. Nobody leads under that record, so the fleet would have no leader until the lease expires.
func (l *Leader) revokeAbandonedLease() {
	holder, held := l.Holder()
	if !held || !l.deps.Self.Replaces(holder) {
		return
	}
	l.deps.Log.Info().Str("holder", string(holder.Entry)).Msg("ends the lease of a process that is gone")
	l.revokeLease(holder.Lease)
}

// campaignDelay returns the delay before a campaign; it is shorter for an entry host with more cores or a faster link, and for a process
// that started later; it is longer for one that has too little memory for what was accepted.
func (l *Leader) campaignDelay() time.Duration {
	delay := l.deps.Settings.campaignDelay(l.deps.Clock.Now().Sub(l.started))
	if l.isTooSmall() {
		delay += l.deps.Settings.MemoryDelay
	}
	return delay
}

func (l *Leader) sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-l.deps.Clock.After(d):
	}
}

// tryLead tries to write the leader's record and, if it succeeds, leads until the term ends; it reports false when it did not lead.
func (l *Leader) tryLead(ctx context.Context) bool {
	d := l.deps
	self := d.Self
	self.Change = d.NewChange()
	requestedAt, err := boottime.Now()
	if err != nil {
		d.Log.Error().Err(err).Msg("cannot read the clock; not campaigning for now")
		return false
	}
	lease, err := callWithTimeout(ctx, d.Settings.CallTimeout, func(ctx context.Context) (jaybarrow.LeaseID, error) {
		return d.Store.GrantLease(ctx, d.Settings.Lease)
	})
	if err != nil {
		d.Log.Info().Err(err).Msg("cannot obtain a lease; campaigning again later")
		return false
	}
	self.Lease = lease
	value, err := json.Marshal(self)
	if err != nil {
		d.Log.Error().Err(err).Msg("cannot encode the leader's record; not campaigning for now")
		return false
	}
	revision, err := callWithTimeout(ctx, d.Settings.CallTimeout, func(ctx context.Context) (jaybarrow.Revision, error) {
		return d.Store.Commit(ctx, jaybarrow.Commit{
			Expect: []jaybarrow.Expectation{{Key: jaybarrow.JobLeaderKey}},
			Puts:   []jaybarrow.Put{{Key: jaybarrow.JobLeaderKey, Value: value, Lease: lease}},
		})
	})
	if err != nil && !jaybarrow.IsKind(err, jaybarrow.KindConflict) {
		revision, err = l.readBackRevision(ctx, self.Change)
	}
	if err != nil {
		d.Log.Debug().Err(err).Msg("cannot write the leader's record; campaigning again later")
		return false
	}
	l.serveTerm(ctx, lease, revision, requestedAt)
	return true
}

// readBackRevision returns the revision of the leader's record if the write with the change id took effect although its answer was
// lost.
func (l *Leader) readBackRevision(ctx context.Context, change jaybarrow.ChangeID) (jaybarrow.Revision, error) {
	r, err := callWithTimeout(ctx, l.deps.Settings.CallTimeout, func(ctx context.Context) (jaybarrow.Record, error) {
		return l.deps.Store.Get(ctx, jaybarrow.JobLeaderKey)
	})
	if err != nil {
		return 0, err
	}
	var h Holder
	if err := json.Unmarshal(r.Value, &h); err != nil || h.Change != change {
		return 0, jaybarrow.Errorf(jaybarrow.KindConflict, "the leader's record belongs to %s", h.Entry)
	}
	return r.Revision, nil
}

// callWithTimeout calls f with a context that ends after the limit.
func callWithTimeout[T any](ctx context.Context, limit time.Duration, f func(context.Context) (T, error)) (T, error) {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	return f(ctx)
}
