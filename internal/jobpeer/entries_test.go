package jobpeer_test

import (
	"context"
	"testing"

	"github.com/rs/zerolog"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/status"
	"gotest.tools/v3/assert"

	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/internal/jobpeer"
	"github.com/jaybarrow/jaybarrow/internal/jobpeer/jobpb"
)

// commits is a Handler that takes reports and commits.
type commits struct {
	refusals
	handled int
}

func (c *commits) Commit(context.Context, jaybarrow.Commit) (jaybarrow.Revision, error) {
	c.handled++
	return 1, nil
}

// Guards against messages within the limit on bytes whose decoded form is many times larger, and against the refusal of the largest messages
// of peers.
func TestMessagesWithManyEntriesAreRefused(t *testing.T) {
	handler, l := new(commits), listener(t)
	s := jobpeer.NewServer(zerolog.Nop(), l, handler, nil)
	defer s.Close()
	conn, err := grpc.NewClient("passthrough:///"+l.Addr().String(), grpc.WithTransportCredentials(insecure.NewCredentials()))
	assert.NilError(t, err)
	defer conn.Close()
	client := jobpb.NewJobsClient(conn)
	commit := func(expect, puts int) codes.Code {
		in := &jobpb.CommitRequest{}
		for range expect {
			in.Expect = append(in.Expect, &jobpb.Expectation{})
		}
		for range puts {
			in.Puts = append(in.Puts, &jobpb.Put{})
		}
		_, err := client.Commit(t.Context(), in)
		return status.Code(err)
	}
	report := func(jobs int) codes.Code {
		in := &jobpb.RefusedRequest{}
		for range jobs {
			in.Jobs = append(in.Jobs, &jobpb.RefusedJob{})
		}
		_, err := client.Refused(t.Context(), in)
		return status.Code(err)
	}
	assert.Equal(t, commit(32, 32), codes.OK)
	assert.Equal(t, commit(500_000, 0), codes.ResourceExhausted)
	assert.Equal(t, commit(0, 500_000), codes.ResourceExhausted)
	assert.Equal(t, commit(200, 200), codes.ResourceExhausted)
	assert.Equal(t, handler.handled, 1)
	assert.Equal(t, report(500), codes.OK)
	assert.Equal(t, len(handler.jobs), 500)
	assert.Equal(t, report(2_000_000), codes.ResourceExhausted)
}
