package route_test

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/internal/journal"
	"github.com/jaybarrow/jaybarrow/internal/member"
	"github.com/jaybarrow/jaybarrow/internal/route"
	"github.com/jaybarrow/jaybarrow/internal/schedule"
)

// fullScheduler is a scheduler whose slots never become free; a request leaves its queue only when it is handed back.
type fullScheduler struct{ queued chan struct{} }

func (f fullScheduler) Run(ctx context.Context, _ jaybarrow.Request) ([]byte, error) {
	select {
	case <-f.queued:
		return nil, jaybarrow.Errorf(jaybarrow.KindHandOver, "another data centre has free slots")
	case <-ctx.Done():
		return nil, jaybarrow.Errorf(jaybarrow.KindDeadlinePassed, "no slot")
	}
}

func (f fullScheduler) Cancel(context.Context, jaybarrow.TeamID, jaybarrow.RequestID) (bool, error) {
	return false, nil
}

func (f fullScheduler) Loads() map[jaybarrow.PoolID]schedule.Load {
	return map[jaybarrow.PoolID]schedule.Load{"desk": {Waiting: 1}}
}

func (f fullScheduler) HandBack(_ jaybarrow.PoolID, limit int) int {
	f.queued <- struct{}{}
	return limit
}

// Guards against a request that stays queued in a full data centre although another one has reported free slots since.
func TestQueuedRequestMovesToDataCentreWithFreeSlots(t *testing.T) {
	clock := jaybarrow.SystemClock{}
	members := member.New("here", "dc1", member.DefaultTimeouts, nil)
	remote := member.State{
		ID: "there", DataCentre: "dc2", Ready: true, Sequence: 1, ReportedAt: time.Now(),
		Loads: map[jaybarrow.PoolID]schedule.Load{"desk": {Waiting: 20}},
	}
	members.Observe(remote)
	local := fullScheduler{queued: make(chan struct{})}
	r := route.New(route.Deps{
		Clock: clock, Self: "here", DataCentre: "dc1", Local: local, Peers: peer{}, Members: members, Journal: journal.New(clock, 16),
		Ready:       func() bool { return true },
		DataCentres: func(jaybarrow.PoolID) []jaybarrow.DataCentreID { return []jaybarrow.DataCentreID{"dc1", "dc2"} },
		LocalLoad:   func(jaybarrow.PoolID) (schedule.Load, bool) { return schedule.Load{Waiting: 1}, true },
	})
	s := route.NewSpillover(r, local, nil)
	defer s.Close()
	freed := time.AfterFunc(300*time.Millisecond, func() {
		remote.Sequence, remote.ReportedAt = 2, time.Now()
		remote.Loads = map[jaybarrow.PoolID]schedule.Load{"desk": {FreeSlots: 8}}
		members.Observe(remote)
	})
	defer freed.Stop()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	body, err := r.Run(ctx, jaybarrow.Request{ID: "r", Team: "trail", Pool: "desk"})
	assert.NilError(t, err)
	assert.Equal(t, string(body), "done")
}
