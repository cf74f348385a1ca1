package clientlimit

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/jaybarrow/jaybarrow"
)

// Limit names a limit in logs and metrics.
type Limit string

// The limits.
const (
	LimitConnections Limit = "connections" // of one listener
	LimitBodies      Limit = "bodies"      // bytes of all bodies
	LimitBody        Limit = "body"        // bytes of one body
	LimitHeaders     Limit = "headers"     // bytes of one request's headers
	LimitShape       Limit = "shape"       // nesting and width of one body
	LimitMessages    Limit = "messages"    // bytes of all messages of other entry hosts
	LimitCalls       Limit = "calls"       // calls of other entry hosts
	LimitAnswers     Limit = "answers"     // bytes of all answers of servers
)

// reportInterval is the shortest time between two log lines about one limit of one listener.
const reportInterval = 10 * time.Second

// Reporter counts and logs how often the limits were reached. It is safe for concurrent use; a nil one does nothing.
type Reporter struct {
	clock jaybarrow.Clock
	log   zerolog.Logger
	count func(name string)
	seen  sync.Map // reported of a listener's limit, by name
}

// reported is what was reported about one limit.
type reported struct {
	unlogged atomic.Int64 // how often it was reached since the last line
	loggedAt atomic.Int64 // Unix nanoseconds
}

// NewReporter returns a Reporter that calls count with "limits.LISTENER.LIMIT" each time a limit is reached.
func NewReporter(clock jaybarrow.Clock, log zerolog.Logger, count func(name string)) *Reporter {
	return &Reporter{clock: clock, log: log, count: count}
}

// reached counts a limit and logs it at most once in reportInterval. The names of listeners and limits are few and fixed.
func (r *Reporter) reached(listener string, limit Limit, effect string) {
	if r == nil {
		return
	}
	name := "limits." + listener + "." + string(limit)
	r.count(name)
	v, ok := r.seen.Load(name)
	if !ok {
		v, _ = r.seen.LoadOrStore(name, new(reported))
	}
	s, _ := v.(*reported)
	s.unlogged.Add(1)
	now, last := r.clock.Now().UnixNano(), s.loggedAt.Load()
	if last != 0 && now-last < int64(reportInterval) || !s.loggedAt.CompareAndSwap(last, now) {
		return
	}
	r.log.Warn().Str("listener", listener).Str("limit", string(limit)).Int64("times", s.unlogged.Swap(0)).Str("effect", effect).Msg("limit for clients reached")
}
