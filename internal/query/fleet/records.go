package fleet

import (
	"context"
	"sort"

	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/internal/directory"
)

// Everything asks for all records of a kind.
type Everything struct{}

// All lists the records of one kind, in order of id.
type All[K ~string, V, View any] struct {
	one One[K, V, View]
}

// One finds one record by its id.
type One[K ~string, V, View any] struct {
	table *directory.Table[K, V]
	noun  string
	view  func(K, directory.Versioned[V]) View
}

// Answer returns the records.
func (q *All[K, V, View]) Answer(context.Context, Everything) ([]View, error) {
	var ids []K
	q.one.table.Each(func(id K, _ V) { ids = append(ids, id) })
	sort.Slice(ids, func(i, j int) bool { return ids[i] < ids[j] })
	views := make([]View, 0, len(ids))
	for _, id := range ids {
		if v := q.one.table.Versioned(id); v.Revision > 0 {
			views = append(views, q.one.view(id, v))
		}
	}
	return views, nil
}

// Answer returns the record, or KindNotFound.
func (q *One[K, V, View]) Answer(_ context.Context, id K) (View, error) {
	v := q.table.Versioned(id)
	if v.Revision == 0 {
		var none View
		return none, jaybarrow.Errorf(jaybarrow.KindNotFound, "no %s %s", q.noun, id)
	}
	return q.view(id, v), nil
}

// pair returns both queries of one kind of records.
func pair[K ~string, V, View any](table *directory.Table[K, V], noun string, view func(K, directory.Versioned[V]) View) (*All[K, V, View], *One[K, V, View]) {
	one := One[K, V, View]{table, noun, view}
	return &All[K, V, View]{one}, &one
}
