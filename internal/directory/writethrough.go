package directory

import (
	"context"

	"github.com/jaybarrow/jaybarrow"
)

// WriteThrough is a Store that puts what it has read and written into the Directory at once. Without it an accepted change
// would be lost to every copy while the store is down when the store fails before its watches deliver the change; with it the
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

// Get reads from the store.
func (w *WriteThrough) Get(ctx context.Context, key jaybarrow.Key) (jaybarrow.Record, error) {
	record, err := w.Store.Get(ctx, key)
	if err == nil {
		w.apply(record)
	}
	return record, err
}

// CompareAndSwap writes to the store.
func (w *WriteThrough) CompareAndSwap(ctx context.Context, key jaybarrow.Key, previous jaybarrow.Revision, value []byte, lease jaybarrow.LeaseID) (jaybarrow.Revision, error) {
	revision, err := w.Store.CompareAndSwap(ctx, key, previous, value, lease)
	if err == nil {
		w.apply(jaybarrow.Record{Key: key, Value: value, Revision: revision})
	}
	return revision, err
}

// Delete removes from the store.
func (w *WriteThrough) Delete(ctx context.Context, key jaybarrow.Key, previous jaybarrow.Revision) (jaybarrow.Revision, error) {
	revision, err := w.Store.Delete(ctx, key, previous)
	if err == nil {
		w.apply(jaybarrow.Record{Key: key, Revision: revision, Deleted: true})
	}
	return revision, err
}

// apply takes one record, which says nothing of other changes. A record that cannot be decoded is left out, and reported when
// the watch delivers it.
func (w *WriteThrough) apply(record jaybarrow.Record) {
	_ = w.directory.Apply([]jaybarrow.Record{record}, 0)
}
