package store

import (
	"sort"
	"strings"

	"github.com/jaybarrow/jaybarrow"
)

// Revision returns the revision of the last change.
func (c *Core) Revision() jaybarrow.Revision {
	c.Lock()
	defer c.Unlock()
	return c.revision
}

// Log returns every accepted write and deletion below the prefix, in order of revision.
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

// Compact makes watches from a revision below the given one impossible; Log keeps everything.
func (c *Core) Compact(revision jaybarrow.Revision) {
	c.Lock()
	defer c.Unlock()
	c.compact = max(c.compact, min(revision, c.revision))
}

// Compacted returns the lowest revision from which a watch can start.
func (c *Core) Compacted() jaybarrow.Revision {
	c.Lock()
	defer c.Unlock()
	return c.compact
}

// Past returns the records that selected accepts as they were the given number of revisions ago, and that revision.
func (c *Core) Past(behind jaybarrow.Revision, selected func(jaybarrow.Key) bool) ([]jaybarrow.Record, jaybarrow.Revision) {
	c.Lock()
	defer c.Unlock()
	c.expire()
	at := max(firstRevision, c.revision-behind)
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
	return sorted(records), at
}

// Current returns the records that selected accepts, and the revision.
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
	return sorted(records), c.revision
}

func sorted(records map[jaybarrow.Key]jaybarrow.Record) []jaybarrow.Record {
	list := make([]jaybarrow.Record, 0, len(records))
	for _, r := range records {
		list = append(list, r)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Key < list[j].Key })
	return list
}
