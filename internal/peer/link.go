package peer

import (
	"context"
	"sync"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/connectivity"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/keepalive"

	"github.com/jaybarrow/jaybarrow"
)

// connectTimeout is how long a call waits for a connection. A call that fails then has certainly sent nothing.
const connectTimeout = time.Second

// maxMissedHeartbeats is the number of consecutive failed heartbeats after which the connections are replaced.
const maxMissedHeartbeats = 3

// link holds the connections to one peer: one for heartbeats and changes, one for forwarded requests. Both are replaced when
// heartbeats stay unanswered, since an open connection may be unresponsive for good while new ones work.
type link struct {
	sync.Mutex
	address          jaybarrow.Address
	heartbeatConn    *connection
	requestConn      *connection
	missedHeartbeats int // consecutive
}

// connection is a gRPC connection that closes after its last call once it is retired.
type connection struct {
	grpc    *grpc.ClientConn
	calls   int // in flight
	retired bool
}

func newLink(address jaybarrow.Address) *link { return &link{address: address} }

func dial(address jaybarrow.Address) (*grpc.ClientConn, error) {
	return grpc.NewClient("passthrough:///"+string(address),
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		// The library must not send a request twice.
		grpc.WithDisableRetry(),
		grpc.WithInitialWindowSize(flowControlWindowBytes), grpc.WithInitialConnWindowSize(flowControlWindowBytes),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: keepaliveTime, Timeout: keepaliveTimeout}),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxMessageBytes), grpc.MaxCallSendMsgSize(maxMessageBytes)),
		grpc.WithConnectParams(grpc.ConnectParams{
			Backoff:           backoff.Config{BaseDelay: 100 * time.Millisecond, Multiplier: 1.6, Jitter: 0.2, MaxDelay: time.Second},
			MinConnectTimeout: connectTimeout,
		}),
	)
}

// acquire returns the connection in the slot and counts one more call on it; it dials when the slot is empty.
func (l *link) acquire(slot **connection) (*connection, error) {
	l.Lock()
	defer l.Unlock()
	if *slot == nil {
		g, err := dial(l.address)
		if err != nil {
			return nil, err
		}
		*slot = &connection{grpc: g}
	}
	(*slot).calls++
	return *slot, nil
}

func (l *link) release(c *connection) {
	l.Lock()
	defer l.Unlock()
	c.calls--
	c.closeIfUnused()
}

func (c *connection) closeIfUnused() {
	if c.retired && c.calls == 0 {
		_ = c.grpc.Close()
	}
}

// recordHeartbeat records the result of a heartbeat and replaces the connections after too many consecutive failures.
func (l *link) recordHeartbeat(ok bool) {
	l.Lock()
	defer l.Unlock()
	if ok {
		l.missedHeartbeats = 0
		return
	}
	l.missedHeartbeats++
	if l.missedHeartbeats%maxMissedHeartbeats == 0 {
		l.retire(&l.heartbeatConn)
		l.retire(&l.requestConn)
	}
}

// retire empties the slot; its connection closes after its last call.
func (l *link) retire(slot **connection) {
	if c := *slot; c != nil {
		c.retired = true
		c.closeIfUnused()
		*slot = nil
	}
}

func (l *link) close() {
	l.Lock()
	defer l.Unlock()
	for _, slot := range []**connection{&l.heartbeatConn, &l.requestConn} {
		if *slot != nil {
			_ = (*slot).grpc.Close()
		}
	}
}

// awaitReady waits until the connection can carry a call; an error means that nothing was sent.
func awaitReady(ctx context.Context, c *grpc.ClientConn) error {
	ctx, cancel := context.WithTimeout(ctx, connectTimeout)
	defer cancel()
	for state := c.GetState(); state != connectivity.Ready; state = c.GetState() {
		if state == connectivity.Idle {
			c.Connect()
		}
		if !c.WaitForStateChange(ctx, state) {
			return ctx.Err()
		}
	}
	return nil
}
