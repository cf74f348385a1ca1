package e2e

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/internal/standin/faultproxy"
	"github.com/jaybarrow/jaybarrow/internal/standin/store"
	"github.com/jaybarrow/jaybarrow/pkg/client"
)

// observation is a version of a team's record that an entry host returned.
type observation struct {
	entry    jaybarrow.EntryID
	revision jaybarrow.Revision
	share    jaybarrow.Share
}

// teamWatcher polls a team's record at every entry host and collects the observations.
type teamWatcher struct {
	sync.Mutex
	group   sync.WaitGroup
	stopped chan struct{}
	all     []observation
}

func (c *cluster) watchTeam(team jaybarrow.TeamID) *teamWatcher {
	w := &teamWatcher{stopped: make(chan struct{})}
	shortTimeout := &http.Client{Timeout: time.Second} // a paused entry host accepts connections but does not answer
	for _, e := range c.entries {
		w.group.Go(func() {
			o := client.New(shortTimeout, e.callers, operatorKey)
			for {
				if found, err := o.Team(context.Background(), team); err == nil {
					w.Lock()
					w.all = append(w.all, observation{e.id, found.Revision, found.Share})
					w.Unlock()
				}
				select {
				case <-w.stopped:
					return
				case <-time.After(20 * time.Millisecond):
				}
			}
		})
	}
	return w
}

func (w *teamWatcher) stop() []observation {
	close(w.stopped)
	w.group.Wait()
	return w.all
}

// checkObservations returns an error if an entry host returned a record older than one that it returned before, or one that the
// store never accepted.
func checkObservations(all []observation, accepted map[jaybarrow.Revision]jaybarrow.Share) error {
	last := make(map[jaybarrow.EntryID]jaybarrow.Revision)
	for _, s := range all {
		if share, ok := accepted[s.revision]; !ok || share != s.share {
			return fmt.Errorf("%s returned share %v at revision %d, which the store never accepted", s.entry, s.share, s.revision)
		}
		if s.revision < last[s.entry] {
			return fmt.Errorf("%s went back from revision %d to %d", s.entry, last[s.entry], s.revision)
		}
		last[s.entry] = s.revision
	}
	return nil
}

// shares returns the team's share at each revision that the store accepted.
func (c *cluster) shares(team jaybarrow.TeamID) map[jaybarrow.Revision]jaybarrow.Share {
	accepted := make(map[jaybarrow.Revision]jaybarrow.Share)
	for _, change := range c.storeWrites(jaybarrow.TeamKey(team)) {
		var t jaybarrow.Team
		if json.Unmarshal(change.Value, &t) == nil && change.Key == jaybarrow.TeamKey(team) {
			accepted[change.Revision] = t.Share
		}
	}
	return accepted
}

// shareWriter changes one team's share; each change is conditional on the revision of the previous one.
type shareWriter struct {
	c        *cluster
	team     jaybarrow.TeamID
	share    jaybarrow.Share
	revision jaybarrow.Revision
}

func (c *cluster) shareWriter(team jaybarrow.TeamID) *shareWriter {
	found, err := c.operator(c.entries[0]).Team(context.Background(), team)
	assert.NilError(c.t, err)
	return &shareWriter{c: c, team: team, share: found.Share, revision: found.Revision}
}

// change changes the share through the entry host and returns the time of the answer.
func (w *shareWriter) change(e *entryHost) time.Time {
	w.c.t.Helper()
	w.share++
	changed, err := w.c.operator(e).SetShare(context.Background(), w.team, w.share, w.revision)
	assert.NilError(w.c.t, err)
	w.revision = changed.Revision
	return time.Now()
}

// assertInForce asserts that the last change is in force on every entry host within inForceLimit of changedAt, both by the
// status that statusFrom reports and by the records that the entry hosts return.
func (w *shareWriter) assertInForce(statusFrom *entryHost, changedAt time.Time) {
	w.c.t.Helper()
	poll.WaitOn(w.c.t, func(poll.LogT) poll.Result {
		s, err := w.c.operator(statusFrom).Status(context.Background(), w.revision)
		if err != nil || !s.InForce {
			return poll.Continue("%+v %v", s, err)
		}
		return poll.Success()
	}, poll.WithTimeout(time.Until(changedAt.Add(inForceLimit))), poll.WithDelay(50*time.Millisecond))
	for _, e := range w.c.entries {
		found, err := w.c.operator(e).Team(context.Background(), w.team)
		assert.NilError(w.c.t, err)
		assert.Assert(w.c.t, found.Revision >= w.revision, "%s has revision %d, not %d", e.id, found.Revision, w.revision)
	}
}

// Guards against a configuration change that takes effect late or is reverted on an entry host. The causes are a pause across
// several changes, a watch that stops delivering events, and a store that answers from an older revision after an outage.
func TestConfigurationNeverReverts(t *testing.T) {
	t.Parallel()
	p := standardPlan()
	p.workersPerPool = 1
	c := newCluster(t, p)
	w := c.shareWriter("trail")
	watcher := c.watchTeam("trail")
	for i := range 6 {
		w.assertInForce(c.entries[(i+1)%3], w.change(c.entries[i%3]))
	}

	c.entries[1].signal(syscall.SIGSTOP)
	for range 4 {
		w.change(c.entries[0])
	}
	time.Sleep(5 * time.Second) // longer than a watch may go without an event
	c.entries[1].signal(syscall.SIGCONT)
	w.assertInForce(c.entries[2], time.Now())

	c.storeProxies["dc2"].FreezeOpen(faultproxy.Down)
	w.assertInForce(c.entries[0], w.change(c.entries[0]))
	c.faults(store.Faults{FrozenWatches: store.FreezeOpen})
	w.assertInForce(c.entries[0], w.change(c.entries[0]))
	c.faults(store.Faults{FrozenWatches: store.FreezeAll})
	for range 3 {
		w.assertInForce(c.entries[0], w.change(c.entries[0]))
	}

	c.faults(store.Faults{Outage: store.OutageRefuse})
	time.Sleep(2 * time.Second)
	c.faults(store.Faults{StaleBy: 6, FrozenWatches: store.FreezeAll})
	time.Sleep(6 * time.Second)
	c.faults(store.Faults{StaleBy: 6})
	time.Sleep(2 * time.Second)
	c.faults(store.Faults{})
	time.Sleep(time.Second)
	w.assertInForce(c.entries[1], w.change(c.entries[2]))
	assert.NilError(t, checkObservations(watcher.stop(), c.shares("trail")))
}

// Guards against several or no accepted changes when operators change one record from the same revision through different entry
// hosts, also while the store's answers are lost.
func TestRacingOperators(t *testing.T) {
	t.Parallel()
	p := standardPlan()
	p.workersPerPool = 1
	c := newCluster(t, p)
	w := c.shareWriter("trail")
	watcher := c.watchTeam("trail")
	for round := range 40 {
		if round == 20 {
			c.faults(store.Faults{LostAnswers: store.LostAnswers{All: true, Prefix: jaybarrow.TeamPrefix}})
		}
		var racers sync.WaitGroup
		results := make([]error, len(c.entries))
		revisions := make([]jaybarrow.Revision, len(c.entries))
		for i, e := range c.entries {
			racers.Go(func() {
				share := jaybarrow.Share(10*round + i + 1)
				changed, err := c.operator(e).SetShare(context.Background(), "trail", share, w.revision)
				results[i], revisions[i] = err, changed.Revision
			})
		}
		racers.Wait()
		successes := 0
		for i, err := range results {
			if err == nil {
				successes++
				w.revision = revisions[i]
				continue
			}
			assert.Assert(t, jaybarrow.IsKind(err, jaybarrow.KindConflict), "round %d: %v", round, err)
		}
		assert.Equal(t, successes, 1, "round %d: %v", round, results)
	}
	c.faults(store.Faults{})
	w.assertInForce(c.entries[1], time.Now())
	accepted := c.shares("trail")
	assert.Equal(t, len(accepted), 41, "one change for each round and the creation")
	assert.NilError(t, checkObservations(watcher.stop(), accepted))
}

// Guards against an entry host that starts during a store outage and serves nothing or an older configuration than its peers,
// or that does not catch up after the outage.
func TestEntryHostStartsWhileStoreIsDown(t *testing.T) {
	t.Parallel()
	p := standardPlan()
	p.workersPerPool = 1
	p.entriesPerDC = 2
	c := newCluster(t, p)
	w := c.shareWriter("trail")
	w.assertInForce(c.entries[0], w.change(c.entries[0]))
	restarted := c.entries[2]
	restarted.kill()
	c.faults(store.Faults{Outage: store.OutageRefuse})
	c.startEntry(restarted)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		found, err := c.operator(restarted).Team(context.Background(), "trail")
		if err != nil {
			return poll.Continue("%v", err)
		}
		if found.Revision != w.revision {
			return poll.Error(fmt.Errorf("the restarted entry host serves revision %d, its peers have %d", found.Revision, w.revision))
		}
		return poll.Success()
	}, poll.WithTimeout(waitTimeout))
	h := &history{}
	c.awaitAnswer(h, restarted, call{team: "trail", queue: "match", id: "through-the-new-one"})
	c.faults(store.Faults{})
	c.awaitEntryReady(restarted)
	w.assertInForce(restarted, w.change(c.entries[0]))
	assert.NilError(t, checkInvariants(c.ledgers(), h.list(), c.plan.teams))
}

// Guards against an operator's change that fails although the store is back, since the entry host's kept connections were closed by the outage.
func TestAnOperatorsChangeRightAfterAnOutage(t *testing.T) {
	t.Parallel()
	p := standardPlan()
	p.workersPerPool = 1
	c := newCluster(t, p)
	w := c.shareWriter("trail")
	w.assertInForce(c.entries[0], w.change(c.entries[0]))
	for range 10 {
		c.faults(store.Faults{Outage: store.OutageRefuse})
		c.faults(store.Faults{})
		w.change(c.entries[0])
	}
}
