package etcd

import (
	"context"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/internal/etcd/gateway"
)

// Get returns the record, or KindNotFound.
func (c *Client) Get(ctx context.Context, key jaybarrow.Key) (jaybarrow.Record, error) {
	var response gateway.RangeResponse
	request := gateway.RangeRequest{Key: []byte(key)}
	if err := c.read(ctx, fasthttp.MethodPost, gateway.PathRange, request, &response); err != nil {
		return jaybarrow.Record{}, err
	}
	if len(response.Kvs) == 0 {
		return jaybarrow.Record{}, jaybarrow.Errorf(jaybarrow.KindNotFound, "no record %s", key)
	}
	return response.Kvs[0].Record(), nil
}

// List returns the records below the prefix and the store's revision.
func (c *Client) List(ctx context.Context, prefix jaybarrow.Key) ([]jaybarrow.Record, jaybarrow.Revision, error) {
	var response gateway.RangeResponse
	request := gateway.RangeRequest{Key: []byte(prefix), RangeEnd: gateway.PrefixEnd([]byte(prefix))}
	if err := c.read(ctx, fasthttp.MethodPost, gateway.PathRange, request, &response); err != nil {
		return nil, 0, err
	}
	records := make([]jaybarrow.Record, 0, len(response.Kvs))
	for _, kv := range response.Kvs {
		records = append(records, kv.Record())
	}
	return records, response.Header.Revision, nil
}

// CompareAndSwap writes the value if the record's revision is previous.
func (c *Client) CompareAndSwap(ctx context.Context, key jaybarrow.Key, previous jaybarrow.Revision, value []byte, lease jaybarrow.LeaseID) (jaybarrow.Revision, error) {
	return c.txn(ctx, key, previous, gateway.RequestOp{Put: &gateway.PutRequest{Key: []byte(key), Value: value, Lease: lease}})
}

// Delete removes the record if its revision is previous.
func (c *Client) Delete(ctx context.Context, key jaybarrow.Key, previous jaybarrow.Revision) (jaybarrow.Revision, error) {
	if previous == 0 {
		return 0, jaybarrow.Errorf(jaybarrow.KindConflict, "%s: a record that does not exist cannot be deleted", key)
	}
	return c.txn(ctx, key, previous, gateway.RequestOp{DeleteRange: &gateway.DeleteRequest{Key: []byte(key)}})
}

func (c *Client) txn(ctx context.Context, key jaybarrow.Key, previous jaybarrow.Revision, op gateway.RequestOp) (jaybarrow.Revision, error) {
	var response gateway.TxnResponse
	err := c.post(ctx, gateway.PathTxn, gateway.TxnRequest{
		Compare: []gateway.Compare{{
			Key: []byte(key), Target: gateway.TargetMod, Result: gateway.ResultEqual, ModRevision: previous,
		}},
		Success: []gateway.RequestOp{op},
	}, &response)
	if err != nil {
		return 0, err
	}
	if !response.Succeeded {
		return 0, jaybarrow.Errorf(jaybarrow.KindConflict, "%s does not have revision %d", key, previous)
	}
	return response.Header.Revision, nil
}

// GrantLease creates a lease; the store counts whole seconds, so ttl is rounded up.
func (c *Client) GrantLease(ctx context.Context, ttl time.Duration) (jaybarrow.LeaseID, error) {
	var response gateway.LeaseResponse
	seconds := int64((ttl + time.Second - 1) / time.Second)
	err := c.post(ctx, gateway.PathGrant, gateway.GrantRequest{TTL: seconds}, &response)
	return response.ID, err
}

// KeepAlive renews a lease, or returns KindNotFound when it has ended.
func (c *Client) KeepAlive(ctx context.Context, lease jaybarrow.LeaseID) error {
	var response gateway.KeepAliveResponse
	if err := c.post(ctx, gateway.PathKeepAlive, gateway.LeaseRequest{ID: lease}, &response); err != nil {
		return err
	}
	if response.Result.TTL <= 0 {
		return jaybarrow.Errorf(jaybarrow.KindNotFound, "no lease %d", lease)
	}
	return nil
}

// RevokeLease ends a lease and deletes its records.
func (c *Client) RevokeLease(ctx context.Context, lease jaybarrow.LeaseID) error {
	return c.post(ctx, gateway.PathRevoke, gateway.LeaseRequest{ID: lease}, &gateway.LeaseResponse{})
}

// Hosts returns the platform's list of hosts, which lags behind their actual state.
func (c *Client) Hosts(ctx context.Context) ([]jaybarrow.HostNotice, error) {
	var response gateway.HostsResponse
	err := c.read(ctx, fasthttp.MethodGet, gateway.PathHosts, nil, &response)
	return response.Hosts, err
}

// Reboot asks the platform to reboot a host; KindNotFound when the host is gone.
func (c *Client) Reboot(ctx context.Context, host jaybarrow.HostID) error {
	return c.post(ctx, gateway.PathReboot(host), struct{}{}, &struct{}{})
}
