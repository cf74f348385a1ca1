package gateway

import (
	"bytes"

	"github.com/jaybarrow/jaybarrow"
)

// PrefixEnd returns the range end that selects every key below the prefix; "\x00" selects all keys from the prefix onwards.
func PrefixEnd(prefix []byte) []byte {
	end := bytes.Clone(prefix)
	for i := len(end) - 1; i >= 0; i-- {
		if end[i] < 0xff {
			end[i]++
			return end[:i+1]
		}
	}
	return []byte{0}
}

// NewKeyValue returns the record as a KeyValue.
func NewKeyValue(r jaybarrow.Record) KeyValue {
	return KeyValue{Key: []byte(r.Key), Value: r.Value, ModRevision: r.Revision}
}

// Record returns the KeyValue as a record.
func (kv KeyValue) Record() jaybarrow.Record {
	return jaybarrow.Record{Key: jaybarrow.Key(kv.Key), Value: kv.Value, Revision: kv.ModRevision}
}

// Record returns the event as a record.
func (e Event) Record() jaybarrow.Record {
	if e.Type == EventDelete {
		return jaybarrow.Record{Key: jaybarrow.Key(e.Kv.Key), Revision: e.Kv.ModRevision, Deleted: true}
	}
	return e.Kv.Record()
}

// NewEvent returns the change of a record as an Event.
func NewEvent(r jaybarrow.Record) Event {
	if r.Deleted {
		return Event{Type: EventDelete, Kv: KeyValue{Key: []byte(r.Key), ModRevision: r.Revision}}
	}
	return Event{Kv: NewKeyValue(r)}
}
