package directory

import (
	"encoding/json"
	"fmt"
	"strings"

	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/internal/notify"
	"github.com/jaybarrow/jaybarrow/internal/shard"
)

// Versioned is a value, or the deletion of one, with the revision of its last change.
type Versioned[V any] struct {
	Value    V
	Revision jaybarrow.Revision
	Deleted  bool // Value is empty; the deletion is kept so that an older copy cannot restore the record

	raw []byte // the encoded value, for peers
}

// Table is the local copy of the records below one prefix.
type Table[K ~string, V any] struct {
	prefix  jaybarrow.Key
	records *shard.Map[K, Versioned[V]]
	notify  *notify.Notifier
}

func newTable[K ~string, V any](prefix jaybarrow.Key) *Table[K, V] {
	return &Table[K, V]{prefix: prefix, records: shard.New[K, Versioned[V]](), notify: notify.New()}
}

// Get returns the value of the record, or false when there is none.
func (t *Table[K, V]) Get(id K) (V, bool) {
	v, ok := t.records.Get(id)
	return v.Value, ok && !v.Deleted
}

// Versioned returns the value with its revision; the revision is 0 when there is no value, also after a deletion.
func (t *Table[K, V]) Versioned(id K) Versioned[V] {
	v, ok := t.records.Get(id)
	if !ok || v.Deleted {
		return Versioned[V]{}
	}
	return v
}

// Each calls visit for every value.
func (t *Table[K, V]) Each(visit func(id K, value V)) {
	t.records.Each(func(id K, v Versioned[V]) {
		if !v.Deleted {
			visit(id, v.Value)
		}
	})
}

// EachVersioned calls visit for every value and every deletion, with its revision.
func (t *Table[K, V]) EachVersioned(visit func(id K, v Versioned[V])) { t.records.Each(visit) }

// Latest returns the newest value or deletion with its revision; the revision is 0 when there was none.
func (t *Table[K, V]) Latest(id K) Versioned[V] {
	v, _ := t.records.Get(id)
	return v
}

// Changed returns a channel that is closed at the next change of the table.
func (t *Table[K, V]) Changed() <-chan struct{} { return t.notify.Changed() }

// apply applies the record if it belongs to the table and is newer, and reports whether it did.
func (t *Table[K, V]) apply(record jaybarrow.Record) (bool, error) {
	id, ok := strings.CutPrefix(string(record.Key), string(t.prefix))
	if !ok {
		return false, nil
	}
	next := Versioned[V]{Revision: record.Revision, Deleted: record.Deleted, raw: record.Value}
	if !record.Deleted {
		if err := json.Unmarshal(record.Value, &next.Value); err != nil {
			return false, fmt.Errorf("decode record %s at revision %d: %w", record.Key, record.Revision, err)
		}
	}
	applied := false
	t.records.Update(K(id), func(old Versioned[V], _ bool) (Versioned[V], bool) {
		if old.Revision >= next.Revision {
			return old, true
		}
		applied = true
		return next, true
	})
	if applied {
		t.notify.Signal()
	}
	return applied, nil
}

// since returns the records that changed after the revision, deletions included.
func (t *Table[K, V]) since(after jaybarrow.Revision) []jaybarrow.Record {
	var newer []jaybarrow.Record
	t.records.Each(func(id K, v Versioned[V]) {
		if v.Revision > after {
			newer = append(newer, jaybarrow.Record{
				Key: t.prefix + jaybarrow.Key(id), Value: v.raw, Revision: v.Revision, Deleted: v.Deleted,
			})
		}
	})
	return newer
}

// deletionsFor returns a deletion with the given revision for each value that is older and whose key is not listed.
func (t *Table[K, V]) deletionsFor(listed map[jaybarrow.Key]bool, at jaybarrow.Revision) []jaybarrow.Record {
	var deletions []jaybarrow.Record
	t.records.Each(func(id K, v Versioned[V]) {
		key := t.prefix + jaybarrow.Key(id)
		if !v.Deleted && v.Revision < at && !listed[key] {
			deletions = append(deletions, jaybarrow.Record{Key: key, Revision: at, Deleted: true})
		}
	})
	return deletions
}
