package fleet

import (
	"context"
	"sort"

	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/internal/directory"
)

// AllRecords asks for all records of a kind.
type AllRecords struct{}

// ListHandler returns all records of one kind, in order of id.
type ListHandler[K ~string, V, View any] struct {
	getter GetHandler[K, V, View]
}

// GetHandler returns one record by its id.
type GetHandler[K ~string, V, View any] struct {
	table *directory.Table[K, V]
	noun  string                               // name of the kind of record in error messages
	view  func(K, directory.Versioned[V]) View // converts a record to its result
}

// Answer returns the records.
func (q *ListHandler[K, V, View]) Answer(context.Context, AllRecords) ([]View, error) {
	var ids []K
	q.getter.table.Each(func(id K, _ V) { ids = append(ids, id) })
	sort.Slice(ids, func(i, j int) bool { return ids[i] < ids[j] })
	views := make([]View, 0, len(ids))
	for _, id := range ids {
		if v := q.getter.table.Versioned(id); v.Revision > 0 {
			views = append(views, q.getter.view(id, v))
		}
	}
	return views, nil
}

// Answer returns the record, or KindNotFound.
func (q *GetHandler[K, V, View]) Answer(_ context.Context, id K) (View, error) {
	v := q.table.Versioned(id)
	if v.Revision == 0 {
		var none View
		return none, jaybarrow.Errorf(jaybarrow.KindNotFound, "no %s %s", q.noun, id)
	}
	return q.view(id, v), nil
}

// newHandlers returns the handlers of the queries for all records and for one record of a kind.
func newHandlers[K ~string, V, View any](table *directory.Table[K, V], noun string, view func(K, directory.Versioned[V]) View) (*ListHandler[K, V, View], *GetHandler[K, V, View]) {
	getter := GetHandler[K, V, View]{table, noun, view}
	return &ListHandler[K, V, View]{getter}, &getter
}
