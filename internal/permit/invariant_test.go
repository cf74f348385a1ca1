package permit_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/internal/permit"
)

var faults = []fault{faultNone, faultLostAnswer, faultLostRequest, faultLateWrite, faultRefused, faultMixed}

// Guards against more running slots than the limit in force allows: through the use of permits that a write of unknown outcome
// gave away, of permits gained by an unconfirmed write, of permits of a crashed host whose tasks still run, or of permits above
// the host's quota under a lowered limit.
func TestRunningStaysWithinLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rapid.SyncTest(t, func(t *rapid.T) { checkRandomSteps(t, faults) })
	})
}

func checkRandomSteps(t *rapid.T, faults []fault) {
	f := newFleet(rapid.IntRange(1, 5).Draw(t, "hosts"), jaybarrow.Slots(rapid.IntRange(1, 12).Draw(t, "limit")), rapid.Uint64().Draw(t, "seed"))
	defer f.close()
	m := &stateMachine{fleet: f, faults: faults, gone: make(map[*host]bool)}
	time.Sleep(time.Second)
	t.Repeat(map[string]func(*rapid.T){
		"":        m.verify,
		"acquire": m.acquire,
		"load":    m.load,
		"release": m.release,
		"fault":   m.setFault,
		"limit":   m.setLimit,
		"crash":   m.crash,
		"restart": m.restart,
		"gone":    m.setGone,
		"pause":   m.pause,
		"wait":    m.wait,
		"quiet":   m.checkNoIdleWrites,
	})
	m.checkRecovery(t)
}

// stateMachine takes random steps on a fleet; rapid calls its methods.
type stateMachine struct {
	*fleet
	faults []fault
	gone   map[*host]bool
	paused map[*host]bool
}

func (m *stateMachine) host(t *rapid.T) *host {
	return m.hosts[rapid.IntRange(0, len(m.hosts)-1).Draw(t, "host")]
}

func (m *stateMachine) running(t *rapid.T) *host {
	h := m.host(t)
	if !h.up || m.paused[h] {
		t.Skip("not running")
	}
	return h
}

func (m *stateMachine) verify(t *rapid.T) {
	if err := m.check(); err != nil {
		t.Fatal(err)
	}
}

func (m *stateMachine) acquire(t *rapid.T) {
	m.start(t, m.running(t), jaybarrow.Slots(rapid.IntRange(1, 3).Draw(t, "slots")))
}

func (m *stateMachine) start(t *rapid.T, h *host, slots jaybarrow.Slots) bool {
	started, err := m.fleet.acquire(h, slots)
	if err != nil {
		t.Fatal(err)
	}
	return started
}

// load creates demand above the limit on all running hosts, with tasks that end at random.
func (m *stateMachine) load(t *rapid.T) {
	ending := rapid.IntRange(0, 3).Draw(t, "ending")
	random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "order"), 0))
	for range rapid.IntRange(5, 150).Draw(t, "ticks") {
		h := m.hosts[random.IntN(len(m.hosts))]
		if h.up {
			m.start(t, h, 1)
		}
		if len(m.tasks) > 0 && random.IntN(10) < ending {
			m.fleet.release(random.IntN(len(m.tasks)))
		}
		time.Sleep(time.Duration(random.IntN(10)) * time.Millisecond)
		m.verify(t)
	}
}

func (m *stateMachine) release(t *rapid.T) {
	for range rapid.IntRange(1, 4).Draw(t, "tasks") {
		if len(m.tasks) == 0 {
			return
		}
		i := rapid.IntRange(0, len(m.tasks)-1).Draw(t, "task")
		if task := m.tasks[i]; task.until.IsZero() && m.paused[task.host] {
			continue
		}
		m.fleet.release(i)
	}
}

func (m *stateMachine) setFault(t *rapid.T) {
	m.host(t).injectFault(rapid.SampledFrom(m.faults).Draw(t, "fault"))
}

func (m *stateMachine) setLimit(t *rapid.T) {
	m.fleet.setLimit(jaybarrow.Slots(rapid.IntRange(1, 12).Draw(t, "limit")))
}

func (m *stateMachine) crash(t *rapid.T) { m.fleet.crash(m.running(t)) }

func (m *stateMachine) restart(t *rapid.T) {
	h := m.host(t)
	if h.up || m.gone[h] {
		t.Skip("not stopped")
	}
	h.start(m.fleet)
}

func (m *stateMachine) setGone(t *rapid.T) {
	h := m.host(t)
	if h.up || m.gone[h] {
		t.Skip("not stopped")
	}
	m.gone[h] = true
	m.conditions.setGone(h.id)
}

// pause suspends a host's process for some time. Its tasks go on at the workers, but it learns of their ends only when it resumes.
func (m *stateMachine) pause(t *rapid.T) {
	h := m.running(t)
	h.pause()
	m.paused = map[*host]bool{h: true}
	m.wait(t)
	if other := m.host(t); other != h && other.up {
		m.start(t, other, 1)
	}
	m.wait(t)
	m.paused = nil
	h.resume()
}

func (m *stateMachine) wait(t *rapid.T) {
	for range rapid.IntRange(1, 8).Draw(t, "steps") {
		time.Sleep(time.Duration(rapid.SampledFrom([]int{10, 60, 150, 700, 3000}).Draw(t, "ms")) * time.Millisecond)
		m.verify(t)
	}
}

// settleTime covers every write that earlier steps may still cause: the permits of a host that is gone are reclaimed 14.6 s after
// the platform reports it (the longest task and a margin), and a write waits for the watch and a backoff of up to 2 s, twice.
const settleTime = 25 * time.Second

// checkNoIdleWrites guards against an endless sequence of writes without any demand.
func (m *stateMachine) checkNoIdleWrites(t *rapid.T) {
	for _, h := range m.hosts {
		h.injectFault(faultNone)
	}
	time.Sleep(settleTime)
	_, before := m.record()
	time.Sleep(5 * time.Second)
	if record, after := m.record(); after != before {
		var states []permit.TeamPermits
		for _, h := range m.hosts {
			states = append(states, h.state())
		}
		t.Fatalf("the allotment was written without demand: %+v\n%+v", record, states)
	}
}

// checkRecovery guards against permits that are lost for good: without faults, every host gets a permit within 10 s.
func (m *stateMachine) checkRecovery(t *rapid.T) {
	for _, h := range m.hosts {
		h.injectFault(faultNone)
		if !h.up && !m.gone[h] {
			h.start(m.fleet)
		}
	}
	for len(m.tasks) > 0 {
		m.fleet.release(0)
	}
	time.Sleep(20 * time.Second)
	for _, h := range m.hosts {
		if !h.up {
			continue
		}
		begun := time.Now()
		for !m.start(t, h, 1) {
			if time.Since(begun) > 10*time.Second {
				record, _ := m.record()
				t.Fatalf("%s got no permit in 10 s: %+v %+v", h.id, record, h.keeper.Snapshot())
			}
			time.Sleep(20 * time.Millisecond)
		}
		m.fleet.release(0)
	}
}

// Guards against a checker that cannot fail. A store that reports success for a write without effect makes the Keeper use
// permits before their gain is confirmed; one that reports notRun for a write that took effect makes it use permits that it has
// given away. The checker must find both.
func TestCheckerFindsBrokenRules(t *testing.T) {
	for _, broken := range []fault{faultFalseSuccess, faultFalseFailure} {
		t.Run(string(broken), func(t *testing.T) {
			found := false
			for seed := uint64(0); seed < 20 && !found; seed++ {
				found = shiftDemand(t, broken, seed) != nil
			}
			if !found {
				t.Fatal("the checker did not find the broken rule in 20 runs")
			}
		})
		t.Run(string(broken)+"/control", func(t *testing.T) {
			if err := shiftDemand(t, faultNone, 1); err != nil {
				t.Fatal(err)
			}
		})
	}
}

var _ jaybarrow.Permits = (*permit.Keeper)(nil)
