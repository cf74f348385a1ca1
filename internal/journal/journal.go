package journal

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/jaybarrow/jaybarrow"
)

// Entry is one decision on a subject and its reason.
type Entry struct {
	Subject  jaybarrow.Subject `json:"subject"`
	At       time.Time         `json:"at"`
	Decision string            `json:"decision"`
	Reason   string            `json:"reason"`
}

const (
	// shardCount reduces lock contention between goroutines that record decisions on different subjects.
	shardCount = 16
	// maxTextBytes bounds the decision and the reason of an entry, and so its memory; a reason is one short line.
	maxTextBytes = 240
)

// Journal holds the latest decisions in memory and is safe for concurrent use.
type Journal struct {
	clock  jaybarrow.Clock
	shards [shardCount]ring
}

// ring is one shard; it holds up to capacity entries.
type ring struct {
	sync.Mutex
	entries  []Entry
	capacity int
	next     int // index of the oldest entry once the ring is full, and 0 before
}

// New returns an empty Journal of at most totalEntries entries, rounded up to a multiple of shardCount.
func New(clock jaybarrow.Clock, totalEntries int) *Journal {
	j := &Journal{clock: clock}
	for i := range j.shards {
		j.shards[i].capacity = max(1, (totalEntries+shardCount-1)/shardCount)
	}
	return j
}

func (j *Journal) shard(s jaybarrow.Subject) *ring {
	return &j.shards[xxhash.Sum64String(string(s.Kind)+"/"+s.ID)%shardCount]
}

// Note records a decision on the subject; it truncates long texts and may drop the oldest decision of the shard.
func (j *Journal) Note(subject jaybarrow.Subject, decision, reason string) {
	entry := Entry{Subject: subject, At: j.clock.Now(), Decision: truncate(decision), Reason: truncate(reason)}
	r := j.shard(subject)
	r.Lock()
	defer r.Unlock()
	if len(r.entries) < r.capacity {
		r.entries = append(r.entries, entry)
		return
	}
	r.entries[r.next] = entry
	r.next = (r.next + 1) % r.capacity
}

// About returns the decisions on the subject that have not been dropped yet, oldest first.
func (j *Journal) About(subject jaybarrow.Subject) []Entry {
	r := j.shard(subject)
	found := []Entry{}
	r.Lock()
	defer r.Unlock()
	for i := range r.entries {
		if e := r.entries[(r.next+i)%len(r.entries)]; e.Subject == subject {
			found = append(found, e)
		}
	}
	return found
}

func truncate(text string) string {
	if len(text) <= maxTextBytes {
		return text
	}
	return text[:maxTextBytes]
}
