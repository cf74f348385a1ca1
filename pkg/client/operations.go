package client

import (
	"context"
	"net/http"
	"strconv"

	"github.com/jaybarrow/jaybarrow"
)

// Drains lists the drains of each pool.
func (c *Client) Drains(ctx context.Context) ([]Drains, error) {
	return getJSON[[]Drains](ctx, c, "/v1/drains")
}

// BeginDrain begins to drain a host; moveTo is the target pool of a move and is empty for other purposes.
func (c *Client) BeginDrain(ctx context.Context, host jaybarrow.HostID, purpose jaybarrow.DrainPurpose, moveTo jaybarrow.PoolID) (Changed, error) {
	return sendJSON[Changed](ctx, c, http.MethodPost, "/v1/drains", noRevision, map[string]any{"host": host, "purpose": purpose, "moveTo": moveTo})
}

// EndDrain ends the drain of a host and returns it to service.
func (c *Client) EndDrain(ctx context.Context, host jaybarrow.HostID) (Changed, error) {
	return sendJSON[Changed](ctx, c, http.MethodDelete, pathTo("/v1/drains", host), noRevision, nil)
}

// BeginWave requests a maintenance wave over a pool.
func (c *Client) BeginWave(ctx context.Context, pool jaybarrow.PoolID) (Changed, error) {
	return sendJSON[Changed](ctx, c, http.MethodPost, "/v1/waves", noRevision, map[string]any{"pool": pool})
}

// Status returns the entry hosts on which a revision is in force; 0 means the newest one that the entry host knows.
func (c *Client) Status(ctx context.Context, revision jaybarrow.Revision) (ConfigurationStatus, error) {
	return getJSON[ConfigurationStatus](ctx, c, "/v1/status?revision="+strconv.FormatInt(int64(revision), 10))
}

// EntryHosts lists the registered entry hosts.
func (c *Client) EntryHosts(ctx context.Context) ([]EntryHost, error) {
	return getJSON[[]EntryHost](ctx, c, "/v1/entries")
}

// Loads lists the load of each pool in each data centre.
func (c *Client) Loads(ctx context.Context) ([]Load, error) {
	return getJSON[[]Load](ctx, c, "/v1/loads")
}

// Measures returns the system's efficiency: spare capacity, host moves, roll-out time and fairness.
func (c *Client) Measures(ctx context.Context) (Measures, error) {
	return getJSON[Measures](ctx, c, "/v1/measures")
}

// Explain returns the decisions on a subject that are still in the journal of the entry host.
func (c *Client) Explain(ctx context.Context, subject jaybarrow.Subject) (Explanation, error) {
	return getJSON[Explanation](ctx, c, pathTo(pathTo("/v1/explain", subject.Kind), subject.ID))
}
