package main

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"
)

// holdMax is hold_max_ms of the settings.
const holdMax = 10 * time.Second

// work is the specification of a submission: how its work units behave.
type work struct {
	Ms        int64 `json:"ms"`        // how long a run works
	FailFirst int   `json:"failFirst"` // so many runs of each work unit end `failed`, through its own fault
	Lasts     bool  `json:"lasts"`     // a run works until it is stopped
	Restrict  bool  `json:"restrict"`  // a start needs a valid ticket of the adviser

	dueIn time.Duration // a submission of one occurrence, due after this time; 0 for one without occurrences
}

type runOf struct {
	task  string
	run   int64
	spec  work
	since time.Time
	res   resources
}

type resources struct {
	CPU int64 `json:"cpu"`
	Mem int64 `json:"mem_mb"`
	GPU int64 `json:"gpu"`
}

// end is a row of `finished`.
type end struct {
	n    int64
	task string
	run  int64
	how  string
}

// worker is a stand-in of one life of a machine.
type worker struct {
	b        *bench
	id       string
	machine  string
	service  string
	labels   []string
	capacity resources
	address  string
	away     string // state of its machine while that has no worker; guarded by the bench

	lock     sync.Mutex
	born     time.Time // start of this life; its clock counts from here
	bornMs   int64
	life     int
	down     bool
	dark     bool // while it is down: its channels stay silent instead of being reset
	changed  chan struct{}
	fence    int64
	leaseEnd time.Time
	running  map[string]*runOf
	highest  map[string]int64 // highest run of each work unit that was stopped or ended here
	ends     []end
	lastEnd  int64
	used     resources
	sequence int64
}

func (b *bench) addWorker(service string) *worker { return b.addWorkerOfKind(service, "a") }

func (b *bench) addWorkerOfKind(service, kind string) *worker {
	n := len(b.workers) + 1
	w := &worker{
		b: b, id: sprintf("i-%04x", 0x1a00+n), machine: sprintf("m-%04x", n), service: service, labels: []string{kind, sprintf("r1-%d", (n+3)/4)},
		capacity: resources{CPU: 64000, Mem: 131072}, changed: make(chan struct{}),
	}
	w.begin()
	w.address = b.serve(w)
	b.lock.Lock()
	b.workers = append(b.workers, w)
	b.lock.Unlock()
	w.register()
	go func() {
		for beat := time.Now(); ; time.Sleep(10 * time.Millisecond) {
			w.tick()
			if time.Since(beat) > 1500*time.Millisecond {
				beat = time.Now()
				w.register()
			}
		}
	}()
	return w
}

// begin starts a life, which knows nothing of those before.
func (w *worker) begin() {
	w.born, w.bornMs = time.Now(), time.Now().UnixMilli()
	w.fence, w.leaseEnd, w.running, w.highest, w.ends, w.lastEnd, w.used, w.sequence = 0, time.Time{}, map[string]*runOf{}, map[string]int64{}, nil, 0, resources{}, 0
	w.down, w.dark = false, false
	w.life++
}

// crash ends the life; the worker resets its channels until it starts again under its id, or leaves them silent.
func (w *worker) crash(dark bool) {
	w.lock.Lock()
	w.dark = dark
	for _, r := range w.running {
		w.b.noteEnd(w, r, "lost with the worker")
	}
	w.running = map[string]*runOf{}
	w.down = true
	if !dark {
		close(w.changed)
		w.changed = make(chan struct{})
	}
	w.lock.Unlock()
	w.b.log("worker %s crashes, dark %v", w.id, dark)
}

// restart begins the next life and registers it.
func (w *worker) restart() {
	w.lock.Lock()
	w.begin()
	born := w.bornMs
	w.lock.Unlock()
	w.register()
	w.b.log("worker %s starts again, born %d", w.id, born)
}

func (w *worker) clock() int64 { return time.Since(w.born).Milliseconds() }

func (w *worker) register() {
	w.lock.Lock()
	w.sequence++
	down, sequence, born, clock := w.down, w.sequence, w.bornMs, w.clock()
	w.lock.Unlock()
	if down {
		return
	}
	w.b.store.put("servers/"+w.id, map[string]any{
		"service": w.service, "address": w.address, "zone": "esbjerg", "version": "v1", "slots": 8, "state": "ready", "cold_left_ms": 0,
		"capacity": w.capacity, "labels": w.labels, "time_ms": clock, "sequence": sequence, "born": born,
	})
}

// tick ends the runs that are due and those whose lease has ended.
func (w *worker) tick() {
	w.lock.Lock()
	defer w.lock.Unlock()
	now := time.Now()
	for _, r := range w.running {
		switch {
		case now.After(w.leaseEnd):
			w.endRun(r, "lapsed")
		case !r.spec.Lasts && now.Sub(r.since) >= time.Duration(r.spec.Ms)*time.Millisecond:
			if w.b.countFailure(r.task, r.spec.FailFirst) {
				w.endRun(r, "failed")
			} else {
				w.endRun(r, "done")
			}
		}
	}
}

func (w *worker) endRun(r *runOf, how string) {
	delete(w.running, r.task)
	w.used.CPU -= r.res.CPU
	w.used.Mem -= r.res.Mem
	w.highest[r.task] = max(w.highest[r.task], r.run)
	w.lastEnd++
	w.ends = append(w.ends, end{w.lastEnd, r.task, r.run, how})
	close(w.changed)
	w.changed = make(chan struct{})
	w.b.noteEnd(w, r, how)
}

func (w *worker) ServeHTTP(out http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/health" {
		out.Header().Set("Jaybarrow-Instance-Id", w.id)
		answer(out, http.StatusOK, struct{}{})
		return
	}
	if expected := r.Header.Get("Jaybarrow-Expect-Instance"); expected != "" && expected != w.id {
		answer(out, http.StatusMisdirectedRequest, struct{}{})
		return
	}
	var in struct {
		Task    string `json:"task"`
		Run     int64  `json:"run"`
		Spec    string `json:"spec"`
		Expires int64  `json:"expires_ms"`
		Fence   int64  `json:"fence"`
		Token   string `json:"token"`
		Acked   int64  `json:"acked_upto"`
		Wait    int64  `json:"wait_ms"`
	}
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
		answer(out, http.StatusBadRequest, struct{}{})
		return
	}
	w.lock.Lock()
	if opened, _ := r.Context().Value(openedAt{}).(time.Time); w.down || opened.Before(w.born) {
		// A channel of an earlier life is reset by the machine once it is back.
		silent := w.down && w.dark
		w.lock.Unlock()
		if silent {
			<-r.Context().Done()
			return
		}
		reset(out)
		return
	}
	reject := func(reason string) {
		clock := w.clock()
		w.lock.Unlock()
		answer(out, http.StatusConflict, map[string]any{"time_ms": clock, "reason": reason})
	}
	if in.Fence < w.fence {
		reject("fence")
		return
	}
	w.fence = in.Fence
	if in.Expires > 0 {
		expires := w.born.Add(time.Duration(in.Expires) * time.Millisecond)
		if latest := time.Now().Add(holdMax); expires.After(latest) {
			expires = latest
		}
		if expires.After(w.leaseEnd) {
			w.leaseEnd = expires
		}
	}
	switch r.URL.Path {
	case "/run-start":
		old := w.running[in.Task]
		switch {
		case old != nil && old.run == in.Run:
		case in.Run <= w.highest[in.Task]:
			reject("old")
			return
		case !time.Now().Before(w.leaseEnd):
			reject("late")
			return
		default:
			run := &runOf{task: in.Task, run: in.Run, since: time.Now(), res: w.b.demandOf(in.Task)}
			_ = json.Unmarshal([]byte(in.Spec), &run.spec)
			if run.spec.Restrict && !w.b.adviser.valid(stepOf(in.Task), w.id, in.Token) {
				reject("ticket")
				return
			}
			if w.used.CPU+run.res.CPU > w.capacity.CPU || w.used.Mem+run.res.Mem > w.capacity.Mem {
				reject("room")
				return
			}
			w.used.CPU += run.res.CPU
			w.used.Mem += run.res.Mem
			w.running[in.Task] = run
			w.b.noteStart(w, run)
		}
	case "/run-stop":
		if run := w.running[in.Task]; run != nil && run.run == in.Run {
			w.endRun(run, "stopped")
		}
		w.highest[in.Task] = max(w.highest[in.Task], in.Run)
	case "/pace":
	case "/hold":
		w.hold(out, r, in.Acked, time.Duration(in.Wait)*time.Millisecond)
		return
	}
	clock, born := w.clock(), w.bornMs
	w.lock.Unlock()
	answer(out, http.StatusOK, map[string]any{"time_ms": clock, "born": born})
}

// hold answers a hold; the lock is held and is released.
func (w *worker) hold(out http.ResponseWriter, r *http.Request, acked int64, wait time.Duration) {
	for len(w.ends) > 0 && w.ends[0].n <= acked {
		w.b.noteAck(w, w.ends[0], acked)
		w.ends = w.ends[1:]
	}
	life := w.life
	timeout := time.After(min(wait, 2*time.Second))
	for waiting := wait > 0; waiting && len(w.ends) == 0; {
		changed := w.changed
		w.lock.Unlock()
		select {
		case <-changed:
		case <-timeout:
			waiting = false
		case <-r.Context().Done():
			return
		}
		w.lock.Lock()
		if w.down || w.life != life {
			// No packet is sent on the channel of a life that ended in silence, so its end shows by a time limit only.
			silent := !waiting || w.dark || !w.down
			w.lock.Unlock()
			if silent {
				<-r.Context().Done()
				return
			}
			reset(out)
			return
		}
	}
	running, finished := [][]any{}, [][]any{}
	for _, run := range w.running {
		percent := int64(100)
		if !run.spec.Lasts {
			percent = min(99, 100*time.Since(run.since).Milliseconds()/max(1, run.spec.Ms))
		}
		running = append(running, []any{run.task, run.run, "", percent, run.res.CPU})
	}
	for _, e := range w.ends[:min(500, len(w.ends))] {
		finished = append(finished, []any{e.n, e.task, e.run, e.how, ""})
	}
	clock, born := w.clock(), w.bornMs
	w.lock.Unlock()
	answer(out, http.StatusOK, map[string]any{"time_ms": clock, "born": born, "running": running, "finished": finished})
}
