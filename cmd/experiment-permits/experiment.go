package main

import (
	"fmt"
	"runtime"
	"sync"
	"syscall"
	"time"

	"github.com/jaybarrow/jaybarrow"
)

// config holds the settings of the experiment, which the flags in main describe.
type config struct {
	seed         uint64
	hosts, limit int
	teams        int
	skew, load   float64
	task, phase  time.Duration
	silent       bool
}

// tick is the interval between two steps of a workload.
const tick = 10 * time.Millisecond

// permits is a way to hand out the permits of each team to the simulated entry hosts. With setWaiting a host reports the slots that
// wait for permits.
type permits interface {
	acquire(host, team int) bool
	release(host, team int)
	setWaiting(host, team, slots int)
}

// keeperPermits acquires permits from the keepers under test.
type keeperPermits struct{ *fleet }

func (k keeperPermits) acquire(h, t int) bool { return k.hosts[h].keeper.TryAcquire(teamID(t), 1) }
func (k keeperPermits) setWaiting(h, t, n int) {
	k.hosts[h].keeper.SetWaiting(teamID(t), jaybarrow.Slots(n))
}
func (k keeperPermits) release(h, t int) { k.hosts[h].keeper.Release(teamID(t), 1) }

// counter counts the permits in use. With one count for each team, which all hosts share without cost, it is the ideal; with one
// for each host and team it is the static split of the limit.
type counter struct {
	mutex sync.Mutex
	used  map[[2]int]int
	limit func(host int) int
	keyOf func(host, team int) [2]int
}

func newIdeal(c config) *counter {
	return &counter{
		used: make(map[[2]int]int), limit: func(int) int { return c.limit },
		keyOf: func(_, t int) [2]int { return [2]int{0, t} },
	}
}

func newStaticSplit(c config) *counter {
	return &counter{
		used: make(map[[2]int]int), keyOf: func(h, t int) [2]int { return [2]int{h, t} },
		limit: func(h int) int {
			if h < c.limit%c.hosts {
				return c.limit/c.hosts + 1
			}
			return c.limit / c.hosts
		},
	}
}

func (s *counter) acquire(h, t int) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.used[s.keyOf(h, t)] >= s.limit(h) {
		return false
	}
	s.used[s.keyOf(h, t)]++
	return true
}

func (s *counter) setWaiting(int, int, int) {}

func (s *counter) release(h, t int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.used[s.keyOf(h, t)]--
}

// measurePhase runs a phase of all workloads concurrently and prints their use of the limits, the waits of the first workload, and
// the writes and processor time of the phase.
func measurePhase(f *fleet, name string, c config, loads []*workload) {
	writes, cpu, start := f.writes.Load(), processorTime(), time.Now()
	shares := make([]float64, len(loads))
	var group sync.WaitGroup
	for i, w := range loads {
		group.Go(func() { shares[i] = w.phase(c.phase) })
	}
	group.Wait()
	seconds := time.Since(start).Seconds()
	p99, longest, oldest := loads[0].waitTimes()
	reachable, busiest := loads[0].reachable()
	fmt.Printf("%-22s used share of limit: keepers %.3f  static split %.3f  ideal %.3f  writes/s %.1f  cores %.2f\n"+
		"    reachable %.3f, 95%% of it from %v; %.3f at the busiest host, of it 90%% after %v, 95%% after %v; wait p99 %v, most %v, oldest waiting %v; writes %v\n",
		name, shares[0], shares[1], shares[2], float64(f.writes.Load()-writes)/seconds, (processorTime()-cpu).Seconds()/seconds,
		reachable, formatTime(loads[0].timeToSettle(0.95)), busiest, formatTime(loads[0].timeToReach(0.9)), formatTime(loads[0].timeToReach(0.95)),
		p99, longest, oldest, f.reasons.takeCounts())
}

// formatTime formats a time after the start of a phase, which is negative when the event did not happen.
func formatTime(d time.Duration) string {
	if d < 0 {
		return "(not reached)"
	}
	return d.String()
}

// runExperiment prints the figures of each phase. With silent set, the last host's store is frozen from the start of the demand.
func runExperiment(c config) {
	f := newFleet(c)
	defer f.close()
	fmt.Printf("seed %d, %d hosts, limit %d, %d teams, skew %.2f, load %.2f, task %v, silent %v\n",
		c.seed, c.hosts, c.limit, c.teams, c.skew, c.load, c.task, c.silent)
	measureIdle(f, "start, no demand", c)
	waitUntilIdle(f)
	measureIdle(f, "idle", c)
	loads := []*workload{newWorkload(c, keeperPermits{f}), newWorkload(c, newStaticSplit(c)), newWorkload(c, newIdeal(c))}
	if c.silent {
		close(f.hosts[c.hosts-1].store.frozen)
	}
	measurePhase(f, "demand begins", c, loads)
	measurePhase(f, "steady", c, loads)
	for _, w := range loads {
		w.busiest = 1
	}
	measurePhase(f, "shift to another host", c, loads)
	measurePhase(f, "steady after the shift", c, loads)
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	fmt.Printf("heap %.1f MB, %d goroutines\n", float64(memory.HeapAlloc)/1e6, runtime.NumGoroutine())
}

// waitUntilIdle waits until there has been no write for a second, which means that the hosts have taken their floors, but not much
// longer than a minute. It prints how long that took.
func waitUntilIdle(f *fleet) {
	start := time.Now()
	for before := int64(-1); before != f.writes.Load(); time.Sleep(time.Second) {
		before = f.writes.Load()
		if time.Since(start) > time.Minute {
			fmt.Println("still writing after a minute")
			return
		}
	}
	fmt.Printf("no writes for 1 s, %.0f s after the first phase; writes so far %v\n", time.Since(start).Seconds(), f.reasons.takeCounts())
}

// measureIdle prints the writes and processor time of a phase without demand.
func measureIdle(f *fleet, name string, c config) {
	writes, cpu := f.writes.Load(), processorTime()
	time.Sleep(c.phase)
	fmt.Printf("%-22s writes/s %.1f  cores %.4f\n",
		name, float64(f.writes.Load()-writes)/c.phase.Seconds(), (processorTime()-cpu).Seconds()/c.phase.Seconds())
}

// processorTime returns the processor time that this process has used, or 0 when it is unknown.
func processorTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

var _ permits = keeperPermits{}

var _ jaybarrow.Store = (*countingStore)(nil)
