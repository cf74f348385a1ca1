package store

import (
	"sort"
	"strings"

	"github.com/jaybarrow/jaybarrow"
)

// Revision returns the revision of the newest change.
func (c *Core) Revision() jaybarrow.Revision {
	c.Lock()
	defer c.Unlock()
	return c.revision
}

// Log returns every accepted write and deletion of keys with the prefix, by ascending revision.
func (c *Core) Log(prefix jaybarrow.Key) []Change {
	c.Lock()
	defer c.Unlock()
	list := []Change{}
	for _, change := range c.log {
		if strings.HasPrefix(string(change.Key), string(prefix)) {
			list = append(list, change)
		}
	}
	return list
}

// Compact makes watches from earlier revisions fail. Log still returns every change.
func (c *Core) Compact(revision jaybarrow.Revision) {
	c.Lock()
	defer c.Unlock()
	c.compactRevision = max(c.compactRevision, min(revision, c.revision))
}

// Compacted returns the lowest revision from which a watch can start.
func (c *Core) Compacted() jaybarrow.Revision {
	c.Lock()
	defer c.Unlock()
	return c.compactRevision
}

// Past returns the records that selected accepts, sorted by key, as they were revisionsAgo before the current revision, and
// the revision that it read.
func (c *Core) Past(revisionsAgo jaybarrow.Revision, selected func(jaybarrow.Key) bool) ([]jaybarrow.Record, jaybarrow.Revision) {
	c.Lock()
	defer c.Unlock()
	c.expire()
	at := max(firstRevision, c.revision-revisionsAgo)
	records := make(map[jaybarrow.Key]jaybarrow.Record)
	for _, change := range c.log {
		if change.Revision > at {
			break
		}
		if change.Deleted {
			delete(records, change.Key)
		} else if selected(change.Key) {
			records[change.Key] = change.record()
		}
	}
	return sortByKey(records), at
}

// Current returns the records that selected accepts, sorted by key, and the revision of the store.
func (c *Core) Current(selected func(jaybarrow.Key) bool) ([]jaybarrow.Record, jaybarrow.Revision) {
	c.Lock()
	defer c.Unlock()
	c.expire()
	records := make(map[jaybarrow.Key]jaybarrow.Record)
	for key, e := range c.records {
		if selected(key) {
			records[key] = e.record
		}
	}
	return sortByKey(records), c.revision
}

func sortByKey(records map[jaybarrow.Key]jaybarrow.Record) []jaybarrow.Record {
	list := make([]jaybarrow.Record, 0, len(records))
	for _, r := range records {
		list = append(list, r)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Key < list[j].Key })
	return list
}
