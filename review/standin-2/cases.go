package main

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"syscall"
	"time"
)

// cancelledRuns: a worker is cut off while a submission that runs there is cancelled, and the leader is stopped and started in turn. Its
// successor must still count what runs on the worker for the tenant. Rule QUOTA.
func cancelledRuns(c *cluster) (string, error) {
	const capCPU, unitCPU, units = 20000, 2000, 10
	if err := c.start(6, capCPU, 2*time.Second); err != nil {
		return "", err
	}
	var broken string
	c.floor.lock.Lock()
	c.floor.onStart = func(started *unitRun) {
		used, unit := int64(0), started.stepSpec().CPU
		for _, w := range c.floor.workers {
			for _, r := range w.running {
				if r.spec.tenant == started.spec.tenant {
					used += r.stepSpec().CPU
				}
			}
		}
		if most := int64((1+quotaOver)*capCPU) + unit; used > most && broken == "" {
			broken = fmt.Sprintf("QUOTA: the start of %s brings tenant %s to %d, above %d (cap %d)", started.task, started.spec.tenant, used, most, int64(capCPU))
			c.log.print("%s", broken)
		}
	}
	c.floor.lock.Unlock()
	step := stepSpec{Replicas: units, CPU: unitCPU, MemoryMB: 100, EstimateMs: 60000}
	first, second := c.newSubmission(time.Minute, step), c.newSubmission(time.Minute, step)
	if err := c.submit(first, 5*time.Second); err != nil {
		return "", err
	}
	if !c.await(5*time.Second, func() bool { return total(c.floor.runsOf(first.id)) == units }) {
		return "", fmt.Errorf("%w: the first submission does not run", errNotRun)
	}
	time.Sleep(time.Second)
	if c.trouble {
		for w := range c.floor.runsOf(first.id) {
			w.setDark(true)
			time.AfterFunc(5500*time.Millisecond, func() { w.setDark(false) })
			break // one worker of six, which runs all of the submission unless the product spreads it
		}
	}
	if status, _ := c.other().call(http.MethodDelete, first.id, nil); status != http.StatusOK {
		return "", fmt.Errorf("%w: the submission is not cancelled", errNotRun)
	}
	time.Sleep(300 * time.Millisecond)
	c.leader().roll()
	time.Sleep(300 * time.Millisecond)
	if err := c.submit(second, 5*time.Second); err != nil {
		return "", err
	}
	if !c.await(20*time.Second, func() bool { return len(c.floor.startsOf(second.id)) == units }) {
		return "", fmt.Errorf("%w: the second submission does not run", errNotRun)
	}
	c.floor.lock.Lock()
	defer c.floor.lock.Unlock()
	return broken, nil
}

// gangCheckpoints: a worker that runs a member of a gang is cut off until its lease has lapsed. When the gang starts again, all of its members
// must carry the same checkpoint. Rule UNASKED.
func gangCheckpoints(c *cluster) (string, error) {
	if err := c.start(6, 0, 2*time.Second); err != nil {
		return "", err
	}
	const members = 3
	gang := c.newSubmission(12*time.Second, stepSpec{Replicas: members, CPU: 40000, MemoryMB: 100, EstimateMs: 12000, Gang: true, Checkpoint: true})
	if err := c.submit(gang, 5*time.Second); err != nil {
		return "", err
	}
	if !c.await(5*time.Second, func() bool { return total(c.floor.runsOf(gang.id)) == members }) {
		return "", fmt.Errorf("%w: the gang does not run", errNotRun)
	}
	time.Sleep(2500 * time.Millisecond)
	if c.trouble {
		for w := range c.floor.runsOf(gang.id) {
			w.setDark(true)
			time.AfterFunc(5500*time.Millisecond, func() { w.setDark(false) })
			break // one worker of six
		}
	}
	if !c.await(40*time.Second, func() bool {
		status, body := c.other().call(http.MethodGet, gang.id, nil)
		time.Sleep(500 * time.Millisecond)
		return status == http.StatusOK && strings.Contains(body, "completed")
	}) {
		c.log.print("the gang is not shown as completed")
	}
	saved := make(map[int64][]string) // by run
	for _, s := range c.floor.startsOf(gang.id) {
		if !slices.Contains(saved[s.number], s.saved) {
			saved[s.number] = append(saved[s.number], s.saved)
		}
	}
	if c.trouble && len(saved) < 2 {
		return "", fmt.Errorf("%w: the gang was not started again", errNotRun)
	}
	for run, values := range saved {
		if len(values) > 1 {
			return fmt.Sprintf("UNASKED: the members of run %d of the gang were told to start with different saved values: %q", run, values), nil
		}
	}
	return "", nil
}

// waitingCount: the pool is full but for one worker, which refuses starts. The submissions that wait for room must be counted as waiting.
// Rule MIXED.
func waitingCount(c *cluster) (string, error) {
	const workers, waiting = 7, 12
	if err := c.start(workers, 0, 2*time.Second); err != nil {
		return "", err
	}
	// Leaves one worker empty and 2 cores on each of the others.
	full := c.newSubmission(30*time.Second, stepSpec{Replicas: workers - 1, CPU: 62000, MemoryMB: 100, EstimateMs: 30000})
	if err := c.submit(full, 5*time.Second); err != nil {
		return "", err
	}
	if !c.await(5*time.Second, func() bool { return total(c.floor.runsOf(full.id)) == workers-1 }) {
		return "", fmt.Errorf("%w: the pool is not full", errNotRun)
	}
	busy := c.floor.runsOf(full.id)
	if c.trouble {
		for _, w := range c.floor.workers {
			if busy[w] == 0 {
				w.setSick(true)
				time.AfterFunc(6500*time.Millisecond, func() { w.setSick(false) })
			}
		}
	}
	time.Sleep(200 * time.Millisecond)
	var handedIn []submission
	for range waiting {
		s := c.newSubmission(time.Second, stepSpec{Replicas: 1, CPU: 4000, MemoryMB: 100, EstimateMs: 1000})
		if err := c.submit(s, time.Second); err != nil {
			return "", err
		}
		handedIn = append(handedIn, s)
	}
	time.Sleep(visibleTime + 2*time.Second + 100*time.Millisecond)
	unbegun := 0
	for _, s := range handedIn {
		if len(c.floor.startsOf(s.id)) == 0 {
			unbegun++
		}
	}
	c.log.print("%d submissions were accepted over 5 s ago and have not begun", unbegun)
	for _, h := range c.hosts {
		status, body := h.call(http.MethodGet, "", nil)
		var shown int
		if _, err := fmt.Sscanf(body, `{"waiting":%d}`, &shown); status != http.StatusOK || err != nil {
			return "", fmt.Errorf("%w: no count from %s", errNotRun, h.id)
		}
		if 2*shown < unbegun {
			return fmt.Sprintf("MIXED: %s gives %d submissions as waiting, %d have not begun", h.id, shown, unbegun), nil
		}
	}
	return "", nil
}

// upkeepAtOnce: the leader is stopped and started in turn right after it has begun the upkeep of a machine. Its successor must not begin
// another one while that machine is down. Rule LIMIT.
func upkeepAtOnce(c *cluster) (string, error) {
	const upkeep, mostAtOnce = 8 * time.Second, 1
	if err := c.start(4, 0, upkeep); err != nil {
		return "", err
	}
	// The upkeeps of a wave begin one after the other without trouble.
	c.store.set("op/wave/1", map[string]any{"wave": 1, "machines": []string{"m1", "m2", "m3"}, "finish_by_s": 60, "cap": mostAtOnce})
	if !c.await(20*time.Second, func() bool { return len(c.cloud.begins()) > 0 }) {
		return "", fmt.Errorf("%w: no upkeep begins", errNotRun)
	}
	if c.trouble {
		time.Sleep(300 * time.Millisecond)
		c.leader().roll()
	}
	if !c.await(60*time.Second, func() bool { return len(c.cloud.begins()) == 3 }) {
		return "", fmt.Errorf("%w: the wave does not end", errNotRun)
	}
	for _, b := range c.cloud.begins() {
		if b.down >= mostAtOnce {
			return fmt.Sprintf("LIMIT: the upkeep of %s begins while %d machines of its wave are down for theirs, cap %d", b.machine, b.down, mostAtOnce), nil
		}
	}
	return "", nil
}

// wavesAtOnce: two waves name the same machines, and either may take them all down at once. A wave must not be said to be completed before each of
// its machines has begun the upkeep that it asks for. Without trouble the second wave is written after the first has ended. Rule MIXED.
func wavesAtOnce(c *cluster) (string, error) {
	const machines = 8
	if err := c.start(machines, 0, 2*time.Second); err != nil {
		return "", err
	}
	var named []string
	for n := range machines - 1 {
		named = append(named, fmt.Sprintf("m%d", n+1))
	}
	write := func(wave int) {
		c.log.print("PLANNED   wave %d names %v", wave, named)
		c.store.set(fmt.Sprintf("op/wave/%d", wave), map[string]any{"wave": wave, "machines": named, "finish_by_s": 26, "cap": machines})
	}
	completed := func(wave int) bool {
		return strings.Contains(string(c.store.value(fmt.Sprintf("status/wave/%d", wave))), `"completed"`)
	}
	write(1)
	if !c.trouble && !c.await(30*time.Second, func() bool { return completed(1) }) {
		return "", fmt.Errorf("%w: the first wave does not end", errNotRun)
	}
	write(2)
	if !c.await(60*time.Second, func() bool { return completed(1) && completed(2) }) {
		return "", fmt.Errorf("%w: the waves do not end", errNotRun)
	}
	for _, wave := range []int64{1, 2} {
		var left []string
		for _, name := range named {
			if !slices.ContainsFunc(c.cloud.begins(), func(b upkeepBegin) bool { return b.machine == name && b.wave == wave }) {
				left = append(left, name)
			}
		}
		c.log.print("wave %d is said to be completed; not begun: %v", wave, left)
		if len(left) > 0 {
			return fmt.Sprintf("MIXED: wave %d is said to be completed, and %v have not begun their upkeep", wave, left), nil
		}
	}
	return "", nil
}

// longSchedules: callers hand in schedules of one day. The platform kills a process that exceeds its memory and starts it again. Without trouble
// the schedules are as short as on the sheet. Rule LOST.
func longSchedules(c *cluster) (string, error) {
	const submissions, day, short, everyMs = 60, 19200, 6, 4500
	if err := c.start(6, 0, 2*time.Second); err != nil {
		return "", err
	}
	for _, h := range c.hosts {
		h.limitMemory()
	}
	runs := short
	if c.trouble {
		runs = day
	}
	step := stepSpec{Replicas: 1, CPU: 500, MemoryMB: 100, EstimateMs: 1000}
	for range submissions {
		s := c.newSubmission(time.Second, step)
		s.body["max_runs"], s.body["interval_ms"], s.body["start_time_ms"] = runs, everyMs, time.Now().Add(time.Hour).UnixMilli()
		if err := c.submit(s, 10*time.Second); err != nil {
			return "", err
		}
	}
	time.Sleep(10 * time.Second)
	plain := c.newSubmission(time.Second, step)
	if err := c.submit(plain, 10*time.Second); err != nil {
		return "", err
	}
	if c.await(finishTime+3*time.Second, func() bool { return len(c.floor.startsOf(plain.id)) == 1 }) {
		return "", nil
	}
	var ends []string
	for _, h := range c.hosts {
		ends = append(ends, fmt.Sprintf("%s %d times", h.id, h.memoryEnds.Load()))
	}
	return fmt.Sprintf("LOST: submission %s is accepted and has nothing running %s later, with all workers idle; processes that exceeded their memory: %s",
		plain.id, finishTime+3*time.Second, strings.Join(ends, ", ")), nil
}

// lateAcceptance: the answers to the writes of one submission are lost, and the writes are carried out seconds later. Its caller gets no answer
// and cancels. After the cancelling is acknowledged nothing of it may start. Rule UNASKED.
func lateAcceptance(c *cluster) (string, error) {
	if err := c.start(4, 0, 2*time.Second); err != nil {
		return "", err
	}
	s := c.newSubmission(time.Second, stepSpec{Replicas: 2, CPU: 2000, MemoryMB: 100, EstimateMs: 1000})
	if c.trouble {
		const troubleTime, late = time.Second, 5800 * time.Millisecond
		until := time.Now().Add(troubleTime)
		c.store.lock.Lock()
		c.store.late = func(in change) (time.Duration, bool) {
			for _, p := range in.Puts {
				if strings.HasSuffix(p.Key, s.id) && time.Now().Before(until) {
					c.log.print("TROUBLE   a write of %s is not answered and done %s later", p.Key, late)
					return late, true
				}
			}
			return 0, false
		}
		c.store.lock.Unlock()
		c.log.print("TROUBLE   the store loses answers for %s", troubleTime)
	}
	c.other().call(http.MethodPost, s.id, s.body)
	status, _ := c.other().call(http.MethodDelete, s.id, nil)
	acknowledged := time.Now()
	if status != http.StatusOK && status != http.StatusGone {
		return "", fmt.Errorf("%w: the cancelling is not acknowledged", errNotRun)
	}
	time.Sleep(10 * time.Second)
	for _, started := range c.floor.startsOf(s.id) {
		if after := started.at.Sub(acknowledged); after > cancelTime {
			return fmt.Sprintf("UNASKED: %s starts %d ms after its cancelling was acknowledged with %d", started.task, after.Milliseconds(), status), nil
		}
	}
	return "", nil
}

// cancelledBeforeAccepted: an entry host stands still when a submission is handed in there. Its caller leaves when its time is over and cancels at
// another entry host. When the first one goes on, it must not bring the submission to life. Rule UNASKED.
func cancelledBeforeAccepted(c *cluster) (string, error) {
	const freeze, nearby = 4 * time.Second, 10 * time.Second
	if err := c.start(4, 0, 2*time.Second); err != nil {
		return "", err
	}
	first := c.other()
	second := c.leader()
	s := c.newSubmission(0, stepSpec{Replicas: 2, CPU: 2000, MemoryMB: 100, EstimateMs: 1000, Daemon: true, MayMiss: 1})
	thawed := time.Now().Add(freeze)
	if c.trouble {
		c.log.print("TROUBLE   %s stands still for %s", first.id, freeze)
		first.signal(syscall.SIGSTOP)
		time.AfterFunc(freeze, func() {
			first.signal(syscall.SIGCONT)
			c.log.print("TROUBLE   %s goes on", first.id)
		})
	}
	if status, _ := first.call(http.MethodPost, s.id, s.body); !c.trouble && status != http.StatusOK {
		return "", fmt.Errorf("%w: the submission is not accepted", errNotRun)
	}
	status, _ := second.call(http.MethodDelete, s.id, nil)
	acknowledged := time.Now()
	if status != http.StatusOK && status != http.StatusGone {
		return "", fmt.Errorf("%w: the cancelling is not acknowledged", errNotRun)
	}
	time.Sleep(time.Until(thawed.Add(nearby)))
	if running := total(c.floor.runsOf(s.id)); running > 0 {
		second.call(http.MethodGet, s.id, nil)
		return fmt.Sprintf("UNASKED: %d work units of %s run %s after its cancelling was acknowledged with %d, and %s after the end of the disruption",
			running, s.id, time.Since(acknowledged).Round(time.Millisecond), status, time.Since(thawed).Round(time.Millisecond)), nil
	}
	return "", nil
}

// adviserBurst: submissions of a queue with advice come at once. When the traffic has ended, they must all be started. Without trouble they come one
// after the other. Rule LOST.
func adviserBurst(c *cluster) (string, error) {
	const submissions, workers, traffic = 60, 12, 4 * time.Second
	var err error
	if c.adviser, err = newAdviser(c.log); err != nil {
		return "", err
	}
	if err := c.start(workers, 0, 2*time.Second); err != nil {
		return "", err
	}
	pause := traffic / submissions
	if !c.trouble {
		pause *= 5
	}
	var accepted []submission
	for range submissions {
		s := c.newSubmission(800*time.Millisecond, stepSpec{Replicas: 1, CPU: 3500, MemoryMB: 100, EstimateMs: 800})
		if status, _ := c.other().call(http.MethodPost, s.id, s.body); status == http.StatusOK {
			accepted = append(accepted, s)
		}
		time.Sleep(pause)
	}
	calls, answers := c.adviser.counts()
	c.log.print("end of the traffic; %d submissions are accepted, %d calls of the adviser, %d answered", len(accepted), calls, answers)
	unbegun := func() int {
		idle := 0
		for _, s := range accepted {
			if len(c.floor.startsOf(s.id)) == 0 {
				idle++
			}
		}
		calls, answers := c.adviser.counts()
		c.log.print("%d submissions have not begun; %d calls of the adviser, %d answered", idle, calls, answers)
		return idle
	}
	time.Sleep(finishTime + 3*time.Second)
	idle := unbegun()
	if idle == 0 {
		return "", nil
	}
	time.Sleep(30 * time.Second)
	return fmt.Sprintf("LOST: %d of %d accepted submissions have nothing running %s after the end of the traffic, and %d still have 30 s later",
		idle, len(accepted), finishTime+3*time.Second, unbegun()), nil
}
