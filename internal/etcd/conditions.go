package etcd

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/internal/notify"
	"github.com/jaybarrow/jaybarrow/internal/rungroup"
)

// ConditionsDeps are what Conditions depends on.
type ConditionsDeps struct {
	Clock    jaybarrow.Clock
	Log      zerolog.Logger
	Hosts    jaybarrow.HostList
	Interval time.Duration
	OnFault  rungroup.Handler // called when a background part fails; nil crashes the process
}

// Conditions polls the platform's list of hosts and keeps the last one that was read.
type Conditions struct {
	deps     ConditionsDeps
	stop     context.CancelFunc
	group    *rungroup.Group
	notifier *notify.Notifier

	lock     sync.RWMutex // the list is replaced as a whole, so that readers never see a part of it
	reported map[string]reportedCondition
	readAt   time.Time // when the last successful read started; zero before the first
}

var _ jaybarrow.HostConditions = (*Conditions)(nil)

// reportedCondition is a condition with the local time at which the first list that contains it was read.
type reportedCondition struct {
	condition jaybarrow.HostCondition
	since     time.Time
}

// NewConditions returns a Conditions that has started to poll and lists no host yet.
func NewConditions(deps ConditionsDeps) *Conditions {
	ctx, stop := context.WithCancel(context.Background())
	c := &Conditions{deps: deps, group: rungroup.New(deps.OnFault), stop: stop, notifier: notify.New(), reported: make(map[string]reportedCondition)}
	c.group.Keep(ctx, "conditions of hosts", func() error { c.run(ctx); return nil })
	return c
}

// Close stops polling.
func (c *Conditions) Close() {
	c.stop()
	c.group.Wait()
}

func (c *Conditions) run(ctx context.Context) {
	failing := false
	for {
		readAt := c.deps.Clock.Now()
		list, err := c.deps.Hosts.Hosts(ctx)
		if err == nil {
			c.setList(list, readAt, c.deps.Clock.Now())
		} else if !failing && ctx.Err() == nil {
			c.deps.Log.Warn().Err(err).Msg("cannot read the platform's host list; keeping the last one")
		}
		failing = err != nil
		select {
		case <-ctx.Done():
			return
		case <-c.deps.Clock.After(c.deps.Interval):
		}
	}
}

func (c *Conditions) setList(list []jaybarrow.HostNotice, readAt, now time.Time) {
	c.lock.Lock()
	next := make(map[string]reportedCondition, len(list))
	changed := len(list) != len(c.reported)
	for _, n := range list {
		old, ok := c.reported[n.Host]
		if !ok || old.condition != n.Condition {
			old, changed = reportedCondition{n.Condition, now}, true
		}
		next[n.Host] = old
	}
	c.reported, c.readAt = next, readAt
	c.lock.Unlock()
	if changed {
		c.notifier.Signal()
	}
}

func (c *Conditions) get(name string) (reportedCondition, bool) {
	c.lock.RLock()
	defer c.lock.RUnlock()
	n, ok := c.reported[name]
	return n, ok
}

// Condition returns the last reported condition; HostLive when the name is not listed.
func (c *Conditions) Condition(name string) jaybarrow.HostCondition {
	if n, ok := c.get(name); ok {
		return n.condition
	}
	return jaybarrow.HostLive
}

// GoneFor returns for how long, by the local clock, every list has reported HostGone for the name; false when the last did not.
func (c *Conditions) GoneFor(name string) (time.Duration, bool) {
	n, ok := c.get(name)
	if !ok || n.condition != jaybarrow.HostGone {
		return 0, false
	}
	return c.deps.Clock.Now().Sub(n.since), true
}

// ReadAt returns the local time at which the last successful read of the list started; the zero time before the first.
func (c *Conditions) ReadAt() time.Time {
	c.lock.RLock()
	defer c.lock.RUnlock()
	return c.readAt
}

// Changed returns a channel that is closed at the next change.
func (c *Conditions) Changed() <-chan struct{} { return c.notifier.Changed() }
