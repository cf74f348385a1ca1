package jobhost

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"gotest.tools/v3/assert"

	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/internal/jobmetrics"
	"github.com/jaybarrow/jaybarrow/internal/refusal"
)

// reportedCall is a report that a leader has received.
type reportedCall struct {
	at   time.Time
	term refusal.Term
	jobs []jaybarrow.RefusedJob
}

// leaders are the leaders that a refusalReporter meets, one after the other.
type leaders struct {
	lock  sync.Mutex
	term  refusal.Term // empty without a leader
	err   error        // of each call
	calls []reportedCall
}

// report runs a refusalReporter with the leaders beside act.
func (l *leaders) report(t *testing.T, act func(m *refusal.Memory)) {
	synctest.Test(t, func(*testing.T) {
		m := refusal.NewMemory(jaybarrow.SystemClock{})
		r := &refusalReporter{clock: jaybarrow.SystemClock{}, log: zerolog.Nop(), metrics: jobmetrics.New(), jobs: m, target: func() (reportTarget, bool) {
			l.lock.Lock()
			defer l.lock.Unlock()
			term := l.term
			return reportTarget{term, func(_ context.Context, jobs []jaybarrow.RefusedJob) error {
				l.lock.Lock()
				defer l.lock.Unlock()
				l.calls = append(l.calls, reportedCall{time.Now(), term, jobs})
				return l.err
			}}, term != ""
		}}
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() {
			r.run(ctx)
			close(done)
		}()
		synctest.Wait()
		act(m)
		cancel()
		<-done
	})
}

// change replaces the leader.
func (l *leaders) change(term refusal.Term, err error) {
	l.lock.Lock()
	defer l.lock.Unlock()
	l.term, l.err = term, err
}

// refuse records so many jobs, numbered from first.
func refuse(m *refusal.Memory, first, jobs int) {
	for n := range jobs {
		m.Record(jaybarrow.RefusedJob{ID: jaybarrow.JobID(fmt.Sprintf("%016x", first+n)), Pool: "desk"})
	}
}

// reported returns how many different jobs the term was told of, and in how many calls.
func (l *leaders) reported(term refusal.Term) (jobs, calls int) {
	l.lock.Lock()
	defer l.lock.Unlock()
	known := make(map[jaybarrow.JobID]bool)
	for _, c := range l.calls {
		if c.term == term {
			calls++
			for _, j := range c.jobs {
				known[j.ID] = true
			}
		}
	}
	return len(known), calls
}

// Load pattern: 1,000 jobs are refused while there is no leader. They must wait without a call, go to the leader in calls of at most 500 jobs that
// are at least 250 ms apart, and all go to the next leader too.
func TestReportsWaitForALeaderAndGoToEachOne(t *testing.T) {
	l := new(leaders)
	l.report(t, func(m *refusal.Memory) {
		refuse(m, 0, 1000)
		time.Sleep(3 * time.Second)
		_, calls := l.reported("")
		assert.Equal(t, calls, 0, "without a leader")
		l.change("a", nil)
		time.Sleep(time.Second)
		jobs, calls := l.reported("a")
		assert.Equal(t, jobs, 1000)
		assert.Equal(t, calls, 2)
		time.Sleep(time.Second)
		_, calls = l.reported("a")
		assert.Equal(t, calls, 2, "nothing new")
		l.change("b", nil)
		time.Sleep(time.Second)
		jobs, _ = l.reported("b")
		assert.Equal(t, jobs, 1000)
	})
	assert.Assert(t, l.calls[0].jobs[0].Age >= 3*time.Second, "the age grows while the report waits")
	for n, c := range l.calls {
		assert.Assert(t, len(c.jobs) <= 500)
		assert.Assert(t, n == 0 || c.at.Sub(l.calls[n-1].at) >= 250*time.Millisecond)
	}
}

// Guards against a leader of an earlier build that is called again and again, and against reports that are lost with it.
func TestAnEarlierBuildIsNotCalledForAWhile(t *testing.T) {
	l := &leaders{term: "old", err: status.Error(codes.Unimplemented, "unknown method")}
	l.report(t, func(m *refusal.Memory) {
		refuse(m, 0, 1)
		time.Sleep(4900 * time.Millisecond)
		_, calls := l.reported("old")
		assert.Equal(t, calls, 1)
		time.Sleep(time.Second)
		_, calls = l.reported("old")
		assert.Equal(t, calls, 2)
		l.change("new", nil)
		time.Sleep(time.Second)
		jobs, _ := l.reported("new")
		assert.Equal(t, jobs, 1)
	})
}

// Guards against a report that is lost with its answer: it must be made again until it is answered, and not after.
func TestALostReportIsMadeAgain(t *testing.T) {
	l := &leaders{term: "a", err: errors.New("no answer")}
	l.report(t, func(m *refusal.Memory) {
		refuse(m, 0, 3)
		time.Sleep(900 * time.Millisecond)
		_, calls := l.reported("a")
		assert.Equal(t, calls, 4)
		l.change("a", nil)
		time.Sleep(3 * time.Second)
		_, calls = l.reported("a")
		assert.Equal(t, calls, 5)
	})
}
