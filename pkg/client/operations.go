package client

import (
	"context"
	"net/http"
	"strconv"

	"github.com/jaybarrow/jaybarrow"
)

// Drains lists the drains of each pool.
func (c *Client) Drains(ctx context.Context) ([]Drains, error) {
	return get[[]Drains](ctx, c, "/v1/drains")
}

// BeginDrain begins to drain a host; moveTo is only for a move.
func (c *Client) BeginDrain(ctx context.Context, host jaybarrow.HostID, purpose jaybarrow.DrainPurpose, moveTo jaybarrow.PoolID) (Changed, error) {
	return change[Changed](ctx, c, http.MethodPost, "/v1/drains", noRevision, map[string]any{"host": host, "purpose": purpose, "moveTo": moveTo})
}

// EndDrain returns a host to service.
func (c *Client) EndDrain(ctx context.Context, host jaybarrow.HostID) (Changed, error) {
	return change[Changed](ctx, c, http.MethodDelete, at("/v1/drains", host), noRevision, nil)
}

// BeginWave requests a maintenance wave over a pool.
func (c *Client) BeginWave(ctx context.Context, pool jaybarrow.PoolID) (Changed, error) {
	return change[Changed](ctx, c, http.MethodPost, "/v1/waves", noRevision, map[string]any{"pool": pool})
}

// Status says where a revision is in force; 0 means the newest one that the entry host knows.
func (c *Client) Status(ctx context.Context, revision jaybarrow.Revision) (ConfigurationStatus, error) {
	return get[ConfigurationStatus](ctx, c, "/v1/status?revision="+strconv.FormatInt(int64(revision), 10))
}

// EntryHosts lists the registered entry hosts.
func (c *Client) EntryHosts(ctx context.Context) ([]EntryHost, error) {
	return get[[]EntryHost](ctx, c, "/v1/entries")
}

// Loads lists the loads of the pools.
func (c *Client) Loads(ctx context.Context) ([]Load, error) { return get[[]Load](ctx, c, "/v1/loads") }

// Measures returns the measures.
func (c *Client) Measures(ctx context.Context) (Measures, error) {
	return get[Measures](ctx, c, "/v1/measures")
}

// Explain returns the decisions on a subject that the entry host still holds.
func (c *Client) Explain(ctx context.Context, subject jaybarrow.Subject) (Explanation, error) {
	return get[Explanation](ctx, c, at(at("/v1/explain", subject.Kind), subject.ID))
}
