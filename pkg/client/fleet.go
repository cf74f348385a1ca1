package client

import (
	"context"
	"net/http"

	"github.com/jaybarrow/jaybarrow"
)

// Pools lists the pools.
func (c *Client) Pools(ctx context.Context) ([]Pool, error) {
	return getJSON[[]Pool](ctx, c, "/v1/pools")
}

// Pool returns a pool.
func (c *Client) Pool(ctx context.Context, id jaybarrow.PoolID) (Pool, error) {
	return getJSON[Pool](ctx, c, pathTo("/v1/pools", id))
}

// PutPool creates a pool (revision 0) or replaces it.
func (c *Client) PutPool(ctx context.Context, pool jaybarrow.Pool, revision jaybarrow.Revision) (Changed, error) {
	return sendJSON[Changed](ctx, c, http.MethodPut, pathTo("/v1/pools", pool.ID), revision, pool)
}

// DeletePool deletes a pool that no record refers to.
func (c *Client) DeletePool(ctx context.Context, id jaybarrow.PoolID, revision jaybarrow.Revision) (Changed, error) {
	return sendJSON[Changed](ctx, c, http.MethodDelete, pathTo("/v1/pools", id), revision, nil)
}

// Queues lists the queues.
func (c *Client) Queues(ctx context.Context) ([]Queue, error) {
	return getJSON[[]Queue](ctx, c, "/v1/queues")
}

// Queue returns a queue.
func (c *Client) Queue(ctx context.Context, id jaybarrow.QueueID) (Queue, error) {
	return getJSON[Queue](ctx, c, pathTo("/v1/queues", id))
}

// PutQueue creates a queue (revision 0) or replaces it.
func (c *Client) PutQueue(ctx context.Context, queue jaybarrow.Queue, revision jaybarrow.Revision) (Changed, error) {
	return sendJSON[Changed](ctx, c, http.MethodPut, pathTo("/v1/queues", queue.ID), revision, queue)
}

// DeleteQueue deletes a queue.
func (c *Client) DeleteQueue(ctx context.Context, id jaybarrow.QueueID, revision jaybarrow.Revision) (Changed, error) {
	return sendJSON[Changed](ctx, c, http.MethodDelete, pathTo("/v1/queues", id), revision, nil)
}

// Hosts lists the hosts.
func (c *Client) Hosts(ctx context.Context) ([]Host, error) {
	return getJSON[[]Host](ctx, c, "/v1/hosts")
}

// Host returns a host.
func (c *Client) Host(ctx context.Context, id jaybarrow.HostID) (Host, error) {
	return getJSON[Host](ctx, c, pathTo("/v1/hosts", id))
}

// PutHost creates a host (revision 0) or changes its capacity and connections.
func (c *Client) PutHost(ctx context.Context, host jaybarrow.Host, revision jaybarrow.Revision) (Changed, error) {
	return sendJSON[Changed](ctx, c, http.MethodPut, pathTo("/v1/hosts", host.ID), revision, host)
}

// DeleteHost deletes a drained host.
func (c *Client) DeleteHost(ctx context.Context, id jaybarrow.HostID, revision jaybarrow.Revision) (Changed, error) {
	return sendJSON[Changed](ctx, c, http.MethodDelete, pathTo("/v1/hosts", id), revision, nil)
}
