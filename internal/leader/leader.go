package leader

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"

	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/internal/boottime"
	"github.com/jaybarrow/jaybarrow/internal/follow"
	"github.com/jaybarrow/jaybarrow/internal/notify"
)

// Holder is the entry host that leads.
type Holder struct {
	Entry   jaybarrow.EntryID  `json:"entry"`
	Address jaybarrow.Address  `json:"address"` // of its peer server
	Change  jaybarrow.ChangeID `json:"change"`  // recognizes the own write when its answer was lost
	Lease   jaybarrow.LeaseID  `json:"lease"`   // of the record
}

// Replaces reports whether a process of h can only run once the process of other has ended: both listen at one address.
func (h Holder) Replaces(other Holder) bool {
	return h.Entry == other.Entry && h.Address == other.Address
}

// Settings are the times of an election.
type Settings struct {
	Lease  time.Duration // time to live of the leader's record
	Renew  time.Duration
	Call   time.Duration // for one call to the store
	Jitter time.Duration // largest random wait before a campaign
	// Handicap is the wait of an entry host with one core before a campaign; one with less waits longer in proportion, so that
	// the scheduler runs where there is processor time for it.
	Handicap time.Duration
	Capacity float64 // cores of this entry host
	// Seniority is the wait before a campaign of a process that has run for Settled; a younger one waits less in proportion. A
	// rolling restart takes each process once, so the one that started last leads the longest.
	Seniority, Settled time.Duration
	Rest               time.Duration // after giving the lead away
	Follow             follow.Settings
}

// DefaultSettings returns the usual times.
func DefaultSettings() Settings {
	return Settings{
		// The shortest lease that the store grants: it bears two lost renewals, and a successor waits for no longer.
		Lease: time.Second,
		Renew: 250 * time.Millisecond,
		// A hundred times the store's usual answer.
		Call: 600 * time.Millisecond,
		// A few round trips to the store, so that most candidates see the first one's write before they try.
		Jitter: 15 * time.Millisecond,
		// Hosts of 0.2 and 0.4 cores are then a few round trips to the store apart.
		Handicap: 20 * time.Millisecond, Capacity: 1,
		// More than the handicaps of two usual hosts are apart; a rolling restart of a dozen hosts takes half a minute.
		Seniority: 60 * time.Millisecond, Settled: 30 * time.Second,
		Rest:   3 * time.Second,
		Follow: follow.Settings{Wait: 2 * time.Second, Slack: 600 * time.Millisecond, Retry: 100 * time.Millisecond},
	}
}

// expiryMargin is how long before the end of its lease a leader takes it as ended.
const expiryMargin = 100 * time.Millisecond

// Term is one time in the lead.
type Term struct {
	Fence jaybarrow.FenceToken
	// Revision of the leader's record; writes are made on condition that it still holds.
	Revision jaybarrow.Revision
	// Valid reports whether the lease certainly holds.
	Valid func() bool
	// Resign gives the lead away, for the reason.
	Resign func(reason string)
}

// Deps are what a Leader depends on.
type Deps struct {
	Clock     jaybarrow.Clock
	Log       zerolog.Logger
	Store     jaybarrow.JobStore
	Self      Holder
	NewChange func() jaybarrow.ChangeID
	Settings  Settings
	// Lead serves a term until ctx ends.
	Lead func(ctx context.Context, term Term)
}

// Leader takes part in the election and knows who leads.
type Leader struct {
	deps    Deps
	group   conc.WaitGroup
	cancel  context.CancelFunc
	changed *notify.Notifier
	started time.Time

	lock  sync.Mutex
	known bool // whether the record was read
	held  bool
	now   Holder
}

// New returns a Leader that campaigns until it is closed.
func New(d Deps) *Leader {
	ctx, cancel := context.WithCancel(context.Background())
	l := &Leader{deps: d, cancel: cancel, changed: notify.New(), started: d.Clock.Now()}
	l.group.Go(func() {
		follow.Run(ctx, follow.Deps{Clock: d.Clock, Log: d.Log, Settings: d.Settings.Follow}, follow.Source[[]jaybarrow.Record]{
			Name: "leader",
			List: func(ctx context.Context) ([]jaybarrow.Record, jaybarrow.Revision, error) {
				return d.Store.List(ctx, jaybarrow.JobLeaderKey)
			},
			Changes: func(ctx context.Context, after jaybarrow.Revision, wait time.Duration) ([]jaybarrow.Record, jaybarrow.Revision, error) {
				return d.Store.Changes(ctx, jaybarrow.JobLeaderKey, after, wait)
			},
			Apply: l.apply,
		})
	})
	l.group.Go(func() { l.campaign(ctx) })
	return l
}

// Close resigns and stops.
func (l *Leader) Close() {
	l.cancel()
	l.group.Wait()
}

// Holder returns the entry host that leads; false when there is none or it is not known.
func (l *Leader) Holder() (Holder, bool) {
	l.lock.Lock()
	defer l.lock.Unlock()
	return l.now, l.held
}

// Changed returns a channel that is closed when the holder changes.
func (l *Leader) Changed() <-chan struct{} { return l.changed.Changed() }

func (l *Leader) apply(records []jaybarrow.Record, whole bool, _ time.Time) {
	l.lock.Lock()
	before, held := l.now, l.held
	if whole {
		l.held = false
	}
	for _, r := range records {
		if r.Key != jaybarrow.JobLeaderKey {
			continue
		}
		l.held = !r.Deleted
		if r.Deleted {
			continue
		}
		if err := json.Unmarshal(r.Value, &l.now); err != nil {
			l.deps.Log.Error().Err(err).Msg("the leader's record cannot be read")
			l.held = false
		}
	}
	fresh := !l.known || held != l.held || before != l.now
	l.known = true
	holder, held := l.now, l.held
	l.lock.Unlock()
	if fresh {
		l.deps.Log.Info().Bool("held", held).Str("holder", string(holder.Entry)).Msg("leader changed")
		l.changed.Signal()
	}
}

func (l *Leader) vacant() bool {
	l.lock.Lock()
	defer l.lock.Unlock()
	return l.known && !l.held
}

func (l *Leader) campaign(ctx context.Context) {
	for ctx.Err() == nil {
		changed := l.Changed()
		if !l.vacant() {
			l.endAbandoned()
			select {
			case <-ctx.Done():
			case <-changed:
			}
			continue
		}
		l.sleep(ctx, l.handicap()+rand.N(l.deps.Settings.Jitter+1))
		if ctx.Err() != nil || !l.vacant() {
			continue
		}
		if !l.tryLead(ctx) {
			l.sleep(ctx, l.deps.Settings.Jitter*4)
		}
	}
}

// endAbandoned ends the lease of a record that an earlier process at this address wrote, or that this one wrote without hearing
// of it: nobody serves under it, and the fleet would only wait for its end.
func (l *Leader) endAbandoned() {
	holder, held := l.Holder()
	if !held || !l.deps.Self.Replaces(holder) {
		return
	}
	l.deps.Log.Info().Str("holder", string(holder.Entry)).Msg("ends the lease of a process that is gone")
	l.release(holder.Lease)
}

// handicap returns how long this entry host leaves the lead to larger ones, and to those that started later.
func (l *Leader) handicap() time.Duration {
	s := l.deps.Settings
	age := min(1, float64(l.deps.Clock.Now().Sub(l.started))/float64(s.Settled))
	return time.Duration(float64(s.Handicap)/max(minCapacity, s.Capacity) + float64(s.Seniority)*age)
}

// minCapacity is the least number of cores that the handicap tells apart.
const minCapacity = 0.1

func (l *Leader) sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-l.deps.Clock.After(d):
	}
}

// tryLead writes the leader's record and serves the term; it reports false when it did not lead.
func (l *Leader) tryLead(ctx context.Context) bool {
	d := l.deps
	self := d.Self
	self.Change = d.NewChange()
	begun, err := boottime.Now()
	if err != nil {
		d.Log.Error().Err(err).Msg("cannot read the clock")
		return false
	}
	lease, err := call(ctx, d.Settings.Call, func(ctx context.Context) (jaybarrow.LeaseID, error) {
		return d.Store.GrantLease(ctx, d.Settings.Lease)
	})
	if err != nil {
		d.Log.Info().Err(err).Msg("cannot campaign")
		return false
	}
	self.Lease = lease
	value, err := json.Marshal(self)
	if err != nil {
		d.Log.Error().Err(err).Msg("cannot encode the leader's record")
		return false
	}
	revision, err := call(ctx, d.Settings.Call, func(ctx context.Context) (jaybarrow.Revision, error) {
		return d.Store.Commit(ctx, jaybarrow.Commit{
			Expect: []jaybarrow.Expectation{{Key: jaybarrow.JobLeaderKey}},
			Puts:   []jaybarrow.Put{{Key: jaybarrow.JobLeaderKey, Value: value, Lease: lease}},
		})
	})
	if err != nil && !jaybarrow.IsKind(err, jaybarrow.KindConflict) {
		revision, err = l.readBack(ctx, self.Change)
	}
	if err != nil {
		d.Log.Debug().Err(err).Msg("another entry host leads")
		return false
	}
	l.serve(ctx, lease, revision, begun)
	return true
}

// readBack finds out whether the own record was written although its answer was lost.
func (l *Leader) readBack(ctx context.Context, change jaybarrow.ChangeID) (jaybarrow.Revision, error) {
	r, err := call(ctx, l.deps.Settings.Call, func(ctx context.Context) (jaybarrow.Record, error) {
		return l.deps.Store.Get(ctx, jaybarrow.JobLeaderKey)
	})
	if err != nil {
		return 0, err
	}
	var h Holder
	if err := json.Unmarshal(r.Value, &h); err != nil || h.Change != change {
		return 0, jaybarrow.Errorf(jaybarrow.KindConflict, "the record is of %s", h.Entry)
	}
	return r.Revision, nil
}

// serve leads until ctx ends, the lease is lost or the term resigns.
func (l *Leader) serve(outer context.Context, lease jaybarrow.LeaseID, revision jaybarrow.Revision, begun time.Duration) {
	d := l.deps
	ctx, cancel := context.WithCancel(outer)
	defer cancel()
	var valid atomic.Int64 // the lease holds until then, by boottime
	var over atomic.Bool
	valid.Store(int64(begun + d.Settings.Lease - expiryMargin))
	resigned := make(chan string, 1)
	term := Term{
		Fence: jaybarrow.FenceToken(revision), Revision: revision,
		Valid: func() bool {
			now, err := boottime.Now()
			return err == nil && int64(now) < valid.Load() && !over.Load()
		},
		Resign: func(reason string) {
			select {
			case resigned <- reason:
			default:
			}
			cancel()
		},
	}
	d.Log.Info().Int64("fence", int64(term.Fence)).Msg("leading")
	var group conc.WaitGroup
	group.Go(func() {
		l.renew(ctx, cancel, lease, &valid)
		// The successor need not wait until the last orders of this term are answered: their fence is old.
		over.Store(true)
		l.release(lease)
	})
	d.Lead(ctx, term)
	cancel()
	group.Wait()
	select {
	case reason := <-resigned:
		d.Log.Info().Int64("fence", int64(term.Fence)).Str("reason", reason).Msg("gave the lead away")
		l.sleep(outer, d.Settings.Rest)
	default:
		d.Log.Info().Int64("fence", int64(term.Fence)).Msg("no longer leading")
	}
}

// release ends the lease, so that a successor need not wait for it.
func (l *Leader) release(lease jaybarrow.LeaseID) {
	_, err := call(context.Background(), l.deps.Settings.Call, func(ctx context.Context) (struct{}, error) {
		return struct{}{}, l.deps.Store.RevokeLease(ctx, lease)
	})
	if err != nil && !jaybarrow.IsKind(err, jaybarrow.KindNotFound) {
		l.deps.Log.Info().Err(err).Msg("cannot end the leader's lease; it runs out by itself")
	}
}

// renew keeps the lease alive; it cancels the term when the lease has ended. A renewal does not wait for the answer to the one
// before, so that a slow store does not cost the lead.
func (l *Leader) renew(ctx context.Context, lost context.CancelFunc, lease jaybarrow.LeaseID, valid *atomic.Int64) {
	var group conc.WaitGroup
	defer group.Wait()
	var failures atomic.Int64
	for {
		l.sleep(ctx, l.deps.Settings.Renew)
		if ctx.Err() != nil {
			return
		}
		group.Go(func() {
			if !l.renewOnce(ctx, lease, valid, &failures) {
				lost()
			}
		})
	}
}

// renewOnce sends one renewal; it reports false when the lease has ended.
func (l *Leader) renewOnce(ctx context.Context, lease jaybarrow.LeaseID, valid, failures *atomic.Int64) bool {
	d := l.deps
	sent, err := boottime.Now()
	if err == nil {
		_, err = call(ctx, d.Settings.Lease, func(ctx context.Context) (struct{}, error) {
			return struct{}{}, d.Store.KeepAlive(ctx, lease)
		})
	}
	switch {
	case err == nil:
		raise(valid, int64(sent+d.Settings.Lease-expiryMargin))
		if n := failures.Swap(0); n > 0 {
			d.Log.Info().Int64("failures", n).Msg("lease renewed again")
		}
	case jaybarrow.IsKind(err, jaybarrow.KindNotFound):
		d.Log.Warn().Msg("lease has ended")
		return false
	case ctx.Err() == nil:
		if failures.Add(1) == 1 {
			d.Log.Warn().Err(err).Msg("cannot renew the lease")
		}
	}
	return true
}

// raise sets v to the value unless it is higher already.
func raise(v *atomic.Int64, to int64) {
	for old := v.Load(); old < to && !v.CompareAndSwap(old, to); old = v.Load() {
	}
}

func call[T any](ctx context.Context, limit time.Duration, f func(context.Context) (T, error)) (T, error) {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	return f(ctx)
}
