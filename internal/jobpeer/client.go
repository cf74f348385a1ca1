package jobpeer

import (
	"context"
	"sync"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/status"

	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/internal/jobpeer/jobpb"
)

// maxMessageBytes is the largest message: a configuration of the largest value that the store holds, with room to spare.
const maxMessageBytes = 4 << 20

// maxMissedCalls is the number of consecutive unanswered calls after which the connection is replaced.
const maxMissedCalls = 2

// Client calls the entry host that leads. It holds one connection, to the address that was called last.
type Client struct {
	lock        sync.Mutex
	address     jaybarrow.Address
	conn        *grpc.ClientConn
	missedCalls int
}

// NewClient returns a Client without a connection.
func NewClient() *Client { return &Client{} }

// Close closes the connection; open calls end with an error.
func (c *Client) Close() {
	c.lock.Lock()
	defer c.lock.Unlock()
	c.disconnect()
}

// disconnect closes the connection, if there is one; the caller holds the lock.
func (c *Client) disconnect() {
	if c.conn != nil {
		_ = c.conn.Close()
	}
	c.conn, c.missedCalls = nil, 0
}

// connection returns the connection to the address. A connection to another address is closed, which ends its calls with an
// error.
func (c *Client) connection(address jaybarrow.Address) (*grpc.ClientConn, error) {
	c.lock.Lock()
	defer c.lock.Unlock()
	if c.conn != nil && c.address == address {
		return c.conn, nil
	}
	c.disconnect()
	conn, err := grpc.NewClient("passthrough:///"+string(address),
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		// The library must not send a write twice.
		grpc.WithDisableRetry(),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxMessageBytes), grpc.MaxCallSendMsgSize(maxMessageBytes)),
		grpc.WithConnectParams(grpc.ConnectParams{
			Backoff:           backoff.Config{BaseDelay: 100 * time.Millisecond, Multiplier: 1.6, Jitter: 0.2, MaxDelay: time.Second},
			MinConnectTimeout: time.Second,
		}),
	)
	if err != nil {
		return nil, err
	}
	c.conn, c.address = conn, address
	return conn, nil
}

// recordOutcome counts consecutive unanswered calls and closes the connection after too many; the next call opens a new one.
func (c *Client) recordOutcome(conn *grpc.ClientConn, answered bool) {
	c.lock.Lock()
	defer c.lock.Unlock()
	if conn != c.conn {
		return
	}
	if answered {
		c.missedCalls = 0
		return
	}
	c.missedCalls++
	if c.missedCalls >= maxMissedCalls {
		c.disconnect()
	}
}

// IsUnknownCall reports whether the error is the answer of an earlier build, which does not know the call.
func IsUnknownCall(err error) bool { return status.Code(err) == codes.Unimplemented }

// call runs use on the connection to the address. An error is of kind peerLost, and the call may have taken effect.
func call[T any](c *Client, address jaybarrow.Address, use func(jobpb.JobsClient) (T, error)) (T, error) {
	var none T
	conn, err := c.connection(address)
	if err != nil {
		return none, jaybarrow.Errorf(jaybarrow.KindPeerLost, "connect to %s: %w", address, err)
	}
	answer, err := use(jobpb.NewJobsClient(conn))
	c.recordOutcome(conn, err == nil || IsUnknownCall(err))
	if err != nil {
		return none, jaybarrow.Errorf(jaybarrow.KindPeerLost, "call %s: %w", address, err)
	}
	return answer, nil
}

// JobStatus asks the peer for the state of a job.
func (c *Client) JobStatus(ctx context.Context, to jaybarrow.Address, id jaybarrow.JobID) (jaybarrow.JobStatus, error) {
	answer, err := call(c, to, func(p jobpb.JobsClient) (*jobpb.StatusAnswer, error) {
		return p.Status(ctx, &jobpb.StatusRequest{Id: string(id)})
	})
	if err != nil {
		return jaybarrow.JobStatus{}, err
	}
	return jaybarrow.JobStatus{
		Known: answer.Known, State: jaybarrow.JobState(answer.State), Team: jaybarrow.TeamID(answer.Team),
	}, decodeFault(answer.Fault)
}

// JobsWaiting asks the peer how many jobs of the queue wait.
func (c *Client) JobsWaiting(ctx context.Context, to jaybarrow.Address, queue jaybarrow.QueueID) (int, error) {
	answer, err := call(c, to, func(p jobpb.JobsClient) (*jobpb.WaitingAnswer, error) {
		return p.Waiting(ctx, &jobpb.WaitingRequest{Queue: string(queue)})
	})
	if err != nil {
		return 0, err
	}
	return int(answer.Count), decodeFault(answer.Fault)
}

// Admit asks the peer whether a job should be handed in now.
func (c *Client) Admit(ctx context.Context, to jaybarrow.Address, r jaybarrow.AdmissionRequest) (jaybarrow.Admission, error) {
	answer, err := call(c, to, func(p jobpb.JobsClient) (*jobpb.AdmitAnswer, error) {
		return p.Admit(ctx, &jobpb.AdmitRequest{
			Queue: string(r.Queue), Pool: string(r.Pool), Team: string(r.Team), CriticalPathMs: r.CriticalPath.Milliseconds(),
			PathSteps: int64(r.PathSteps),
			Cpu:       r.Work.CPU, Memory: r.Work.Memory, Accelerators: r.Work.Accelerators,
		})
	})
	if err != nil {
		return jaybarrow.Admission{}, err
	}
	return jaybarrow.Admission{
		Admitted: answer.Admitted, Wait: time.Duration(answer.WaitMs) * time.Millisecond, RetryAfter: time.Duration(answer.RetryAfterMs) * time.Millisecond,
	}, decodeFault(answer.Fault)
}

// Commit asks the peer to write the changes to the store. Only Expect and Puts are sent.
func (c *Client) Commit(ctx context.Context, to jaybarrow.Address, changes jaybarrow.Commit) (jaybarrow.Revision, error) {
	in := &jobpb.CommitRequest{}
	for _, e := range changes.Expect {
		in.Expect = append(in.Expect, &jobpb.Expectation{Key: string(e.Key), Revision: int64(e.Revision)})
	}
	for _, p := range changes.Puts {
		in.Puts = append(in.Puts, &jobpb.Put{Key: string(p.Key), Value: p.Value})
	}
	answer, err := call(c, to, func(p jobpb.JobsClient) (*jobpb.CommitAnswer, error) { return p.Commit(ctx, in) })
	if err != nil {
		return 0, err
	}
	return jaybarrow.Revision(answer.Revision), decodeFault(answer.Fault)
}

// Announce sends the peer a record that has just been stored.
func (c *Client) Announce(ctx context.Context, to jaybarrow.Address, record jaybarrow.Record) error {
	answer, err := call(c, to, func(p jobpb.JobsClient) (*jobpb.AnnounceAnswer, error) {
		return p.Announce(ctx, &jobpb.AnnounceRequest{Key: string(record.Key), Value: record.Value, Revision: int64(record.Revision)})
	})
	if err != nil {
		return err
	}
	return decodeFault(answer.Fault)
}

// Refused tells the peer of refused jobs.
func (c *Client) Refused(ctx context.Context, to jaybarrow.Address, jobs []jaybarrow.RefusedJob) error {
	in := &jobpb.RefusedRequest{Jobs: make([]*jobpb.RefusedJob, 0, len(jobs))}
	for _, j := range jobs {
		in.Jobs = append(in.Jobs, &jobpb.RefusedJob{
			Id: string(j.ID), Pool: string(j.Pool), AgeMs: j.Age.Milliseconds(), Cpu: j.Work.CPU, Memory: j.Work.Memory, Accelerators: j.Work.Accelerators,
		})
	}
	answer, err := call(c, to, func(p jobpb.JobsClient) (*jobpb.RefusedAnswer, error) { return p.Refused(ctx, in) })
	if err != nil {
		return err
	}
	return decodeFault(answer.Fault)
}

// NewerConfiguration asks the peer for its encoded configuration if it is newer than the version, and for the age in ms of the
// last confirmation of the configuration there.
func (c *Client) NewerConfiguration(ctx context.Context, to jaybarrow.Address, version jaybarrow.ConfigurationVersion) ([]byte, int64, error) {
	answer, err := call(c, to, func(p jobpb.JobsClient) (*jobpb.ConfigurationAnswer, error) {
		return p.Configuration(ctx, &jobpb.ConfigurationRequest{Version: int64(version)})
	})
	if err != nil {
		return nil, 0, err
	}
	return answer.Configuration, answer.ConfirmedAgeMs, decodeFault(answer.Fault)
}

func decodeFault(f *jobpb.Fault) error {
	if f == nil {
		return nil
	}
	return &jaybarrow.Error{Kind: jaybarrow.ErrorKind(f.Kind), Effect: jaybarrow.Effect(f.Effect), Message: f.Message}
}
