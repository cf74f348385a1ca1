package directory

import (
	"context"

	"github.com/jaybarrow/jaybarrow"
)

// WriteThrough is a Store that applies what it has read and written to the Directory at once. Without it, an accepted change
// would be missing from every copy during an outage of the store that starts before its watches deliver the change; with it,
// peers fetch the change from the entry host that made it.
type WriteThrough struct {
	jaybarrow.Store
	directory *Directory
}

var _ jaybarrow.Store = (*WriteThrough)(nil)

// NewWriteThrough returns a WriteThrough in front of the store.
func NewWriteThrough(store jaybarrow.Store, d *Directory) *WriteThrough {
	return &WriteThrough{Store: store, directory: d}
}

// Get reads the record from the store and applies it to the Directory.
func (w *WriteThrough) Get(ctx context.Context, key jaybarrow.Key) (jaybarrow.Record, error) {
	record, err := w.Store.Get(ctx, key)
	if err == nil {
		w.apply(record)
	}
	return record, err
}

// CompareAndSwap writes to the store and applies an accepted change to the Directory.
func (w *WriteThrough) CompareAndSwap(ctx context.Context, key jaybarrow.Key, previous jaybarrow.Revision, value []byte, lease jaybarrow.LeaseID) (jaybarrow.Revision, error) {
	revision, err := w.Store.CompareAndSwap(ctx, key, previous, value, lease)
	if err == nil {
		w.apply(jaybarrow.Record{Key: key, Value: value, Revision: revision})
	}
	return revision, err
}

// Delete deletes the record from the store and applies an accepted deletion to the Directory.
func (w *WriteThrough) Delete(ctx context.Context, key jaybarrow.Key, previous jaybarrow.Revision) (jaybarrow.Revision, error) {
	revision, err := w.Store.Delete(ctx, key, previous)
	if err == nil {
		w.apply(jaybarrow.Record{Key: key, Revision: revision, Deleted: true})
	}
	return revision, err
}

// apply applies a single record. Its reached revision is 0, since one record does not show which other changes precede it. A
// record that cannot be decoded is left out here, and reported when the watch delivers it.
func (w *WriteThrough) apply(record jaybarrow.Record) {
	_ = w.directory.Apply([]jaybarrow.Record{record}, 0)
}
