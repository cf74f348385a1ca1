package etcd

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"

	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/internal/notify"
)

// ConditionsDeps are what Conditions depends on.
type ConditionsDeps struct {
	Clock    jaybarrow.Clock
	Log      zerolog.Logger
	Hosts    jaybarrow.HostList
	Interval time.Duration
}

// Conditions polls the platform's lagging list and keeps the last one known.
type Conditions struct {
	deps  ConditionsDeps
	stop  context.CancelFunc
	group conc.WaitGroup
	news  *notify.Notifier

	lock  sync.RWMutex // the list is replaced as a whole, so that readers never see half of it
	known map[string]noticed
	asked time.Time // when the known list was asked for; zero before the first
}

var _ jaybarrow.HostConditions = (*Conditions)(nil)

// noticed is a condition with the local time of the first list that said it.
type noticed struct {
	condition jaybarrow.HostCondition
	since     time.Time
}

// NewConditions returns a polling Conditions that knows no host yet.
func NewConditions(deps ConditionsDeps) *Conditions {
	ctx, stop := context.WithCancel(context.Background())
	c := &Conditions{deps: deps, stop: stop, news: notify.New(), known: make(map[string]noticed)}
	c.group.Go(func() { c.run(ctx) })
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
		asked := c.deps.Clock.Now()
		list, err := c.deps.Hosts.Hosts(ctx)
		if err == nil {
			c.replace(list, asked, c.deps.Clock.Now())
		} else if !failing && ctx.Err() == nil {
			c.deps.Log.Warn().Err(err).Msg("the platform's host list cannot be read; the last one stays in force")
		}
		failing = err != nil
		select {
		case <-ctx.Done():
			return
		case <-c.deps.Clock.After(c.deps.Interval):
		}
	}
}

func (c *Conditions) replace(list []jaybarrow.HostNotice, asked, now time.Time) {
	c.lock.Lock()
	next := make(map[string]noticed, len(list))
	changed := len(list) != len(c.known)
	for _, n := range list {
		old, ok := c.known[n.Host]
		if !ok || old.condition != n.Condition {
			old, changed = noticed{n.Condition, now}, true
		}
		next[n.Host] = old
	}
	c.known, c.asked = next, asked
	c.lock.Unlock()
	if changed {
		c.news.Signal()
	}
}

func (c *Conditions) get(name string) (noticed, bool) {
	c.lock.RLock()
	defer c.lock.RUnlock()
	n, ok := c.known[name]
	return n, ok
}

// Condition returns the last known condition; HostLive when the name is not listed.
func (c *Conditions) Condition(name string) jaybarrow.HostCondition {
	if n, ok := c.get(name); ok {
		return n.condition
	}
	return jaybarrow.HostLive
}

// GoneFor returns the local time since the list first said that the host is gone, without a list in between that did not.
func (c *Conditions) GoneFor(name string) (time.Duration, bool) {
	n, ok := c.get(name)
	if !ok || n.condition != jaybarrow.HostGone {
		return 0, false
	}
	return c.deps.Clock.Now().Sub(n.since), true
}

// ReadAt returns the local time at which the last list that could be read was asked for.
func (c *Conditions) ReadAt() time.Time {
	c.lock.RLock()
	defer c.lock.RUnlock()
	return c.asked
}

// Changed returns a channel that is closed at the next change.
func (c *Conditions) Changed() <-chan struct{} { return c.news.Changed() }
