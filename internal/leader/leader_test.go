package leader_test

import (
	"context"
	"encoding/json"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/internal/identity"
	"github.com/jaybarrow/jaybarrow/internal/leader"
)

// testTimeout is how long a test waits for an expected event.
const testTimeout = 30 * time.Second

// store holds the leader's record; a lease ends only when it is revoked.
type store struct {
	jaybarrow.JobStore
	lock        sync.Mutex
	record      jaybarrow.Record
	lease       jaybarrow.LeaseID // lease of the record
	lastGranted jaybarrow.LeaseID // id of the last granted lease
	revision    jaybarrow.Revision
	changed     chan struct{} // closed at the next change
}

func newStore(holder leader.Holder) *store {
	value, err := json.Marshal(holder)
	if err != nil {
		panic(err)
	}
	return &store{
		record: jaybarrow.Record{Key: jaybarrow.JobLeaderKey, Value: value, Revision: 1}, lease: holder.Lease, lastGranted: holder.Lease,
		revision: 1, changed: make(chan struct{}),
	}
}

// change replaces the record and wakes the watches; the lock is held.
func (s *store) change(r jaybarrow.Record) {
	s.revision++
	s.record = r
	s.record.Key, s.record.Revision = jaybarrow.JobLeaderKey, s.revision
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) ListPage(context.Context, jaybarrow.Key, jaybarrow.Key) (jaybarrow.Page[jaybarrow.Record], error) {
	s.lock.Lock()
	defer s.lock.Unlock()
	page := jaybarrow.Page[jaybarrow.Record]{Revision: s.revision}
	if !s.record.Deleted {
		page.Items = []jaybarrow.Record{s.record}
	}
	return page, nil
}

func (s *store) Changes(ctx context.Context, _ jaybarrow.Key, after jaybarrow.Revision, wait time.Duration) ([]jaybarrow.Record, jaybarrow.Revision, error) {
	limit := time.After(wait)
	for {
		s.lock.Lock()
		changed, record, revision := s.changed, s.record, s.revision
		s.lock.Unlock()
		if revision > after {
			return []jaybarrow.Record{record}, revision, nil
		}
		select {
		case <-ctx.Done():
			return nil, after, ctx.Err()
		case <-limit:
			return nil, after, nil
		case <-changed:
		}
	}
}

func (s *store) Commit(_ context.Context, c jaybarrow.Commit) (jaybarrow.Revision, error) {
	s.lock.Lock()
	defer s.lock.Unlock()
	if !s.record.Deleted {
		return 0, jaybarrow.Errorf(jaybarrow.KindConflict, "the leader's record exists")
	}
	s.lease = c.Puts[0].Lease
	s.change(jaybarrow.Record{Value: c.Puts[0].Value})
	return s.revision, nil
}

func (s *store) GrantLease(context.Context, time.Duration) (jaybarrow.LeaseID, error) {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.lastGranted++
	return s.lastGranted, nil
}

func (s *store) KeepAlive(context.Context, jaybarrow.LeaseID) error { return nil }

func (s *store) RevokeLease(_ context.Context, lease jaybarrow.LeaseID) error {
	s.lock.Lock()
	defer s.lock.Unlock()
	if lease == s.lease && !s.record.Deleted {
		s.change(jaybarrow.Record{Deleted: true})
	}
	return nil
}

// Guards against a fleet without a leader until the old lease expires, after the process of the leader was killed and restarted. The
// store in this test never expires a lease, so the restarted process must revoke it.
func TestARestartedLeaderDoesNotWaitForItsOldLease(t *testing.T) {
	self := leader.Holder{Entry: "front-1", Address: "10.0.0.1:7000"}
	earlier := self
	earlier.Change, earlier.Lease = "earlier", 7
	led := make(chan leader.Term, 1)
	l := leader.New(leader.Deps{
		Clock: jaybarrow.SystemClock{}, Log: zerolog.Nop(), Store: newStore(earlier), Self: self, NewChange: identity.NewChangeID,
		Settings: leader.DefaultSettings(), Eligible: func() bool { return true },
		Lead: func(ctx context.Context, term leader.Term) {
			led <- term
			<-ctx.Done()
		},
	})
	defer l.Close()
	select {
	case term := <-led:
		assert.Assert(t, term.Fence > 1)
	case <-time.After(testTimeout):
		t.Fatal("the restarted entry host does not become leader")
	}
}

// Guards against revoking the lease of a leader whose process may still be running.
func TestOnlyAProcessAtTheSameAddressIsReplaced(t *testing.T) {
	self := leader.Holder{Entry: "front-1", Address: "10.0.0.1:7000"}
	assert.Assert(t, self.Replaces(leader.Holder{Entry: "front-1", Address: "10.0.0.1:7000", Change: "earlier"}))
	assert.Assert(t, !self.Replaces(leader.Holder{Entry: "front-2", Address: "10.0.0.2:7000"}), "another entry host at another address")
	assert.Assert(t, !self.Replaces(leader.Holder{Entry: "front-1", Address: "10.0.0.9:7000"}), "the same entry host at another address")
	assert.Assert(t, !self.Replaces(leader.Holder{Entry: "front-2", Address: "10.0.0.1:7000"}), "another entry host at the same address")
}

// Guards against a leader that decides on jobs before it has read the configuration: it would take queues and limits for missing.
func TestAHostThatIsNotEligibleDoesNotCampaign(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var eligible atomic.Bool
		led := make(chan struct{}, 1)
		s := newStore(leader.Holder{Entry: "front-2", Address: "10.0.0.2:7000", Lease: 7})
		l := leader.New(leader.Deps{
			Clock: jaybarrow.SystemClock{}, Log: zerolog.Nop(), Store: s, Self: leader.Holder{Entry: "front-1", Address: "10.0.0.1:7000"},
			NewChange: identity.NewChangeID, Settings: leader.DefaultSettings(), Eligible: eligible.Load,
			Lead: func(ctx context.Context, _ leader.Term) {
				led <- struct{}{}
				<-ctx.Done()
			},
		})
		defer l.Close()
		assert.NilError(t, s.RevokeLease(t.Context(), 7))
		time.Sleep(time.Minute)
		assert.Equal(t, len(led), 0, "it leads without a configuration")
		eligible.Store(true)
		time.Sleep(2 * time.Second)
		assert.Equal(t, len(led), 1, "it does not lead although it has a configuration")
	})
}
