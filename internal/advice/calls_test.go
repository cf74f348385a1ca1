package advice_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jaybarrow/jaybarrow/internal/advice"
)

const decision = 100 * time.Millisecond

var begin = time.Unix(1000, 0)

// Guards against an adviser that is idle while a call is on its way, and against calls that wait there in no order of ours.
func TestAFewCallsAreUnderWay(t *testing.T) {
	for name, c := range map[string]struct {
		cost time.Duration
		want int
	}{"slow": {decision, 2}, "quick": {5 * time.Millisecond, 4}, "no time": {0, advice.MaxUnderWay}} {
		t.Run(name, func(t *testing.T) {
			var calls advice.Calls
			for calls.Turn(begin).Open {
				calls.Send(c.cost, false, begin)
			}
			assert.Equal(t, calls.UnderWay(), c.want)
		})
	}
}

// Guards against a call that is given up while it may still be served, and against one that is waited for although it is lost.
func TestACallIsLostOnceALaterOneIsAnswered(t *testing.T) {
	var calls advice.Calls
	now := begin
	first := calls.Send(decision, false, now)
	for now.Sub(begin) < time.Hour {
		now = now.Add(time.Minute)
		assert.Equal(t, len(calls.TakeLost(now)), 0, "after %v", now.Sub(begin))
	}
	assert.Assert(t, calls.Turn(now).Trial)
	trial := calls.Send(decision, true, now)
	now = now.Add(decision)
	calls.Answer(trial, now)
	assert.Equal(t, len(calls.TakeLost(now)), 0, "its answer may be on its way")
	wait, ok := calls.NextLoss(now)
	assert.Assert(t, ok)
	now = now.Add(wait + time.Millisecond)
	assert.DeepEqual(t, calls.TakeLost(now), []advice.CallNumber{first})
	assert.Equal(t, calls.UnderWay(), 0)
}

// Guards against two calls on two connections, of which the later one arrives first.
func TestCallsSentTogetherMayOvertakeEachOther(t *testing.T) {
	var calls advice.Calls
	calls.Send(decision, false, begin)
	second := calls.Send(decision, false, begin.Add(10*time.Millisecond))
	calls.Answer(second, begin.Add(time.Second))
	assert.Equal(t, len(calls.TakeLost(begin.Add(time.Minute))), 0)
}

// Guards against calls to a silent adviser that are more than it can serve afterwards, against the loss of the calls that come first there, and
// against an adviser that answers again and is not asked for long.
func TestASilentAdviserGetsFewTrials(t *testing.T) {
	const outage = time.Minute
	var calls advice.Calls
	sent, lastSent, now := 0, begin, begin
	for ; now.Sub(begin) < outage; now = now.Add(advice.TickInterval) {
		for _, n := range calls.TakeLost(now) {
			assert.Assert(t, n > 2, "call %d is given up", n)
		}
		for {
			turn := calls.Turn(now)
			if !turn.Open {
				break
			}
			calls.Send(decision, turn.Trial, now)
			sent, lastSent = sent+1, now
		}
	}
	assert.Assert(t, sent < 30, "%d calls in %v", sent, outage)
	assert.Assert(t, now.Sub(lastSent) < outage/3, "%v since the last call", now.Sub(lastSent))
}

// Guards against failing calls that follow each other without a pause, and against a pause that goes on after an answer.
func TestFailedCallsAreDelayed(t *testing.T) {
	var calls advice.Calls
	now, failed := begin, 0
	for now.Sub(begin) < 10*time.Second {
		turn := calls.Turn(now)
		if turn.Open {
			calls.Fail(calls.Send(decision, turn.Trial, now), now)
			failed++
			continue
		}
		assert.Assert(t, turn.Wait > 0 && turn.Wait <= time.Second, "%v", turn.Wait)
		now = now.Add(turn.Wait)
	}
	assert.Assert(t, failed < 20, "%d calls in 10 s", failed)
	n := calls.Send(decision, false, now)
	assert.Assert(t, !calls.Turn(now).Open, "one call at a time until an answer")
	calls.Answer(n, now.Add(decision))
	assert.Assert(t, calls.Turn(now.Add(decision)).Open)
}

// Guards against tickets that are used after their end because the process was paused while the answer waited for it, and against tickets that
// count as expired because the adviser is slower than announced.
func TestTheTimeOfAnAnswerIsBounded(t *testing.T) {
	t.Run("read at once", func(t *testing.T) {
		var calls advice.Calls
		n := calls.Send(decision, false, begin)
		assert.Equal(t, calls.Answer(n, begin.Add(decision)), begin.Add(decision))
	})
	t.Run("behind another one", func(t *testing.T) {
		var calls advice.Calls
		first, second := calls.Send(decision, false, begin), calls.Send(decision, false, begin)
		read := begin.Add(time.Minute)
		assert.Equal(t, calls.Answer(first, read), begin.Add(decision))
		assert.Equal(t, calls.Answer(second, read), begin.Add(2*decision))
	})
	t.Run("paused", func(t *testing.T) {
		var calls advice.Calls
		n := calls.Send(decision, false, begin)
		now := begin
		for ; now.Sub(begin) < time.Second; now = now.Add(advice.TickInterval) {
			calls.Tick(now)
		}
		now = now.Add(10 * time.Second)
		calls.Tick(now)
		assert.Equal(t, calls.Answer(n, now), begin.Add(decision))
	})
	t.Run("slow", func(t *testing.T) {
		var calls advice.Calls
		n := calls.Send(decision, false, begin)
		now := begin
		for ; now.Sub(begin) < 10*time.Second; now = now.Add(advice.TickInterval) {
			calls.Tick(now)
		}
		issued := calls.Answer(n, now)
		assert.Assert(t, now.Sub(issued) < time.Second, "given %v ago", now.Sub(issued))
	})
}
