package main

import (
	"fmt"
	"runtime"
	"sync"
	"syscall"
	"time"

	"github.com/jaybarrow/jaybarrow"
)

// config is the experiment's settings.
type config struct {
	seed         uint64
	hosts, limit int
	teams        int
	skew, load   float64
	task, phase  time.Duration
	silent       bool
}

// tick is how often each team's demand starts tasks.
const tick = 10 * time.Millisecond

// permits is what a simulated entry host takes permits from.
type permits interface {
	acquire(host, team int) bool
	release(host, team int)
	waiting(host, team, slots int)
}

// keepers takes permits from the keepers under test.
type keepers struct{ *fleet }

func (k keepers) acquire(h, t int) bool { return k.hosts[h].keeper.TryAcquire(team(t), 1) }
func (k keepers) waiting(h, t, n int) {
	k.hosts[h].keeper.SetWaiting(team(t), jaybarrow.Slots(n))
}
func (k keepers) release(h, t int) { k.hosts[h].keeper.Release(team(t), 1) }

// counter is the ideal: one counter for each team that all hosts share without cost. With parts it is the static split.
type counter struct {
	mutex sync.Mutex
	used  map[[2]int]int
	limit func(host int) int
	key   func(host, team int) [2]int
}

func newIdeal(c config) *counter {
	return &counter{
		used: make(map[[2]int]int), limit: func(int) int { return c.limit },
		key: func(_, t int) [2]int { return [2]int{0, t} },
	}
}

func newSplit(c config) *counter {
	return &counter{
		used: make(map[[2]int]int), key: func(h, t int) [2]int { return [2]int{h, t} },
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
	if s.used[s.key(h, t)] >= s.limit(h) {
		return false
	}
	s.used[s.key(h, t)]++
	return true
}

func (s *counter) waiting(int, int, int) {}

func (s *counter) release(h, t int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.used[s.key(h, t)]--
}

// both runs a phase of the three workloads at once, and reports the writes and the processor time of it.
func both(f *fleet, name string, c config, loads []*workload) {
	writes, cpu, begun := f.writes.Load(), processorTime(), time.Now()
	shares := make([]float64, len(loads))
	var group sync.WaitGroup
	for i, w := range loads {
		group.Go(func() { shares[i] = w.phase(c.phase) })
	}
	group.Wait()
	seconds := time.Since(begun).Seconds()
	high, most, oldest := loads[0].waited()
	reachable, busiest := loads[0].reachable()
	fmt.Printf("%-22s used share of limit: keepers %.3f  static split %.3f  ideal %.3f  writes/s %.1f  cores %.2f\n"+
		"    reachable %.3f, 95%% of it from %v; %.3f at the busiest host, of it 90%% after %v, 95%% after %v; wait p99 %v, most %v, oldest waiting %v; writes %v\n",
		name, shares[0], shares[1], shares[2], float64(f.writes.Load()-writes)/seconds, (processorTime()-cpu).Seconds()/seconds,
		reachable, when(loads[0].stays(0.95)), busiest, when(loads[0].reached(0.9)), when(loads[0].reached(0.95)),
		high, most, oldest, f.reasons.take())
}

// when formats a time that may never have come.
func when(d time.Duration) string {
	if d < 0 {
		return "(not reached)"
	}
	return d.String()
}

func experiment(c config) {
	f := newFleet(c)
	defer f.close()
	fmt.Printf("seed %d, %d hosts, limit %d, %d teams, skew %.2f, load %.2f, task %v, silent %v\n",
		c.seed, c.hosts, c.limit, c.teams, c.skew, c.load, c.task, c.silent)
	quiet(f, "start, no demand", c)
	settle(f)
	quiet(f, "idle", c)
	loads := []*workload{newWorkload(c, keepers{f}), newWorkload(c, newSplit(c)), newWorkload(c, newIdeal(c))}
	if c.silent {
		close(f.hosts[c.hosts-1].store.frozen)
	}
	both(f, "demand begins", c, loads)
	both(f, "steady", c, loads)
	for _, w := range loads {
		w.busiest = 1
	}
	both(f, "shift to another host", c, loads)
	both(f, "steady after the shift", c, loads)
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	fmt.Printf("heap %.1f MB, %d goroutines\n", float64(memory.HeapAlloc)/1e6, runtime.NumGoroutine())
}

// settle waits until there was no write for a second, so that the floors are taken.
func settle(f *fleet) {
	begun := time.Now()
	for before := int64(-1); before != f.writes.Load(); time.Sleep(time.Second) {
		before = f.writes.Load()
		if time.Since(begun) > time.Minute {
			fmt.Println("still writing after a minute")
			return
		}
	}
	fmt.Printf("no writes for 1 s, %.0f s after the first phase; writes so far %v\n", time.Since(begun).Seconds(), f.reasons.take())
}

// quiet measures a phase without demand.
func quiet(f *fleet, name string, c config) {
	writes, cpu := f.writes.Load(), processorTime()
	time.Sleep(c.phase)
	fmt.Printf("%-22s writes/s %.1f  cores %.4f\n",
		name, float64(f.writes.Load()-writes)/c.phase.Seconds(), (processorTime()-cpu).Seconds()/c.phase.Seconds())
}

func processorTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

var _ permits = keepers{}

var _ jaybarrow.Store = (*countingStore)(nil)
