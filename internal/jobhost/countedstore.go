package jobhost

import (
	"context"

	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/internal/jobmetrics"
)

// countedStore is a JobStore that counts the outcomes of reads, lists, writes and lease renewals in the metrics.
type countedStore struct {
	jaybarrow.JobStore
	metrics *jobmetrics.Metrics
}

func (s countedStore) count(call string, err error) {
	outcome := "ok"
	if err != nil {
		outcome = string(jaybarrow.AsError(err).Kind)
	}
	s.metrics.Count("store." + call + "." + outcome)
}

// Get reads a record and counts the outcome.
func (s countedStore) Get(ctx context.Context, key jaybarrow.Key) (jaybarrow.Record, error) {
	r, err := s.JobStore.Get(ctx, key)
	s.count("get", err)
	return r, err
}

// ListPage lists a page of records and counts the outcome.
func (s countedStore) ListPage(ctx context.Context, prefix, after jaybarrow.Key) (jaybarrow.Page[jaybarrow.Record], error) {
	page, err := s.JobStore.ListPage(ctx, prefix, after)
	s.count("list", err)
	return page, err
}

// Commit writes the changes and counts the outcome.
func (s countedStore) Commit(ctx context.Context, changes jaybarrow.Commit) (jaybarrow.Revision, error) {
	at, err := s.JobStore.Commit(ctx, changes)
	s.count("commit", err)
	return at, err
}

// KeepAlive renews a lease and counts the outcome.
func (s countedStore) KeepAlive(ctx context.Context, lease jaybarrow.LeaseID) error {
	err := s.JobStore.KeepAlive(ctx, lease)
	s.count("keepAlive", err)
	return err
}
