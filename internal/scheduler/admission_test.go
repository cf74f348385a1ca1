package scheduler

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/internal/budget"
	"github.com/jaybarrow/jaybarrow/internal/catalog"
	"github.com/jaybarrow/jaybarrow/internal/leader"
)

// Load pattern: several pools have work at once on a host with a slow link. Each has room for its own, but the starts of all share the link,
// so a job that would wait for those of the other pools must be refused.
func TestPoolsShareTheRateOfStarts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := platformWithFault{}
		configuration := &jaybarrow.Configuration{Version: 1}
		for _, pool := range []jaybarrow.PoolID{"desk", "mill", "shop"} {
			configuration.Pools = append(configuration.Pools, jaybarrow.JobPool{ID: pool})
			configuration.Queues = append(configuration.Queues, jaybarrow.JobQueue{ID: jaybarrow.QueueID(pool), Pool: pool, MaxAttempts: 2, Stretch: 2, Target: time.Second})
		}
		known := catalog.New(time.Now())
		known.Apply(configuration)
		settings := DefaultSettings()
		settings.Host = budget.Host{Link: 2}
		s := New(Deps{
			Clock: jaybarrow.SystemClock{}, Log: zerolog.Nop(), Store: f, Register: f, Agents: f, Catalog: known, Observer: f,
			Term: leader.Term{Fence: 1, Revision: 1, Valid: func() bool { return true }, Resign: func(string) {}}, Settings: settings,
		})
		defer s.Close()
		time.Sleep(time.Second)
		ask := jaybarrow.AdmissionRequest{Queue: "shop", Pool: "shop", CriticalPath: 100 * time.Millisecond}
		s.pool("shop")
		a, err := s.Admit(ask)
		assert.NilError(t, err)
		assert.Assert(t, a.Admitted, "nothing waits")
		for n := range 40 {
			for _, pool := range []jaybarrow.PoolID{"desk", "mill"} {
				p := s.pool(pool)
				p.locked(func() {
					p.state.AddJob(&jaybarrow.Job{
						ID: jaybarrow.JobID(fmt.Sprintf("%s-%d", pool, n)), Queue: jaybarrow.QueueID(pool), Pool: pool, AcceptedMs: time.Now().UnixMilli(),
						Steps: []jaybarrow.Step{{Tasks: 30, Demand: jaybarrow.Resources{CPU: 2000}, EstimateMs: 10}},
					}, nil, time.Now())
				})
			}
		}
		time.Sleep(2 * congestionInterval)
		a, err = s.Admit(ask)
		assert.NilError(t, err)
		assert.Assert(t, !a.Admitted, "2,400 tasks of other pools wait for a link that carries about 100 starts a second")
	})
}
