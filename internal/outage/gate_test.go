package outage_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jaybarrow/jaybarrow/internal/outage"
)

// gate drives a Gate with a simulated clock.
type gate struct {
	*testing.T
	*outage.Gate
	now time.Time
}

func newGate(t *testing.T) *gate { return &gate{T: t, Gate: outage.New(), now: time.Unix(1000, 0)} }

// write tries a write and returns whether it was tried.
func (g *gate) write(o outage.Outcome) bool {
	p, allowed := g.Enter(g.now)
	if allowed {
		g.Leave(g.now, p, o)
	}
	return allowed
}

// fail lets writes and reads fail for the time.
func (g *gate) fail(d time.Duration) {
	for end := g.now.Add(d); g.now.Before(end); g.now = g.now.Add(10 * time.Millisecond) {
		g.write(outage.Failed)
		g.Probed(g.now, outage.ProbeFailed)
	}
}

// Load pattern: a store that is down for 5 s while callers hand in 20 jobs a second. After the first moments no write may be tried, since its
// outcome may be uncertain, and afterwards the writes must go out a few at a time.
func TestNoWriteIsTriedBeforeAReadIsAnswered(t *testing.T) {
	g := newGate(t)
	tried := 0
	for began := g.now; g.now.Sub(began) < 5*time.Second; g.now = g.now.Add(50 * time.Millisecond) {
		if g.write(outage.Failed) && g.now.Sub(began) > 300*time.Millisecond {
			tried++
		}
		g.Probed(g.now, outage.ProbeFailed)
	}
	assert.Equal(t, tried, 0)
	assert.Equal(t, g.Status(g.now).Phase, outage.PhaseRefusing)
	assert.Equal(t, g.Status(g.now).Lasted, 5*time.Second)
	g.Probed(g.now, outage.ProbeAnswered)
	var passes []outage.Pass
	for range 100 {
		if p, allowed := g.Enter(g.now); allowed {
			passes = append(passes, p)
		}
	}
	assert.Equal(t, len(passes), 4, "writes that are tried at once after the first read")
	for _, p := range passes {
		g.Leave(g.now, p, outage.Stored)
	}
	passes = nil
	for range 100 {
		if p, allowed := g.Enter(g.now); allowed {
			passes = append(passes, p)
		}
	}
	assert.Equal(t, len(passes), 8, "writes that are tried at once after four succeeded")
	for _, p := range passes {
		g.Leave(g.now, p, outage.Stored)
	}
	for range 8 {
		assert.Assert(t, g.write(outage.Stored))
	}
	assert.Equal(t, g.Status(g.now), outage.Status{Phase: outage.PhaseOpen, LastFailure: g.Status(g.now).LastFailure})
	wanted, _ := g.WantsReads()
	assert.Assert(t, !wanted)
}

// Guards against callers of a store that answers reads and accepts no writes: each trial costs its callers a certain answer, so that the trials
// must become rare.
func TestTrialsBecomeRareWhileOnlyReadsAreAnswered(t *testing.T) {
	g := newGate(t)
	g.fail(400 * time.Millisecond)
	tried := 0
	for began := g.now; g.now.Sub(began) < 20*time.Second; g.now = g.now.Add(10 * time.Millisecond) {
		if g.write(outage.Failed) {
			tried++
		}
		g.Probed(g.now, outage.ProbeAnswered)
	}
	assert.Assert(t, tried >= 5 && tried <= 12, "%d writes were tried", tried)
}

// Guards against an outage without an end: an outcome of a write from before the trial must not end it, a caller that gives up must not count,
// and a trial in which nobody writes must end.
func TestATrialIsDecidedByItsOwnWrites(t *testing.T) {
	g := newGate(t)
	early, _ := g.Enter(g.now)
	g.fail(time.Second)
	g.Probed(g.now, outage.ProbeAnswered)
	g.Leave(g.now, early, outage.Failed)
	assert.Equal(t, g.Status(g.now).Phase, outage.PhaseTrial)
	assert.Assert(t, g.write(outage.Unobserved))
	assert.Equal(t, g.Status(g.now).Phase, outage.PhaseTrial)
	g.now = g.now.Add(3 * time.Second)
	g.Probed(g.now, outage.ProbeAnswered)
	assert.Equal(t, g.Status(g.now).Phase, outage.PhaseOpen)
}

// Guards against a store that fails again during a trial while its writes wait.
func TestAFailedReadEndsATrial(t *testing.T) {
	g := newGate(t)
	g.fail(time.Second)
	g.Probed(g.now, outage.ProbeAnswered)
	p, allowed := g.Enter(g.now)
	assert.Assert(t, allowed)
	g.Probed(g.now, outage.ProbeFailed)
	assert.Assert(t, !g.write(outage.Stored))
	g.Leave(g.now, p, outage.Failed)
	assert.Equal(t, g.Status(g.now).Phase, outage.PhaseRefusing)
}

// Guards against refusals long after one failed write of a host with few callers.
func TestASingleFailureIsForgotten(t *testing.T) {
	g := newGate(t)
	assert.Assert(t, g.write(outage.Failed))
	wanted, _ := g.WantsReads()
	assert.Assert(t, wanted)
	for range 4 {
		g.now = g.now.Add(200 * time.Millisecond)
		g.Probed(g.now, outage.ProbeAnswered)
	}
	wanted, _ = g.WantsReads()
	assert.Assert(t, !wanted)
	g.now = g.now.Add(time.Hour)
	assert.Assert(t, g.write(outage.Stored))
}

// Guards against reads that hide an outage while writes still wait for their answers.
func TestReadsDoNotDecideWhileWritesWait(t *testing.T) {
	g := newGate(t)
	waiting, _ := g.Enter(g.now)
	assert.Assert(t, g.write(outage.Failed))
	for range 10 {
		g.now = g.now.Add(200 * time.Millisecond)
		g.Probed(g.now, outage.ProbeAnswered)
	}
	assert.Assert(t, !g.write(outage.Failed))
	g.Leave(g.now, waiting, outage.Failed)
	assert.Equal(t, g.Status(g.now).Phase, outage.PhaseRefusing)
}

// Guards against a change for a store that answers: every write is tried, also beside single failures.
func TestEveryWriteIsTriedWhileTheStoreAnswers(t *testing.T) {
	g := newGate(t)
	for n := range 1000 {
		o := outage.Stored
		if n%10 == 0 {
			o = outage.Failed
		}
		assert.Assert(t, g.write(o))
		g.now = g.now.Add(20 * time.Millisecond)
	}
	assert.Equal(t, g.Status(g.now).Lasted, time.Duration(0))
}

// Guards against a reader that does not learn that reads are needed.
func TestTheFirstFailureAsksForReads(t *testing.T) {
	g := newGate(t)
	wanted, changed := g.WantsReads()
	assert.Assert(t, !wanted)
	g.write(outage.Failed)
	select {
	case <-changed:
	default:
		t.Error("the channel is not closed")
	}
}

// Load pattern: a data centre is cut off for some seconds. Guards against an entry host there that stays in the rotation while it refuses every
// job, against all hosts leaving the rotation while the store is down for everybody, and against a host that stays out of it afterwards.
func TestACutOffHostServesNoNewCallers(t *testing.T) {
	refuse := func(found outage.Probe) *gate {
		g := newGate(t)
		assert.Assert(t, g.ServesCallers())
		for range 50 {
			g.write(outage.Failed)
			g.Probed(g.now, found)
			g.now = g.now.Add(10 * time.Millisecond)
		}
		assert.Equal(t, g.Status(g.now).Phase, outage.PhaseRefusing)
		return g
	}
	assert.Assert(t, refuse(outage.ProbeFailed).ServesCallers(), "the store is down for everybody")
	g := refuse(outage.ProbeCutOff)
	assert.Assert(t, !g.ServesCallers(), "cut off")
	g.Probed(g.now, outage.ProbeFailed)
	assert.Assert(t, g.ServesCallers(), "the leader answers again")
	g.Probed(g.now, outage.ProbeCutOff)
	assert.Assert(t, !g.ServesCallers())
	g.Probed(g.now, outage.ProbeAnswered)
	assert.Assert(t, g.ServesCallers(), "the store answers again")
}

// Guards against a trial that ends by answers to writes from before the outage, so that all writes go out at once to a store that may not take them.
func TestLateAnswersDoNotEndATrial(t *testing.T) {
	g := newGate(t)
	var early []outage.Pass
	for range 40 {
		p, allowed := g.Enter(g.now)
		assert.Assert(t, allowed)
		early = append(early, p)
	}
	g.fail(time.Second)
	g.Probed(g.now, outage.ProbeAnswered)
	assert.Equal(t, g.Status(g.now).Phase, outage.PhaseTrial)
	for _, p := range early {
		g.Leave(g.now, p, outage.Stored)
	}
	assert.Equal(t, g.Status(g.now).Phase, outage.PhaseTrial)
	tried := 0
	for range 100 {
		if _, allowed := g.Enter(g.now); allowed {
			tried++
		}
	}
	assert.Equal(t, tried, 4)
}
