package permit_test

import (
	"context"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/goleak"
	"gotest.tools/v3/assert"

	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/internal/allotment"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// shiftDemand starts and ends tasks at random on two hosts under the fault, and returns the checker's last error.
func shiftDemand(t *testing.T, broken fault, seed uint64) (found error) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(2, 8, seed)
		defer f.close()
		time.Sleep(time.Second)
		random := rand.New(rand.NewPCG(seed, seed))
		f.hosts[0].setLag(3 * time.Second)
		for _, h := range f.hosts {
			h.injectFault(broken)
		}
		for phase := 0; phase < 40 && found == nil; phase++ {
			h := f.hosts[random.IntN(2)]
			if random.IntN(2) == 0 {
				f.releaseAll(h)
			}
			for range 50 {
				if _, err := f.acquire(h, 1); err != nil {
					found = err
				}
				time.Sleep(20 * time.Millisecond)
			}
		}
	})
	return found
}

// eventually polls the condition every 10 ms of virtual time until it holds, and returns how long that took. It fails the test
// when the limit is exceeded.
func eventually(t *testing.T, limit time.Duration, what string, condition func() bool) time.Duration {
	t.Helper()
	begun := time.Now()
	for !condition() {
		if time.Since(begun) > limit {
			t.Fatalf("condition not met in %v: %s", limit, what)
		}
		time.Sleep(10 * time.Millisecond)
	}
	return time.Since(begun)
}

// fill acquires one-slot tasks until the host has the given number in use.
func fill(t *testing.T, f *fleet, h *host, want int) {
	t.Helper()
	held := 0
	eventually(t, 5*time.Second, "demand met", func() bool {
		for held < want {
			started, err := f.acquire(h, 1)
			assert.NilError(t, err)
			if !started {
				return false
			}
			held++
		}
		return true
	})
}

func (f *fleet) granted(h *host) jaybarrow.Slots {
	record, _ := f.record()
	return record.Grants[h.id].Slots
}

func (f *fleet) releaseAll(h *host) {
	for i := len(f.tasks) - 1; i >= 0; i-- {
		if f.tasks[i].host == h {
			f.release(i)
		}
	}
}

func withFleet(t *testing.T, hosts int, limit jaybarrow.Slots, body func(t *testing.T, f *fleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(hosts, limit, 1)
		defer f.close()
		time.Sleep(2 * time.Second)
		body(t, f)
		assert.NilError(t, f.check())
	})
}

// Guards against a burst at one host that cannot use the permits outside the floors, and against idle permits that stay with
// their holder.
func TestDemandMovesPermits(t *testing.T) {
	withFleet(t, 9, 90, func(t *testing.T, f *fleet) {
		fill(t, f, f.hosts[0], 50) // its floor of 5 and the 45 permits outside the floors
		f.releaseAll(f.hosts[0])
		took := eventually(t, time.Second, "idle permits are returned", func() bool { return f.granted(f.hosts[0]) == 5 })
		t.Logf("idle permits were returned after %v", took)
		fill(t, f, f.hosts[1], 50)
	})
}

// Guards against starvation and livelock when several hosts compete for fewer permits than there are hosts.
func TestSmallLimitsRotate(t *testing.T) {
	for _, c := range []struct {
		name         string
		hosts        int
		limit, slots jaybarrow.Slots
	}{
		{"one permit for five hosts", 5, 1, 1},
		{"two permits for five hosts", 5, 2, 1},
		{"one task at a time takes the whole limit", 4, 6, 6},
		{"tasks larger than the even share", 3, 6, 4},
	} {
		t.Run(c.name, func(t *testing.T) {
			withFleet(t, c.hosts, c.limit, func(t *testing.T, f *fleet) {
				served := make([]int, c.hosts)
				begun := time.Now()
				eventually(t, time.Minute, "each host starts five tasks", func() bool {
					for len(f.tasks) > 0 {
						f.release(0)
					}
					least := 5
					for i, h := range f.hosts {
						started, err := f.acquire(h, c.slots)
						assert.NilError(t, err)
						if started {
							served[i]++
						}
						least = min(least, served[i])
					}
					time.Sleep(20 * time.Millisecond)
					return least == 5
				})
				t.Logf("starts per host %v in %v", served, time.Since(begun))
			})
		})
	}
}

// Guards against a busy holder that keeps more permits than its even share while another host waits.
func TestHolderAboveEvenShareYieldsPermits(t *testing.T) {
	withFleet(t, 2, 20, func(t *testing.T, f *fleet) {
		fill(t, f, f.hosts[0], 15)
		eventually(t, 10*time.Second, "permits are shared evenly", func() bool {
			for _, h := range f.hosts {
				for started, err := true, error(nil); started; {
					started, err = f.acquire(h, 1)
					assert.NilError(t, err)
				}
			}
			time.Sleep(50 * time.Millisecond)
			f.release(0)
			return f.granted(f.hosts[1]) >= 9 && f.granted(f.hosts[0]) >= 9
		})
	})
}

// Guards against a lowered limit that is reported in force too early, or above which holders still start tasks.
func TestLoweredLimit(t *testing.T) {
	withFleet(t, 3, 30, func(t *testing.T, f *fleet) {
		fill(t, f, f.hosts[0], 20)
		f.setLimit(6)
		eventually(t, 5*time.Second, "only the busy holder is above its quota", func() bool {
			record, _ := f.record()
			pending := allotment.HoldersAboveQuota(record)
			return len(pending) == 1 && pending[0] == f.hosts[0].id
		})
		record, _ := f.record()
		assert.Assert(t, !allotment.InForce(record))
		for !allotment.InForce(record) {
			started, err := f.acquire(f.hosts[0], 1)
			assert.NilError(t, err)
			assert.Assert(t, !started, "a task started above the lowered limit")
			f.release(0)
			time.Sleep(200 * time.Millisecond)
			record, _ = f.record()
		}
		assert.NilError(t, f.check())
		f.setLimit(30)
		fill(t, f, f.hosts[0], 10)
	})
}

// Guards against the use of a restarted host's permits while tasks of its older process may run, and against the loss of these
// permits afterwards.
func TestRestartQuarantinesOldGrant(t *testing.T) {
	withFleet(t, 2, 10, func(t *testing.T, f *fleet) {
		fill(t, f, f.hosts[0], 6)
		f.crash(f.hosts[0])
		f.hosts[0].start(f)
		time.Sleep(5 * time.Second)
		state := f.hosts[0].state()
		assert.Assert(t, state.Quarantined >= 6)
		assert.Equal(t, state.Quarantined, f.granted(f.hosts[0]))
		assert.Equal(t, state.Usable, jaybarrow.Slots(0))
		f.tasks = nil
		fill(t, f, f.hosts[1], 3)
		took := eventually(t, 10*time.Second, "a start after the quarantine", func() bool {
			started, err := f.acquire(f.hosts[0], 1)
			assert.NilError(t, err)
			return started
		})
		t.Logf("first start %v after the restart", took+5*time.Second)
	})
}

// Guards against the loss of the permits of a host that is gone, and against their reclaim while its tasks may run.
func TestGoneHostIsReclaimed(t *testing.T) {
	withFleet(t, 2, 10, func(t *testing.T, f *fleet) {
		fill(t, f, f.hosts[0], 6)
		f.crash(f.hosts[0])
		time.Sleep(30 * time.Second)
		assert.Assert(t, f.granted(f.hosts[0]) > 0, "permits reclaimed before the platform reported the host as gone")
		f.conditions.setGone(f.hosts[0].id)
		time.Sleep(10 * time.Second)
		assert.Assert(t, f.granted(f.hosts[0]) > 0, "permits reclaimed while the tasks may still run")
		eventually(t, 10*time.Second, "reclaimed", func() bool { return f.granted(f.hosts[0]) == 0 })
		fill(t, f, f.hosts[1], 10)
	})
}

// Guards against a planned stop that keeps permits, gives away permits in use, or blocks for ever.
func TestCloseReleasesAll(t *testing.T) {
	withFleet(t, 2, 10, func(t *testing.T, f *fleet) {
		h := f.hosts[0]
		fill(t, f, h, 6)
		ctx, cancel := context.WithTimeout(context.Background(), 500*time.Millisecond)
		defer cancel()
		closed := make(chan error, 1)
		go func() { closed <- h.keeper.Close(context.Background()) }()
		<-ctx.Done()
		assert.Equal(t, f.granted(h), jaybarrow.Slots(6))
		assert.Assert(t, !h.keeper.TryAcquire(team, 1))
		f.releaseAll(h)
		assert.NilError(t, <-closed)
		record, _ := f.record()
		_, holds := record.Grants[h.id]
		assert.Assert(t, !holds)
		fill(t, f, f.hosts[1], 10)

		other := f.hosts[1]
		expired, cancelNow := context.WithTimeout(context.Background(), time.Second)
		defer cancelNow()
		assert.ErrorIs(t, other.keeper.Close(expired), context.DeadlineExceeded)
	})
}

// Guards against writes while traffic is steady, which would load the store for nothing.
func TestSteadyTrafficWritesLittle(t *testing.T) {
	withFleet(t, 3, 60, func(t *testing.T, f *fleet) {
		fill(t, f, f.hosts[0], 20)
		time.Sleep(2 * time.Second)
		_, before := f.record()
		for i := range 2000 {
			for len(f.tasks) > 16+i%5 {
				f.release(0)
			}
			for len(f.tasks) < 16+(i+1)%5 {
				_, err := f.acquire(f.hosts[0], 1)
				assert.NilError(t, err)
			}
			time.Sleep(5 * time.Millisecond)
		}
		_, after := f.record()
		assert.Equal(t, after, before, "writes during 10 s of steady traffic")
	})
}
