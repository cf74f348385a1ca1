package jobpeer

import (
	"context"
	"net"
	"time"

	"github.com/rs/zerolog"
	"google.golang.org/grpc"

	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/internal/clientlimit"
	"github.com/jaybarrow/jaybarrow/internal/jobpeer/jobpb"
	"github.com/jaybarrow/jaybarrow/internal/refusal"
	"github.com/jaybarrow/jaybarrow/internal/rungroup"
)

// Handler answers the calls of other entry hosts.
type Handler interface {
	jaybarrow.JobDirectory
	// Commit writes to the store for an entry host whose own calls the store rejects or does not answer.
	Commit(ctx context.Context, changes jaybarrow.Commit) (jaybarrow.Revision, error)
	// Announce applies a record that another entry host has just stored.
	Announce(record jaybarrow.Record) error
	// Refused takes the jobs that another entry host has refused.
	Refused(jobs []jaybarrow.RefusedJob) error
	// NewerConfiguration returns the encoded configuration if it is newer than the version, and the age of its last confirmation
	// in ms.
	NewerConfiguration(ctx context.Context, version jaybarrow.ConfigurationVersion) ([]byte, int64, error)
}

// Server serves the calls of other entry hosts.
type Server struct {
	jobpb.UnimplementedJobsServer
	handler Handler
	grpc    *grpc.Server
	cancel  context.CancelFunc
	group   *rungroup.Group
}

// streamWorkers is how many goroutines are kept for calls. Calls are short, and their stacks are then not grown for each of them.
const streamWorkers = 8

const (
	// maxCallEntries is above the 32 entries of the largest commit. Commits wait for the store, so that many may be held at once.
	maxCallEntries = 256
	// maxReportEntries is above refusal.MaxReportJobs, since the reports of another build may be larger; the rest of them is left out.
	maxReportEntries = 10_240
)

// maxEntries returns how many entries a message may have.
func maxEntries(message any) int {
	if _, ok := message.(*jobpb.RefusedRequest); ok {
		return maxReportEntries
	}
	return maxCallEntries
}

// NewServer returns a Server that serves on the listener until Close. A server that stops earlier is reported to onFault.
func NewServer(log zerolog.Logger, listener net.Listener, handler Handler, onFault rungroup.Handler) *Server {
	ctx, cancel := context.WithCancel(context.Background())
	options := append(clientlimit.ServerOptions(listener),
		grpc.MaxRecvMsgSize(maxMessageBytes), grpc.MaxSendMsgSize(maxMessageBytes), grpc.NumStreamWorkers(streamWorkers),
		clientlimit.EntryCodec())
	s := &Server{handler: handler, cancel: cancel, group: rungroup.New(onFault), grpc: grpc.NewServer(options...)}
	jobpb.RegisterJobsServer(clientlimit.BoundEntries(s.grpc, maxEntries), s)
	s.group.Keep(ctx, "peer server", func() error {
		err := s.grpc.Serve(listener)
		if err != nil {
			log.Error().Err(err).Msg("cannot accept connections of peers; the peer server has stopped")
		}
		return err
	})
	return s
}

// Close cancels open calls and stops the server.
func (s *Server) Close() {
	s.cancel()
	s.grpc.Stop()
	s.group.Wait()
}

// Status returns the state of a job.
func (s *Server) Status(ctx context.Context, in *jobpb.StatusRequest) (*jobpb.StatusAnswer, error) {
	status, err := s.handler.JobStatus(ctx, jaybarrow.JobID(in.Id))
	return &jobpb.StatusAnswer{
		Known: status.Known, State: string(status.State), Team: string(status.Team), Fault: encodeFault(err),
	}, nil
}

// Waiting returns the number of waiting jobs of a queue.
func (s *Server) Waiting(ctx context.Context, in *jobpb.WaitingRequest) (*jobpb.WaitingAnswer, error) {
	n, err := s.handler.JobsWaiting(ctx, jaybarrow.QueueID(in.Queue))
	return &jobpb.WaitingAnswer{Count: int64(n), Fault: encodeFault(err)}, nil
}

// Admit decides on a job that a caller of the peer wants to hand in.
func (s *Server) Admit(ctx context.Context, in *jobpb.AdmitRequest) (*jobpb.AdmitAnswer, error) {
	a, err := s.handler.Admit(ctx, jaybarrow.AdmissionRequest{
		Queue: jaybarrow.QueueID(in.Queue), Pool: jaybarrow.PoolID(in.Pool), Team: jaybarrow.TeamID(in.Team), CriticalPath: time.Duration(in.CriticalPathMs) * time.Millisecond,
		PathSteps: int(in.PathSteps),
		Work:      jaybarrow.Work{CPU: in.Cpu, Memory: in.Memory, Accelerators: in.Accelerators},
	})
	return &jobpb.AdmitAnswer{
		Admitted: a.Admitted, WaitMs: a.Wait.Milliseconds(), RetryAfterMs: a.RetryAfter.Milliseconds(), Fault: encodeFault(err),
	}, nil
}

// Commit writes the changes to the store for the caller.
func (s *Server) Commit(ctx context.Context, in *jobpb.CommitRequest) (*jobpb.CommitAnswer, error) {
	changes := jaybarrow.Commit{}
	for _, e := range in.Expect {
		changes.Expect = append(changes.Expect, jaybarrow.Expectation{Key: jaybarrow.Key(e.Key), Revision: jaybarrow.Revision(e.Revision)})
	}
	for _, p := range in.Puts {
		changes.Puts = append(changes.Puts, jaybarrow.Put{Key: jaybarrow.Key(p.Key), Value: p.Value})
	}
	revision, err := s.handler.Commit(ctx, changes)
	return &jobpb.CommitAnswer{Revision: int64(revision), Fault: encodeFault(err)}, nil
}

// Announce passes on a record that the caller has stored.
func (s *Server) Announce(_ context.Context, in *jobpb.AnnounceRequest) (*jobpb.AnnounceAnswer, error) {
	err := s.handler.Announce(jaybarrow.Record{Key: jaybarrow.Key(in.Key), Value: in.Value, Revision: jaybarrow.Revision(in.Revision)})
	return &jobpb.AnnounceAnswer{Fault: encodeFault(err)}, nil
}

// Refused takes the jobs that the caller has refused; those beyond the largest report of this build are left out.
func (s *Server) Refused(_ context.Context, in *jobpb.RefusedRequest) (*jobpb.RefusedAnswer, error) {
	jobs := make([]jaybarrow.RefusedJob, 0, min(len(in.Jobs), refusal.MaxReportJobs))
	for _, j := range in.Jobs[:min(len(in.Jobs), refusal.MaxReportJobs)] {
		jobs = append(jobs, jaybarrow.RefusedJob{
			ID: jaybarrow.JobID(j.GetId()), Pool: jaybarrow.PoolID(j.GetPool()), Age: milliseconds(j.GetAgeMs()),
			Work: jaybarrow.Work{CPU: j.GetCpu(), Memory: j.GetMemory(), Accelerators: j.GetAccelerators()},
		})
	}
	return &jobpb.RefusedAnswer{Fault: encodeFault(s.handler.Refused(jobs))}, nil
}

// milliseconds returns the duration; one that is out of range is replaced by the nearest within a day.
func milliseconds(ms int64) time.Duration {
	return time.Duration(min(max(0, ms), (24*time.Hour).Milliseconds())) * time.Millisecond
}

// Configuration returns a configuration newer than that of the caller, if there is one, and the age of its last confirmation.
func (s *Server) Configuration(ctx context.Context, in *jobpb.ConfigurationRequest) (*jobpb.ConfigurationAnswer, error) {
	data, age, err := s.handler.NewerConfiguration(ctx, jaybarrow.ConfigurationVersion(in.Version))
	return &jobpb.ConfigurationAnswer{Configuration: data, ConfirmedAgeMs: age, Fault: encodeFault(err)}, nil
}

func encodeFault(err error) *jobpb.Fault {
	if err == nil {
		return nil
	}
	e := jaybarrow.AsError(err)
	return &jobpb.Fault{Kind: string(e.Kind), Effect: string(e.Effect), Message: e.Message}
}
