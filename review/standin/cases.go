package main

import "time"

// lateManifest kills all processes while the store is down, and starts them before it is back. A work unit that fails twice by its own
// fault has one attempt left, so its submission can be completed.
func lateManifest(b *bench, trouble bool) bool {
	const key = "crews-key"
	q := queue{name: "r-1", path: "/puxa400/", service: "vejle", attempts: 3}
	b.begin(9, 8, []queue{q}, map[string]int64{"crews": 400_000}, key)
	for n := range 9 {
		id := sprintf("5c0e7a21d94b%04x", n)
		if !b.submit(id, q.path, key, work{Ms: 600, FailFirst: 2}, []step{{Replicas: 4, CPU: 2000, Mem: 1024, Estimate: 600}}, 20*time.Second) {
			b.log("submission %s was not accepted", id)
			return true
		}
		if trouble {
			time.Sleep(150 * time.Millisecond)
			b.log("the store is down")
			b.store.setDown(true)
			back := time.Now().Add(4300 * time.Millisecond)
			time.Sleep(200 * time.Millisecond)
			for _, h := range b.hosts {
				_ = h.command.Process.Kill()
			}
			for _, h := range b.hosts {
				<-h.ended
			}
			time.Sleep(500 * time.Millisecond)
			for _, h := range b.hosts {
				h.start()
			}
			time.Sleep(time.Until(back))
			b.store.setDown(false)
			b.log("the store is back")
		}
		if s := b.await(id, q.path, key, 9*time.Second, "completed", "failed", "cancelled"); s == "failed" || s == "cancelled" {
			b.lock.Lock()
			most := 0
			for unit := range 4 {
				most = max(most, b.failures[sprintf("%s.0.0.%d", id, unit)])
			}
			b.lock.Unlock()
			b.log("submission %s is shown as %s; no work unit has ended failed more than %d times, max_attempts is %d", id, s, most, q.attempts)
			if most < q.attempts {
				return false
			}
		}
		if time.Since(b.started) > 98*time.Second {
			break
		}
	}
	return true
}

// starved reports whether the submission has had no start for the time while workers have room.
func (b *bench) starved(id string, d time.Duration) bool {
	for until := time.Now().Add(d); time.Now().Before(until); time.Sleep(20 * time.Millisecond) {
		if b.startsOf(id) > 0 {
			return false
		}
	}
	return true
}

// finish is finish_s of the settings, and idle the time for which a submission may have nothing running.
const (
	finish = 14 * time.Second
	idle   = 3 * time.Second
)

// judge asks for submissions finish_s after the traffic has ended. It reports false if one of them is not completed and has nothing
// running for 3 s.
func (b *bench) judge(path, key string, ids []string) bool {
	b.log("the traffic has ended")
	time.Sleep(finish)
	for _, id := range ids {
		s := b.state(id, path, key)
		b.log("client: GET %s%s: %q", path, id, s)
		if s == "completed" {
			continue
		}
		if b.starved(id, idle) {
			b.lock.Lock()
			var cpu, used int64
			for _, w := range b.workers {
				cpu += w.capacity.CPU
				used += w.used.CPU
			}
			b.lock.Unlock()
			b.log("submission %s has had no start, and had none for 3 s more; %d of %d thousandths of a core are in use", id, used, cpu)
			return false
		}
	}
	return true
}

// lastingBeyondCap lowers the cap of a tenant, which then submits work units that last. Another tenant's short submissions follow.
func lastingBeyondCap(b *bench, trouble bool) bool {
	queues := []queue{{name: "r-1", path: "/puxa400/", service: "ribe", attempts: 2}, {name: "r-2", path: "/kafi706/", service: "ribe", attempts: 2}}
	b.begin(3, 8, queues, map[string]int64{"mills": 200_000, "crews": 200_000}, "crews-key")
	if trouble {
		b.putManifest(queues, map[string]int64{"mills": 12_000, "crews": 200_000})
	}
	time.Sleep(3 * time.Second)
	for n := range 12 {
		if !b.submit(sprintf("7b10000000000%03x", n), "/kafi706/", "mills-key", work{Lasts: true},
			[]step{{Replicas: 1, CPU: 5000, Mem: 1024, Estimate: 1000, Daemon: true}}, 10*time.Second) {
			cannotRun(b, "a lasting submission is not accepted")
		}
		time.Sleep(200 * time.Millisecond)
	}
	var ids []string
	for n := range 5 {
		id := sprintf("5c0e7a21d94b%04x", n)
		if !b.submit(id, "/puxa400/", "crews-key", work{Ms: 800}, []step{{Replicas: 6, CPU: 3500, Mem: 1024, Estimate: 800}}, 10*time.Second) {
			cannotRun(b, "a short submission is not accepted")
		}
		ids = append(ids, id)
		time.Sleep(500 * time.Millisecond)
	}
	return b.judge("/puxa400/", "crews-key", ids)
}

// addedWorkers adds empty workers to a service. The policy of a queue allows only workers that were there before, and these are the ones
// with the least room, since all of the queue's work runs there.
func addedWorkers(b *bench, trouble bool) bool {
	const before, allowed, added, key = 30, 5, 7, "crews-key"
	queues := []queue{{name: "r-1", path: "/puxa400/", service: "ribe", attempts: 2}, {name: "r-2", path: "/kafi706/", service: "ribe", attempts: 2, advice: true}}
	b.begin(3, before, queues, map[string]int64{"crews": 2_000_000}, key)
	for _, w := range b.workers[before-allowed:] {
		b.adviser.allowed[w.id] = true
		b.log("the policy of /kafi706/ allows %s", w.id)
	}
	if !b.submit("7b10000000000000", "/kafi706/", key, work{Lasts: true, Restrict: true},
		[]step{{Replicas: allowed, CPU: 5000, Mem: 1024, Estimate: 1000, MaxPerServer: 1, Daemon: true}}, 10*time.Second) {
		cannotRun(b, "the lasting submission is not accepted")
	}
	if s := b.await("7b10000000000000", "/kafi706/", key, 10*time.Second, "running"); s != "running" {
		cannotRun(b, "the lasting submission does not run")
	}
	time.Sleep(4 * time.Second)
	if trouble {
		for range added {
			w := b.addWorker("ribe")
			b.log("worker %s is added", w.id)
			time.Sleep(2 * time.Second / added)
		}
	}
	time.Sleep(4 * time.Second)
	var ids []string
	for n := range 5 {
		id := sprintf("5c0e7a21d94b%04x", n)
		if !b.submit(id, "/kafi706/", key, work{Ms: 800, Restrict: true}, []step{{Replicas: 2, CPU: 3500, Mem: 1024, Estimate: 800}}, 10*time.Second) {
			cannotRun(b, "a short submission is not accepted")
		}
		ids = append(ids, id)
		time.Sleep(500 * time.Millisecond)
	}
	return b.judge("/kafi706/", key, ids)
}

// wholeService asks for the upkeep of the machines of one rack, which is all of one service. Each of its workers has a lasting work unit, one
// of which may be away at a time. The other service has lasting work on each of its machines, so that none is idle.
func wholeService(b *bench, trouble bool) bool {
	const rack, key = 4, "crews-key"
	queues := []queue{
		{name: "r-1", path: "/puxa400/", service: "ribe", attempts: 2},
		{name: "r-2", path: "/kafi706/", service: "ribe", attempts: 2},
		{name: "r-3", path: "/zizi35/", service: "vejle", attempts: 2},
	}
	b.begin(3, rack, queues, map[string]int64{"crews": 600_000}, key)
	for range 6 {
		b.addWorker("vejle")
	}
	for _, lasting := range []struct {
		id, path string
		units    int
	}{{"7b10000000000001", "/kafi706/", rack}, {"7b10000000000002", "/zizi35/", 6}} {
		if !b.submit(lasting.id, lasting.path, key, work{Lasts: true},
			[]step{{Replicas: lasting.units, CPU: 5000, Mem: 1024, Estimate: 1000, MaxPerServer: 1, Daemon: true, MayMiss: 1}}, 10*time.Second) {
			cannotRun(b, "a lasting submission is not accepted")
		}
	}
	time.Sleep(5 * time.Second)
	if trouble {
		var machines []string
		b.lock.Lock()
		for _, w := range b.workers[:rack] {
			b.wave[w.machine] = true
			machines = append(machines, w.machine)
		}
		b.lock.Unlock()
		b.store.put("op/wave/1", map[string]any{"wave": 1, "machines": machines, "finish_by_s": 26, "cap": rack})
		b.log("the operator asks for the upkeep of %v within 26 s, %d at once", machines, rack)
	}
	var ids []string
	for n := range 24 {
		id, w := sprintf("5c0e7a21d94b%04x", n), work{Ms: 800}
		if n >= 12 {
			w.dueIn = 500 * time.Millisecond
		}
		if !b.submit(id, "/puxa400/", key, w, []step{{Replicas: 2, CPU: 3500, Mem: 1024, Estimate: 800}}, 10*time.Second) {
			cannotRun(b, "a short submission is not accepted")
		}
		ids = append(ids, id)
		time.Sleep(time.Second)
	}
	b.log("status/wave/1: %s", b.store.value("status/wave/1"))
	return b.judge("/puxa400/", key, ids)
}

func (s *store) value(key string) string {
	s.lock.Lock()
	defer s.lock.Unlock()
	return string(s.items[key].Value)
}

// darkRestart lets idle workers fall silent for a moment, one after the other, and start again under their ids. A submission that fits there
// and on a second worker comes right after each start.
func darkRestart(b *bench, trouble bool) bool {
	const key, pairs = "crews-key", 12
	q := queue{name: "r-1", path: "/puxa400/", service: "ribe", attempts: 3}
	b.begin(3, 1, []queue{q}, map[string]int64{"crews": 400_000}, key)
	for n := range 2 * pairs {
		b.addWorkerOfKind("ribe", sprintf("kind-%02d", n/2))
	}
	time.Sleep(3 * time.Second)
	for n := range pairs {
		victim := b.workers[1+2*n]
		if trouble {
			victim.crash(true)
			time.Sleep(400 * time.Millisecond)
			victim.restart()
		}
		id := sprintf("5c0e7a21d94b%04x", n)
		if !b.submit(id, q.path, key, work{Ms: 1500}, []step{{Replicas: 1, CPU: 3500, Mem: 1024, Estimate: 1500, Requires: sprintf("kind-%02d", n)}}, 10*time.Second) {
			cannotRun(b, "a submission is not accepted")
		}
		if s := b.await(id, q.path, key, 10*time.Second, "completed"); s != "completed" {
			b.log("submission %s is %q", id, s)
		}
	}
	b.lock.Lock()
	twice := b.twice
	b.lock.Unlock()
	for _, t := range twice {
		b.log("started twice: %s", t)
	}
	return len(twice) == 0
}
