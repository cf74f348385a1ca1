package catalog

import (
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/internal/notify"
)

// Catalog is the newest known configuration with its indexes; versions never go back.
type Catalog struct {
	current   atomic.Pointer[index]
	confirmed atomic.Int64 // ns since base; when the configuration was last known to be the newest
	base      time.Time
	lock      sync.Mutex // serializes Apply
	changed   *notify.Notifier
}

type index struct {
	configuration *jaybarrow.Configuration
	queues        map[jaybarrow.QueueID]*jaybarrow.JobQueue
	byHost        map[string][]*jaybarrow.JobQueue // longest prefix first
	teams         map[jaybarrow.KeyHash]jaybarrow.TeamID
	terms         map[jaybarrow.TeamID]jaybarrow.JobTeam
	pools         map[jaybarrow.PoolID]jaybarrow.JobPool
}

// New returns an empty Catalog; now is the origin of its times.
func New(now time.Time) *Catalog { return &Catalog{base: now, changed: notify.New()} }

// Apply takes a configuration unless it is older than the one in force; it reports whether it was taken.
func (c *Catalog) Apply(configuration *jaybarrow.Configuration) bool {
	c.lock.Lock()
	defer c.lock.Unlock()
	if old := c.current.Load(); old != nil && configuration.Version <= old.configuration.Version {
		return false
	}
	c.current.Store(newIndex(configuration))
	c.changed.Signal()
	return true
}

// Confirm notes that the configuration in force was the newest at the time.
func (c *Catalog) Confirm(at time.Time) {
	for {
		old, now := c.confirmed.Load(), int64(at.Sub(c.base))
		if now <= old || c.confirmed.CompareAndSwap(old, now) {
			return
		}
	}
}

// Age returns how long ago the configuration was known to be the newest; false when none is known.
func (c *Catalog) Age(now time.Time) (time.Duration, bool) {
	if c.current.Load() == nil {
		return 0, false
	}
	return now.Sub(c.base) - time.Duration(c.confirmed.Load()), true
}

// Changed returns a channel that is closed at the next change.
func (c *Catalog) Changed() <-chan struct{} { return c.changed.Changed() }

// Configuration returns the configuration in force, or nil.
func (c *Catalog) Configuration() *jaybarrow.Configuration {
	if i := c.current.Load(); i != nil {
		return i.configuration
	}
	return nil
}

// Find returns the queue with the longest prefix that the path begins with, and the rest of the path.
func (c *Catalog) Find(host, path string) (*jaybarrow.JobQueue, string, bool) {
	i := c.current.Load()
	if i == nil {
		return nil, "", false
	}
	for _, q := range i.byHost[host] {
		if rest, ok := strings.CutPrefix(path, q.Prefix); ok {
			return q, rest, true
		}
	}
	return nil, "", false
}

// Queue returns a queue by its id.
func (c *Catalog) Queue(id jaybarrow.QueueID) (*jaybarrow.JobQueue, bool) {
	i := c.current.Load()
	if i == nil {
		return nil, false
	}
	q, ok := i.queues[id]
	return q, ok
}

// Team returns the team that a key belongs to.
func (c *Catalog) Team(key jaybarrow.KeyHash) (jaybarrow.TeamID, bool) {
	i := c.current.Load()
	if i == nil {
		return "", false
	}
	t, ok := i.teams[key]
	return t, ok
}

// Limit returns what a team may have running; false when the team is not configured, so that nothing binds it.
func (c *Catalog) Limit(team jaybarrow.TeamID) (jaybarrow.Resources, bool) {
	i := c.current.Load()
	if i == nil {
		return jaybarrow.Resources{}, false
	}
	t, ok := i.terms[team]
	return t.Limit, ok
}

// Share returns the team's relative part of a full pool; 0 when the team is not configured.
func (c *Catalog) Share(team jaybarrow.TeamID) jaybarrow.Share {
	i := c.current.Load()
	if i == nil {
		return 0
	}
	return i.terms[team].Share
}

// Pool returns a pool by its id.
func (c *Catalog) Pool(id jaybarrow.PoolID) (jaybarrow.JobPool, bool) {
	i := c.current.Load()
	if i == nil {
		return jaybarrow.JobPool{}, false
	}
	p, ok := i.pools[id]
	return p, ok
}

func newIndex(c *jaybarrow.Configuration) *index {
	i := &index{
		configuration: c, queues: make(map[jaybarrow.QueueID]*jaybarrow.JobQueue, len(c.Queues)),
		byHost: make(map[string][]*jaybarrow.JobQueue), teams: make(map[jaybarrow.KeyHash]jaybarrow.TeamID),
		terms: make(map[jaybarrow.TeamID]jaybarrow.JobTeam), pools: make(map[jaybarrow.PoolID]jaybarrow.JobPool),
	}
	for n := range c.Queues {
		q := &c.Queues[n]
		i.queues[q.ID] = q
		i.byHost[q.Host] = append(i.byHost[q.Host], q)
	}
	for _, queues := range i.byHost {
		slices.SortFunc(queues, func(a, b *jaybarrow.JobQueue) int { return len(b.Prefix) - len(a.Prefix) })
	}
	for _, t := range c.Teams {
		i.terms[t.ID] = t
		for _, k := range t.Keys {
			i.teams[k] = t.ID
		}
	}
	for _, p := range c.Pools {
		i.pools[p.ID] = p
	}
	return i
}
