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

// Catalog is the newest known configuration with its indexes. Its version never decreases.
type Catalog struct {
	current   atomic.Pointer[index]
	confirmed atomic.Int64 // when the configuration was last known to be the newest, in ns since base
	base      time.Time
	lock      sync.Mutex // serializes Apply
	changed   *notify.Notifier
}

type index struct {
	configuration *jaybarrow.Configuration
	queues        map[jaybarrow.QueueID]*jaybarrow.JobQueue
	queuesByHost  map[string][]*jaybarrow.JobQueue // longest prefix first
	teamIDs       map[jaybarrow.KeyHash]jaybarrow.TeamID
	teamsByID     map[jaybarrow.TeamID]jaybarrow.JobTeam
	pools         map[jaybarrow.PoolID]jaybarrow.JobPool
	leastShare    jaybarrow.Share
}

// New returns an empty Catalog, which stores its times relative to now.
func New(now time.Time) *Catalog { return &Catalog{base: now, changed: notify.New()} }

// Apply replaces the configuration in force if the given one is newer, and reports whether it did.
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

// Confirm records that the configuration in force was the newest one at the given time.
func (c *Catalog) Confirm(at time.Time) {
	for {
		old, now := c.confirmed.Load(), int64(at.Sub(c.base))
		if now <= old || c.confirmed.CompareAndSwap(old, now) {
			return
		}
	}
}

// Age returns how long ago the configuration was last known to be the newest. It returns false when there is none.
func (c *Catalog) Age(now time.Time) (time.Duration, bool) {
	if c.current.Load() == nil {
		return 0, false
	}
	return now.Sub(c.base) - time.Duration(c.confirmed.Load()), true
}

// Changed returns a channel that is closed at the next change of the configuration.
func (c *Catalog) Changed() <-chan struct{} { return c.changed.Changed() }

// Configuration returns the configuration in force, or nil when there is none.
func (c *Catalog) Configuration() *jaybarrow.Configuration {
	if i := c.current.Load(); i != nil {
		return i.configuration
	}
	return nil
}

// Find returns the queue of the host with the longest prefix of the path, and the rest of the path.
func (c *Catalog) Find(host, path string) (*jaybarrow.JobQueue, string, bool) {
	i := c.current.Load()
	if i == nil {
		return nil, "", false
	}
	for _, q := range i.queuesByHost[host] {
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
	t, ok := i.teamIDs[key]
	return t, ok
}

// Limit returns the resources that a team's running jobs may use. It returns false when the team is not configured and
// therefore has no limit.
func (c *Catalog) Limit(team jaybarrow.TeamID) (jaybarrow.Resources, bool) {
	i := c.current.Load()
	if i == nil {
		return jaybarrow.Resources{}, false
	}
	t, ok := i.teamsByID[team]
	return t.Limit, ok
}

// Share returns the team's relative share of a full pool, or 0 when the team is not configured.
func (c *Catalog) Share(team jaybarrow.TeamID) jaybarrow.Share {
	i := c.current.Load()
	if i == nil {
		return 0
	}
	return i.teamsByID[team].Share
}

// LeastShare returns the smallest positive share of a team, or 0 when no team has one.
func (c *Catalog) LeastShare() jaybarrow.Share {
	if i := c.current.Load(); i != nil {
		return i.leastShare
	}
	return 0
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
		queuesByHost: make(map[string][]*jaybarrow.JobQueue), teamIDs: make(map[jaybarrow.KeyHash]jaybarrow.TeamID),
		teamsByID: make(map[jaybarrow.TeamID]jaybarrow.JobTeam), pools: make(map[jaybarrow.PoolID]jaybarrow.JobPool),
	}
	for n := range c.Queues {
		q := &c.Queues[n]
		i.queues[q.ID] = q
		i.queuesByHost[q.Host] = append(i.queuesByHost[q.Host], q)
	}
	for _, queues := range i.queuesByHost {
		slices.SortFunc(queues, func(a, b *jaybarrow.JobQueue) int { return len(b.Prefix) - len(a.Prefix) })
	}
	for _, t := range c.Teams {
		i.teamsByID[t.ID] = t
		if t.Share > 0 && (i.leastShare == 0 || t.Share < i.leastShare) {
			i.leastShare = t.Share
		}
		for _, k := range t.Keys {
			i.teamIDs[k] = t.ID
		}
	}
	for _, p := range c.Pools {
		i.pools[p.ID] = p
	}
	return i
}
