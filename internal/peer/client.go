package peer

import (
	"context"

	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/internal/peer/peerpb"
	"github.com/jaybarrow/jaybarrow/internal/shard"
)

// Client calls other entry hosts.
type Client struct {
	clock jaybarrow.Clock
	links *shard.Map[jaybarrow.Address, *link]
}

// NewClient returns a Client without connections.
func NewClient(clock jaybarrow.Clock) *Client {
	return &Client{clock: clock, links: shard.New[jaybarrow.Address, *link]()}
}

// Close closes all connections.
func (c *Client) Close() {
	c.links.Each(func(_ jaybarrow.Address, l *link) { l.close() })
}

func (c *Client) link(address jaybarrow.Address) *link {
	return c.links.GetOrCreate(address, func() *link { return newLink(address) })
}

// call runs use on a ready connection; sent reports whether anything may have been sent.
func (l *link) call(ctx context.Context, slot **connection, use func(peerpb.PeerClient) error) (sent bool, err error) {
	conn, err := l.acquire(slot)
	if err != nil {
		return false, err
	}
	defer l.release(conn)
	if err := awaitReady(ctx, conn.grpc); err != nil {
		return false, err
	}
	return true, use(peerpb.NewPeerClient(conn.grpc))
}

// Submit forwards a request to the peer and returns its result. The effect of a KindPeerLost error reports whether the request
// may have run.
func (c *Client) Submit(ctx context.Context, to jaybarrow.Address, r jaybarrow.Request) ([]byte, error) {
	l := c.link(to)
	var answer *peerpb.SubmitAnswer
	sent, err := l.call(ctx, &l.requestConn, func(p peerpb.PeerClient) (err error) {
		answer, err = p.Submit(ctx, encodeRequest(c.clock.Now(), r))
		return err
	})
	if err != nil {
		return nil, peerLostError(to, sent, err)
	}
	if answer.Id != string(r.ID) {
		return nil, jaybarrow.Errorf(jaybarrow.KindPeerLost, "%s answered for request %q instead of %q", to, answer.Id, r.ID)
	}
	return answer.Body, decodeFault(answer.Fault)
}

// Cancel cancels a request that is queued or running at the peer and reports whether the peer knew it.
func (c *Client) Cancel(ctx context.Context, to jaybarrow.Address, team jaybarrow.TeamID, id jaybarrow.RequestID) (bool, error) {
	l := c.link(to)
	var answer *peerpb.CancelAnswer
	sent, err := l.call(ctx, &l.requestConn, func(p peerpb.PeerClient) (err error) {
		answer, err = p.Cancel(ctx, &peerpb.CancelRequest{Team: string(team), Id: string(id)})
		return err
	})
	if err != nil {
		return false, peerLostError(to, sent, err)
	}
	return answer.Known, decodeFault(answer.Fault)
}

// Changes returns the configuration records of the peer that are newer than the revision, and the revision up to which they
// are complete.
func (c *Client) Changes(ctx context.Context, to jaybarrow.Address, after jaybarrow.Revision) ([]jaybarrow.Record, jaybarrow.Revision, error) {
	l := c.link(to)
	var answer *peerpb.ChangesAnswer
	sent, err := l.call(ctx, &l.heartbeatConn, func(p peerpb.PeerClient) (err error) {
		answer, err = p.Changes(ctx, &peerpb.ChangesRequest{AfterRevision: int64(after)})
		return err
	})
	if err != nil {
		return nil, 0, peerLostError(to, sent, err)
	}
	return decodeRecords(answer.Records), jaybarrow.Revision(answer.Reached), nil
}

// exchangeHeartbeats sends a heartbeat and returns the answer of the peer.
func (c *Client) exchangeHeartbeats(ctx context.Context, to jaybarrow.Address, m *peerpb.Heartbeat) (*peerpb.Heartbeat, error) {
	l := c.link(to)
	var answer *peerpb.Heartbeat
	_, err := l.call(ctx, &l.heartbeatConn, func(p peerpb.PeerClient) (err error) {
		answer, err = p.Beat(ctx, m)
		return err
	})
	l.recordHeartbeat(err == nil)
	return answer, err
}

// peerLostError returns a KindPeerLost error, with effect notRun unless something may have been sent.
func peerLostError(to jaybarrow.Address, sent bool, err error) error {
	e := jaybarrow.Errorf(jaybarrow.KindPeerLost, "call to %s: %w", to, err)
	if !sent {
		return e.WithEffect(jaybarrow.EffectNotRun)
	}
	return e
}
