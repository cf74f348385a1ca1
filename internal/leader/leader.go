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
	defer func() {
		if fault := recover(); fault != nil {
			// The group would keep the fault to itself until it is closed; the process must end and start again.
			l.deps.Log.Error().Interface("fault", fault).Msg("a term ended by a fault")
			go panic(fault)
		}
	}()
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
	age := min(1, float64(l.deps.Clock.Now().Sub(l.started))/float64(s.LongUptime))
	return time.Duration(float64(s.CapacityDelay)/max(minCapacity, s.Capacity) + float64(s.UptimeDelay)*age)
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
	lease, err := call(ctx, d.Settings.CallTimeout, func(ctx context.Context) (jaybarrow.LeaseID, error) {
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
	revision, err := call(ctx, d.Settings.CallTimeout, func(ctx context.Context) (jaybarrow.Revision, error) {
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
	r, err := call(ctx, l.deps.Settings.CallTimeout, func(ctx context.Context) (jaybarrow.Record, error) {
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

func call[T any](ctx context.Context, limit time.Duration, f func(context.Context) (T, error)) (T, error) {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	return f(ctx)
}
