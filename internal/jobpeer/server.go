package jobpeer

import (
	"context"
	"net"

	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"
	"google.golang.org/grpc"

	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/internal/jobpeer/jobpb"
)

// Local answers at the entry host that leads.
type Local interface {
	jaybarrow.JobDirectory
	// Commit writes to the store for an entry host that the store turns away.
	Commit(ctx context.Context, changes jaybarrow.Commit) (jaybarrow.Revision, error)
	// Announce takes a record that another entry host has stored.
	Announce(record jaybarrow.Record) error
	// NewerConfiguration returns the encoded configuration if it is newer than the version, and the age of its last confirmation in ms.
	NewerConfiguration(ctx context.Context, version jaybarrow.ConfigurationVersion) ([]byte, int64, error)
}

// Server serves the other entry hosts.
type Server struct {
	jobpb.UnimplementedJobsServer
	local Local
	grpc  *grpc.Server
	group conc.WaitGroup
}

// NewServer returns a running Server on the listener.
func NewServer(log zerolog.Logger, listener net.Listener, local Local) *Server {
	s := &Server{local: local, grpc: grpc.NewServer(grpc.MaxRecvMsgSize(maxMessage), grpc.MaxSendMsgSize(maxMessage))}
	jobpb.RegisterJobsServer(s.grpc, s)
	s.group.Go(func() {
		if err := s.grpc.Serve(listener); err != nil {
			log.Error().Err(err).Msg("peer server ended")
		}
	})
	return s
}

// Close ends open calls and stops.
func (s *Server) Close() {
	s.grpc.Stop()
	s.group.Wait()
}

// Status implements the service.
func (s *Server) Status(ctx context.Context, in *jobpb.StatusRequest) (*jobpb.StatusAnswer, error) {
	status, err := s.local.JobStatus(ctx, jaybarrow.JobID(in.Id))
	return &jobpb.StatusAnswer{
		Known: status.Known, State: string(status.State), Team: string(status.Team), Fault: encodeFault(err),
	}, nil
}

// Waiting implements the service.
func (s *Server) Waiting(ctx context.Context, in *jobpb.WaitingRequest) (*jobpb.WaitingAnswer, error) {
	n, err := s.local.JobsWaiting(ctx, jaybarrow.QueueID(in.Queue))
	return &jobpb.WaitingAnswer{Count: int64(n), Fault: encodeFault(err)}, nil
}

// Commit implements the service.
func (s *Server) Commit(ctx context.Context, in *jobpb.CommitRequest) (*jobpb.CommitAnswer, error) {
	changes := jaybarrow.Commit{}
	for _, e := range in.Expect {
		changes.Expect = append(changes.Expect, jaybarrow.Expectation{Key: jaybarrow.Key(e.Key), Revision: jaybarrow.Revision(e.Revision)})
	}
	for _, p := range in.Puts {
		changes.Puts = append(changes.Puts, jaybarrow.Put{Key: jaybarrow.Key(p.Key), Value: p.Value})
	}
	revision, err := s.local.Commit(ctx, changes)
	return &jobpb.CommitAnswer{Revision: int64(revision), Fault: encodeFault(err)}, nil
}

// Announce implements the service.
func (s *Server) Announce(_ context.Context, in *jobpb.AnnounceRequest) (*jobpb.AnnounceAnswer, error) {
	err := s.local.Announce(jaybarrow.Record{Key: jaybarrow.Key(in.Key), Value: in.Value, Revision: jaybarrow.Revision(in.Revision)})
	return &jobpb.AnnounceAnswer{Fault: encodeFault(err)}, nil
}

// Configuration implements the service.
func (s *Server) Configuration(ctx context.Context, in *jobpb.ConfigurationRequest) (*jobpb.ConfigurationAnswer, error) {
	data, age, err := s.local.NewerConfiguration(ctx, jaybarrow.ConfigurationVersion(in.Version))
	return &jobpb.ConfigurationAnswer{Configuration: data, ConfirmedAgeMs: age, Fault: encodeFault(err)}, nil
}

func encodeFault(err error) *jobpb.Fault {
	if err == nil {
		return nil
	}
	e := jaybarrow.AsError(err)
	return &jobpb.Fault{Kind: string(e.Kind), Effect: string(e.Effect), Message: e.Message}
}
