package e2e

import (
	"context"
	"fmt"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/internal/presence"
	"github.com/jaybarrow/jaybarrow/internal/standin/faultproxy"
	"github.com/jaybarrow/jaybarrow/internal/standin/store"
	"github.com/jaybarrow/jaybarrow/pkg/client"
)

// keyPlan has 3 data centres and one pool with two queues: one that requires a key, and an open one.
func keyPlan() plan {
	return plan{
		dataCentres: 3, entriesPerDC: 1, workersPerPool: 1, pools: []jaybarrow.PoolID{"desk"},
		teams: map[jaybarrow.TeamID]jaybarrow.Slots{"trail": 12, "clubs": 12},
		queues: []jaybarrow.Queue{
			{ID: "match", Pool: "desk", Class: jaybarrow.ClassQuick, TargetMs: 10000},
			{ID: "walkin", Pool: "desk", Class: jaybarrow.ClassQuick, TargetMs: 10000, Open: true},
		},
	}
}

// setPublicLimit sets the limit of callers without a key; without a limit, the open queue runs nothing.
func (c *cluster) setPublicLimit(limit jaybarrow.Slots) {
	c.t.Helper()
	o := c.operator(c.entries[0])
	team, err := o.Team(context.Background(), jaybarrow.PublicTeam)
	assert.NilError(c.t, err)
	changed, err := o.SetLimit(context.Background(), jaybarrow.PublicTeam, limit, team.Limit.Revision)
	assert.NilError(c.t, err)
	c.awaitInForce(o, changed.Revision)
}

// addKey adds a key and waits until it is in force on every entry host.
func (c *cluster) addKey(team jaybarrow.TeamID) client.KeyAdded {
	c.t.Helper()
	o := c.operator(c.entries[0])
	key, err := o.AddKey(context.Background(), team)
	assert.NilError(c.t, err)
	c.awaitInForce(o, key.Revision)
	return key
}

// withdraw withdraws the key through the entry host, and returns the change and the time of its answer.
func (c *cluster) withdraw(e *entryHost, key client.KeyAdded) (client.Changed, time.Time) {
	c.t.Helper()
	changed, err := c.operator(e).WithdrawKey(context.Background(), key.Hash, key.Revision)
	assert.NilError(c.t, err)
	return changed, time.Now()
}

// probe starts a caller at every entry host that sends short requests with the key.
func (c *cluster) probe(h *history, name string, key client.KeyAdded) *load {
	return c.startLoad(h, len(c.entries), func(caller, _ int) *entryHost { return c.entries[caller] }, func(caller, n int) call {
		time.Sleep(20 * time.Millisecond)
		return call{
			team: key.Team, key: key.Secret, queue: "match", id: jaybarrow.RequestID(fmt.Sprintf("%s-%d-%d", name, caller, n)),
		}
	})
}

// Guards against a withdrawn key that is still accepted after the time limit, without a fault and when an entry host does not
// receive the withdrawal: its connections to the store are frozen, it is paused, the store's watches deliver nothing, or a
// store outage begins before they delivered the withdrawal.
func TestWithdrawnKeyStopsWorking(t *testing.T) {
	cases := []struct {
		name    string
		before  func(c *cluster) // injects a fault before the withdrawal
		after   func(c *cluster) // injects or ends a fault right after the withdrawal
		through int              // index of the entry host that receives the withdrawal
	}{
		{name: "normal", through: 1},
		{name: "frozenConnections", before: func(c *cluster) {
			c.storeProxies["dc2"].FreezeOpen(faultproxy.Down)
		}},
		{name: "frozenLink", before: func(c *cluster) {
			_ = c.storeProxies["dc2"].Set(faultproxy.Faults{Down: faultproxy.DirectionFaults{Frozen: true}})
		}},
		{name: "pausedEntryHost", before: func(c *cluster) { c.entries[1].signal(syscall.SIGSTOP) }, after: func(c *cluster) {
			time.Sleep(inForceLimit + 2*time.Second)
			c.entries[1].signal(syscall.SIGCONT)
		}},
		{name: "silentWatches", before: func(c *cluster) { c.faults(store.Faults{FrozenWatches: store.FreezeAll}) }},
		{name: "storeDownAfter", before: func(c *cluster) {
			c.faults(store.Faults{FrozenWatches: store.FreezeOpen})
		}, after: func(c *cluster) { c.faults(store.Faults{Outage: store.OutageRefuse}) }},
	}
	for _, x := range cases {
		t.Run(x.name, func(t *testing.T) {
			t.Parallel()
			c := newCluster(t, keyPlan())
			key := c.addKey("trail")
			h := &history{}
			probe := c.probe(h, x.name, key)
			time.Sleep(time.Second)
			if x.before != nil {
				x.before(c)
			}
			_, withdrawnAt := c.withdraw(c.entries[x.through], key)
			if x.after != nil {
				x.after(c)
			}
			time.Sleep(inForceLimit + 3*time.Second)
			probe.stop()
			assert.NilError(t, checkWithdrawn(h.list(), withdrawnAt.Add(inForceLimit)))
			assert.NilError(t, checkInvariants(c.ledgers(), h.list(), c.plan.teams))
			assert.NilError(t, checkTeams(c.ledgers(), h.list()))
			for _, entries := range c.ledgers() {
				for _, e := range entries { // one second covers requests that were accepted just before the limit
					assert.Check(t, e.StartedNs < withdrawnAt.Add(inForceLimit+time.Second).UnixNano(), "%s started after the withdrawal was in force", e.Request)
				}
			}
		})
	}
}

// checkWithdrawn returns an error if a request sent after the time was accepted, or was refused for another reason than its key.
func checkWithdrawn(all []callResult, from time.Time) error {
	accepted, refused := 0, 0
	for _, x := range all {
		switch {
		case x.startedAt.Before(from):
			if x.kind == "" {
				accepted++
			}
		case x.kind == jaybarrow.KindBadKey || x.kind == jaybarrow.KindStaleConfiguration:
			refused++
		default:
			return fmt.Errorf("%s through %s, sent %s after the withdrawal had to be in force, got kind %q: %s",
				x.request, x.entry, x.startedAt.Sub(from), x.kind, x.message)
		}
	}
	if accepted == 0 || refused == 0 {
		return fmt.Errorf("%d requests were accepted before and %d refused after the withdrawal; both must be above 0", accepted, refused)
	}
	return nil
}

// checkTeams returns an error if a task ran for another team than the one whose key its request carried.
func checkTeams(l ledgers, all []callResult) error {
	teams := make(map[jaybarrow.RequestID]jaybarrow.TeamID)
	for _, x := range all {
		teams[x.request] = x.team
	}
	for key := range l.started() {
		if team, known := teams[key.id]; known && team != key.team {
			return fmt.Errorf("request %s of %s ran for %s", key.id, team, key.team)
		}
	}
	return nil
}

// Guards against requests with a key that are refused during a store outage, and against open queues that require a key.
func TestKeyedWorkIsServedDuringStoreOutage(t *testing.T) {
	t.Parallel()
	c := newCluster(t, keyPlan())
	c.setPublicLimit(6)
	h := &history{}
	c.faults(store.Faults{Outage: store.OutageRefuse})
	time.Sleep(time.Second)
	load := c.startLoad(h, 9, func(caller, _ int) *entryHost { return c.entries[caller%3] }, func(caller, n int) call {
		team := []jaybarrow.TeamID{"trail", "clubs", jaybarrow.PublicTeam}[caller/3]
		queue := jaybarrow.QueueID("match")
		if team == jaybarrow.PublicTeam {
			queue = "walkin"
		}
		time.Sleep(20 * time.Millisecond)
		return call{team: team, queue: queue, id: jaybarrow.RequestID(fmt.Sprintf("r-%d-%d", caller, n))}
	})
	time.Sleep(2 * inForceLimit)
	load.stop()
	for _, x := range h.list() {
		assert.Check(t, x.kind == "", "%s of %s through %s: %s %s", x.request, x.team, x.entry, x.kind, x.message)
	}
	assert.NilError(t, checkInvariants(c.ledgers(), h.list(), c.plan.teams))
	assert.NilError(t, checkTeams(c.ledgers(), h.list()))
}

// Guards against a partitioned data centre that accepts requests with keys it cannot check, refuses requests to open queues, or
// does not recover.
func TestCutOffDataCentreRefusesKeyedWork(t *testing.T) {
	t.Parallel()
	c := newCluster(t, keyPlan())
	c.setPublicLimit(6)
	key := c.addKey("trail")
	h := &history{}
	probe := c.probe(h, "cut", key)
	time.Sleep(time.Second)
	c.setIsolated("dc2", true)
	_, withdrawnAt := c.withdraw(c.entries[0], key)
	time.Sleep(inForceLimit + time.Second)
	probe.stop()
	assert.NilError(t, checkWithdrawn(h.list(), withdrawnAt.Add(inForceLimit)))
	isolated := c.entries[1]
	good := c.send(h, isolated, call{team: "clubs", queue: "match", id: "good"})
	assert.Equal(t, good.kind, jaybarrow.KindStaleConfiguration, "%+v", good)
	assert.Equal(t, good.effect, jaybarrow.EffectNotRun)
	open := c.send(h, isolated, call{team: jaybarrow.PublicTeam, queue: "walkin", id: "open"})
	assert.Equal(t, open.kind, jaybarrow.ErrorKind(""), "%+v", open)
	c.setIsolated("dc2", false)
	c.awaitAnswer(h, isolated, call{team: "clubs", queue: "match", id: "again"})
	assert.NilError(t, checkInvariants(c.ledgers(), h.list(), c.plan.teams))
	assert.NilError(t, checkTeams(c.ledgers(), h.list()))
}

// awaitAnswer repeats the call until it is answered.
func (c *cluster) awaitAnswer(h *history, e *entryHost, in call) {
	c.t.Helper()
	poll.WaitOn(c.t, func(poll.LogT) poll.Result {
		if x := c.send(h, e, in); x.kind != "" {
			return poll.Continue("%+v", x)
		}
		return poll.Success()
	}, poll.WithTimeout(waitTimeout))
}

// Guards against a partitioned data centre that refuses requests with a key although whenCutOff is set to serve, and against a
// status that reports a withdrawal as in force while that data centre still accepts the key.
func TestCutOffDataCentreServesIfConfigured(t *testing.T) {
	t.Parallel()
	p := keyPlan()
	p.extraSettings = "[keys]\nwhenCutOff = serve\n"
	c := newCluster(t, p)
	key := c.addKey("trail")
	h := &history{}
	c.setIsolated("dc2", true)
	changed, _ := c.withdraw(c.entries[0], key)
	// By then the lease of the isolated entry host's registration has expired.
	time.Sleep(presence.DefaultSettings().TTL + 4*time.Second)
	served := c.send(h, c.entries[1], call{team: "trail", key: key.Secret, queue: "match", id: "served"})
	assert.Equal(t, served.kind, jaybarrow.ErrorKind(""), "%+v", served)
	for _, e := range []*entryHost{c.entries[0], c.entries[2]} {
		refused := c.send(h, e, call{team: "trail", key: key.Secret, queue: "match", id: "refused"})
		assert.Equal(t, refused.kind, jaybarrow.KindBadKey, "%+v", refused)
		s, err := c.operator(e).Status(context.Background(), changed.Revision)
		assert.NilError(t, err)
		assert.Assert(t, !s.InForce && len(s.PendingOn) == 1 && s.PendingOn[0].ID == c.entries[1].id, "%+v", s)
	}
	c.setIsolated("dc2", false)
	c.awaitInForce(c.operator(c.entries[0]), changed.Revision)
	c.entries[2].kill()
	c.condition(string(c.entries[2].id), jaybarrow.HostGone)
	next := c.addKey("clubs") // waits until it is in force on the remaining entry hosts
	refused := c.send(h, c.entries[1], call{team: "trail", key: key.Secret, queue: "match", id: "late"})
	assert.Equal(t, refused.kind, jaybarrow.KindBadKey, "%+v", refused)
	accepted := c.send(h, c.entries[1], call{team: "clubs", key: next.Secret, queue: "match", id: "next"})
	assert.Equal(t, accepted.kind, jaybarrow.ErrorKind(""), "%+v", accepted)
	assert.NilError(t, checkInvariants(c.ledgers(), h.list(), c.plan.teams))
}
