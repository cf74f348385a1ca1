package clientlimit

import (
	"context"
	"net"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/stats"
	"google.golang.org/grpc/status"
	"google.golang.org/grpc/tap"

	"github.com/jaybarrow/jaybarrow"
)

// ServerOptions returns the options of a gRPC server that serves on the listener; there are none for other listeners than a Listener with
// a bound on messages.
func ServerOptions(l net.Listener) []grpc.ServerOption {
	limited, ok := l.(*Listener)
	if !ok || limited.settings.Messages <= 0 {
		return nil
	}
	return []grpc.ServerOption{
		grpc.ConnectionTimeout(HeaderTimeout), grpc.MaxHeaderListSize(HeaderBytes), grpc.MaxConcurrentStreams(uint32(limited.settings.Calls)), //nolint:gosec // far below 2^32
		grpc.InTapHandle(limited.admitCall), grpc.StatsHandler(callHandler{limited}),
	}
}

// admitCall refuses a call when too many are in progress.
func (l *Listener) admitCall(ctx context.Context, _ *tap.Info) (context.Context, error) {
	if l.calls.Load() >= int64(l.settings.Calls) {
		l.Reached(LimitCalls, "a call was refused")
		return nil, status.Error(codes.ResourceExhausted, "too many calls are in progress")
	}
	return ctx, nil
}

// PendingBytes returns how many bytes of calls are held that are incomplete or not handled yet.
func (l *Listener) PendingBytes() int64 { return l.messageBytes.Load() }

// receive counts n bytes that were read. When all connections together hold too many bytes of incomplete messages, the one that holds the
// most is closed.
func (c *Conn) receive(n int, err error) (int, error) {
	l := c.listener
	total, open := c.addPending(int64(n))
	if !open {
		return 0, net.ErrClosed
	}
	if total <= int64(l.settings.Messages) {
		return n, err
	}
	l.Reached(LimitMessages, "a connection was closed")
	largest := c
	l.byAddress.Each(func(_ jaybarrow.Address, other *Conn) {
		if other.pending.Load() > largest.pending.Load() {
			largest = other
		}
	})
	_ = largest.Close()
	if largest == c {
		return 0, net.ErrClosed
	}
	return n, err
}

// addPending counts n bytes and returns the total of all connections. On a closed connection, whose Close has already returned what it held,
// it counts nothing and returns false.
func (c *Conn) addPending(n int64) (int64, bool) {
	c.shard.lock.Lock()
	defer c.shard.lock.Unlock()
	if c.state == stateClosed {
		return 0, false
	}
	c.pending.Add(n)
	return c.listener.messageBytes.Add(n), true
}

// forget takes n bytes from the count, or as many as the connection holds.
func (c *Conn) forget(n int64) {
	for {
		held := c.pending.Load()
		n = min(n, held)
		if n <= 0 {
			return
		}
		if c.pending.CompareAndSwap(held, held-n) {
			c.listener.messageBytes.Add(-n)
			return
		}
	}
}

// framesBytes is above what a call takes on the wire beside its message: headers, frames and window updates.
const framesBytes = 4 << 10

// callHandler follows the calls of a gRPC server, to tell complete messages from incomplete ones.
type callHandler struct{ listener *Listener }

type connKey struct{}

// TagConn remembers the connection for its calls.
func (h callHandler) TagConn(ctx context.Context, info *stats.ConnTagInfo) context.Context {
	c, _ := h.listener.byAddress.Get(jaybarrow.Address(info.RemoteAddr.String()))
	return context.WithValue(ctx, connKey{}, c)
}

// HandleConn does nothing; the Listener sees connections come and go.
func (callHandler) HandleConn(context.Context, stats.ConnStats) {}

// call is what is known of a call in progress.
type call struct {
	received int64 // bytes of its complete messages
	counted  bool  // whether they are still counted
}

type callKey struct{}

// TagRPC gives the call a place for what is known of it.
func (callHandler) TagRPC(ctx context.Context, _ *stats.RPCTagInfo) context.Context {
	return context.WithValue(ctx, callKey{}, new(call))
}

// HandleRPC counts the calls in progress, and takes what has been handled from the count of bytes. The events of one call come one after
// the other.
func (h callHandler) HandleRPC(ctx context.Context, event stats.RPCStats) {
	conn, _ := ctx.Value(connKey{}).(*Conn)
	state, _ := ctx.Value(callKey{}).(*call)
	if conn == nil || state == nil {
		return
	}
	switch e := event.(type) {
	case *stats.Begin:
		h.listener.calls.Add(1)
		conn.streams.Add(1)
	case *stats.InPayload:
		if state.received == 0 && conn.running.Add(1) == 1 {
			// A connection that sends incomplete messages only may still be closed in favour of another one.
			conn.Serve()
		}
		state.received += max(1, int64(e.WireLength))
		state.counted = !h.listener.settings.LongCalls
		if !state.counted {
			conn.forget(int64(e.WireLength))
		}
	case *stats.End:
		h.listener.calls.Add(-1)
		conn.forget(framesBytes)
		if state.counted {
			conn.forget(state.received)
		}
		if state.received > 0 && conn.running.Add(-1) == 0 {
			conn.idle()
		}
		if conn.streams.Add(-1) == 0 {
			conn.forget(conn.pending.Load())
		}
	}
}
