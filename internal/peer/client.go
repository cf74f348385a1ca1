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

// call runs use on a ready connection; sent says whether anything may have been sent.
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

// Submit forwards a request; KindPeerLost says whether it may have run.
func (c *Client) Submit(ctx context.Context, to jaybarrow.Address, r jaybarrow.Request) ([]byte, error) {
	l := c.link(to)
	var answer *peerpb.SubmitAnswer
	sent, err := l.call(ctx, &l.data, func(p peerpb.PeerClient) (err error) {
		answer, err = p.Submit(ctx, encodeRequest(c.clock.Now(), r))
		return err
	})
	if err != nil {
		return nil, lost(to, sent, err)
	}
	if answer.Id != string(r.ID) {
		return nil, jaybarrow.Errorf(jaybarrow.KindPeerLost, "%s answered for request %q instead of %q", to, answer.Id, r.ID)
	}
	return answer.Body, decodeFault(answer.Fault)
}

// Cancel ends a request that is queued or running at the peer.
func (c *Client) Cancel(ctx context.Context, to jaybarrow.Address, team jaybarrow.TeamID, id jaybarrow.RequestID) (bool, error) {
	l := c.link(to)
	var answer *peerpb.CancelAnswer
	sent, err := l.call(ctx, &l.data, func(p peerpb.PeerClient) (err error) {
		answer, err = p.Cancel(ctx, &peerpb.CancelRequest{Team: string(team), Id: string(id)})
		return err
	})
	if err != nil {
		return false, lost(to, sent, err)
	}
	return answer.Known, decodeFault(answer.Fault)
}

// Changes asks the peer for configuration records newer than the revision.
func (c *Client) Changes(ctx context.Context, to jaybarrow.Address, after jaybarrow.Revision) ([]jaybarrow.Record, jaybarrow.Revision, error) {
	l := c.link(to)
	var answer *peerpb.ChangesAnswer
	sent, err := l.call(ctx, &l.beat, func(p peerpb.PeerClient) (err error) {
		answer, err = p.Changes(ctx, &peerpb.ChangesRequest{AfterRevision: int64(after)})
		return err
	})
	if err != nil {
		return nil, 0, lost(to, sent, err)
	}
	return decodeRecords(answer.Records), jaybarrow.Revision(answer.Reached), nil
}

func (c *Client) exchange(ctx context.Context, to jaybarrow.Address, m *peerpb.Heartbeat) (*peerpb.Heartbeat, error) {
	l := c.link(to)
	var answer *peerpb.Heartbeat
	_, err := l.call(ctx, &l.beat, func(p peerpb.PeerClient) (err error) {
		answer, err = p.Beat(ctx, m)
		return err
	})
	l.beaten(err == nil)
	return answer, err
}

func lost(to jaybarrow.Address, sent bool, err error) error {
	e := jaybarrow.Errorf(jaybarrow.KindPeerLost, "call to %s: %w", to, err)
	if !sent {
		return e.WithEffect(jaybarrow.EffectNotRun)
	}
	return e
}
