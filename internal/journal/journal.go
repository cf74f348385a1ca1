package journal

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/jaybarrow/jaybarrow"
)

// Entry is one decision.
type Entry struct {
	Subject  jaybarrow.Subject `json:"subject"`
	At       time.Time         `json:"at"`
	Decision string            `json:"decision"`
	Reason   string            `json:"reason"`
}

const (
	// shardCount keeps threads that note decisions on different subjects from meeting on one lock.
	shardCount = 16
	// maxText bounds the memory of one entry; a reason is one short line.
	maxText = 240
)

// Journal holds the latest decisions.
type Journal struct {
	clock  jaybarrow.Clock
	shards [shardCount]ring
}

// ring holds the latest entries of one shard; next is the oldest one once the ring is full.
type ring struct {
	sync.Mutex
	entries []Entry
	size    int
	next    int
}

// New returns an empty Journal of at most total entries, rounded up to a multiple of the number of shards.
func New(clock jaybarrow.Clock, total int) *Journal {
	j := &Journal{clock: clock}
	for i := range j.shards {
		j.shards[i].size = max(1, (total+shardCount-1)/shardCount)
	}
	return j
}

func (j *Journal) shard(s jaybarrow.Subject) *ring {
	return &j.shards[xxhash.Sum64String(string(s.Kind)+"/"+s.ID)%shardCount]
}

// Note records a decision on the subject.
func (j *Journal) Note(subject jaybarrow.Subject, decision, reason string) {
	entry := Entry{Subject: subject, At: j.clock.Now(), Decision: shorten(decision), Reason: shorten(reason)}
	r := j.shard(subject)
	r.Lock()
	defer r.Unlock()
	if len(r.entries) < r.size {
		r.entries = append(r.entries, entry)
		return
	}
	r.entries[r.next] = entry
	r.next = (r.next + 1) % r.size
}

// About returns the decisions on the subject that are still held, oldest first.
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

func shorten(text string) string {
	if len(text) <= maxText {
		return text
	}
	return text[:maxText]
}
