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

// peer is a Forwarder that answers every request.
type peer struct{ route.Forwarder }

func (peer) Submit(context.Context, jaybarrow.Address, jaybarrow.Request) ([]byte, error) {
	return []byte("done"), nil
}

// newRouter returns the router of an entry host whose pools are all in another data centre.
func newRouter(members *member.Members) *route.Router {
	clock := jaybarrow.SystemClock{}
	return route.New(route.Deps{
		Clock: clock, Self: "here", DataCentre: "dc2", Peers: peer{}, Members: members, Journal: journal.New(clock, 16),
		Ready:       func() bool { return true },
		DataCentres: func(jaybarrow.PoolID) []jaybarrow.DataCentreID { return []jaybarrow.DataCentreID{"dc1"} },
		LocalLoad:   func(jaybarrow.PoolID) (schedule.Load, bool) { return schedule.Load{}, false },
	})
}

// Guards against the refusal of an accepted request because the successor of its scheduler is not known yet: its first heartbeat
// from another data centre takes seconds.
func TestRequestWaitsForAnOwner(t *testing.T) {
	members := member.New("here", "dc2", member.DefaultTimeouts, nil)
	r := newRouter(members)
	announced := time.AfterFunc(2*time.Second, func() {
		members.Observe(member.State{ID: "there", DataCentre: "dc1", Ready: true, Sequence: 1, ReportedAt: time.Now()})
	})
	defer announced.Stop()
	body, err := r.Run(context.Background(), jaybarrow.Request{ID: "r", Team: "trail", Pool: "desk"})
	assert.NilError(t, err)
	assert.Equal(t, string(body), "done")

	late := jaybarrow.Request{ID: "late", Team: "trail", Pool: "desk", Deadline: time.Now().Add(-time.Second)}
	_, err = newRouter(member.New("here", "dc2", member.DefaultTimeouts, nil)).Run(context.Background(), late)
	assert.Assert(t, jaybarrow.IsKind(err, jaybarrow.KindHandOver), "%v", err)
	assert.Equal(t, jaybarrow.AsError(err).Effect, jaybarrow.EffectNotRun)
}
