package peer

import (
	"context"
	"net"
	"time"

	"github.com/rs/zerolog"
	"google.golang.org/grpc"
	"google.golang.org/grpc/keepalive"

	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/internal/clientlimit"
	"github.com/jaybarrow/jaybarrow/internal/peer/peerpb"
	"github.com/jaybarrow/jaybarrow/internal/rungroup"
)

// ChangeSource is the local copy of the configuration, from which peers fetch changes.
type ChangeSource interface {
	// Since returns the records newer than the revision and the revision up to which they are complete.
	Since(after jaybarrow.Revision) ([]jaybarrow.Record, jaybarrow.Revision)
}

// maxMessageBytes is the largest gRPC message; answers of workers may be larger than requests.
const maxMessageBytes = 16 << 20

// maxEntries is how many entries, which are members and loads of pools, a message may have; it bounds what an empty entry of two bytes costs.
const maxEntries = 65_536

// flowControlWindowBytes is the HTTP/2 flow control window. A fixed size turns off the bandwidth estimation of grpc-go, whose
// pings made up a large part of the heartbeat traffic.
const flowControlWindowBytes = 1 << 20

// Server serves the peer protocol; it runs forwarded requests on the local schedulers only and never forwards them again.
type Server struct {
	peerpb.UnimplementedPeerServer
	clock  jaybarrow.Clock
	local  jaybarrow.Runner
	config ChangeSource
	gossip *Gossip
	grpc   *grpc.Server
	cancel context.CancelFunc
	group  *rungroup.Group
}

// NewServer returns a Server that serves on the listener until Close. A server that stops earlier is reported to onFault.
func NewServer(clock jaybarrow.Clock, log zerolog.Logger, listener net.Listener, local jaybarrow.Runner, config ChangeSource, gossip *Gossip, onFault rungroup.Handler) *Server {
	ctx, cancel := context.WithCancel(context.Background())
	s := &Server{cancel: cancel, group: rungroup.New(onFault), clock: clock, local: local, config: config, gossip: gossip}
	s.grpc = grpc.NewServer(append(clientlimit.ServerOptions(listener), clientlimit.EntryCodec(),
		grpc.MaxRecvMsgSize(maxMessageBytes), grpc.MaxSendMsgSize(maxMessageBytes),
		grpc.InitialWindowSize(flowControlWindowBytes), grpc.InitialConnWindowSize(flowControlWindowBytes),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: keepaliveTime / 2, PermitWithoutStream: true}),
		grpc.KeepaliveParams(keepalive.ServerParameters{Time: keepaliveTime, Timeout: keepaliveTimeout}),
	)...)
	peerpb.RegisterPeerServer(clientlimit.BoundEntries(s.grpc, func(any) int { return maxEntries }), s)
	s.group.Keep(ctx, "peer server", func() error {
		err := s.grpc.Serve(listener)
		if err != nil {
			log.Error().Err(err).Msg("cannot accept connections of peers; the peer server has stopped")
		}
		return err
	})
	return s
}

// Close refuses new calls and waits for running ones; those that still run when ctx ends are cancelled.
func (s *Server) Close(ctx context.Context) {
	s.cancel()
	done := make(chan struct{})
	s.group.Go("stop of the peer server", func() {
		defer close(done)
		s.grpc.GracefulStop()
	})
	select {
	case <-done:
	case <-ctx.Done():
		s.grpc.Stop()
	}
	s.group.Wait()
}

// Submit runs a forwarded request on the local schedulers.
func (s *Server) Submit(ctx context.Context, m *peerpb.SubmitRequest) (*peerpb.SubmitAnswer, error) {
	body, err := s.local.Run(ctx, decodeRequest(s.clock.Now(), m))
	return &peerpb.SubmitAnswer{Id: m.Id, Body: body, Fault: encodeFault(err)}, nil
}

// Cancel cancels a request that is in progress, queued or running on this entry host.
func (s *Server) Cancel(ctx context.Context, m *peerpb.CancelRequest) (*peerpb.CancelAnswer, error) {
	known, err := s.local.Cancel(ctx, jaybarrow.TeamID(m.Team), jaybarrow.RequestID(m.Id))
	return &peerpb.CancelAnswer{Known: known, Fault: encodeFault(err)}, nil
}

// Beat applies the sender's heartbeat and answers with one of this entry host.
func (s *Server) Beat(_ context.Context, m *peerpb.Heartbeat) (*peerpb.Heartbeat, error) {
	return s.gossip.answerHeartbeat(m), nil
}

// Changes returns configuration records newer than a revision.
func (s *Server) Changes(_ context.Context, m *peerpb.ChangesRequest) (*peerpb.ChangesAnswer, error) {
	records, reached := s.config.Since(jaybarrow.Revision(m.AfterRevision))
	return &peerpb.ChangesAnswer{Records: encodeRecords(records), Reached: int64(reached)}, nil
}

// Keepalive pings end calls on a connection that no longer responds; grpc-go allows no client interval below 10 s.
const (
	keepaliveTime    = 10 * time.Second
	keepaliveTimeout = 3 * time.Second
)
