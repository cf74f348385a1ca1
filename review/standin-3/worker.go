package main

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

func readBody(r *http.Request) []byte {
	data, err := io.ReadAll(r.Body)
	if err != nil {
		return nil
	}
	return data
}

type amounts struct {
	CPU   int64 `json:"cpu"`
	MemMB int64 `json:"mem_mb"`
	GPU   int64 `json:"gpu"`
}

// run is a start that a worker has accepted.
type run struct {
	task    string
	number  int64
	spec    string
	began   time.Time
	ended   time.Time
	outcome string
	over    atomic.Bool
}

// worker is one of the platform's servers. The spec of a submission is the run time of its work units, "last", or
// "fail" for those that fail when they have started.
type worker struct {
	id, address, service string
	capacity             amounts
	site                 *installation
	born                 time.Time
	listener             net.Listener

	lock      sync.Mutex
	changed   chan struct{}
	fence     int64
	leaseEnds time.Time
	running   map[string]*run
	last      map[string]int64 // highest run that was stopped or has ended, by work unit
	ended     []*run
	firstEnd  int64
	sequence  int
	left      bool
}

func newWorker(site *installation, id, service string, capacity amounts) (*worker, error) {
	w := &worker{
		id: id, service: service, capacity: capacity, site: site, born: time.Now(), changed: make(chan struct{}),
		running: make(map[string]*run), last: make(map[string]int64), firstEnd: 1,
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	w.address, w.listener = l.Addr().String(), l
	go func() { _ = http.Serve(l, w) }() //nolint:gosec // a stand-in
	go w.work()
	return w, nil
}

// register writes the worker's entry, as it does about every 1.5 s.
func (w *worker) register() {
	w.lock.Lock()
	w.sequence++
	n := w.sequence
	w.lock.Unlock()
	w.site.store.put("servers/"+w.id, map[string]any{
		"service": w.service, "address": w.address, "zone": "north", "version": "1", "slots": 8, "state": "ready", "cold_left_ms": 0,
		"sequence": n, "born": w.born.UnixMilli(), "capacity": w.capacity, "labels": []string{"a", "r1"},
	})
}

func (w *worker) work() {
	w.register()
	beat := time.Now()
	for range time.Tick(2 * time.Millisecond) {
		now := time.Now()
		if now.Sub(beat) > 1500*time.Millisecond {
			w.register()
			beat = now
		}
		w.lock.Lock()
		if w.left {
			w.lock.Unlock()
			return
		}
		for _, r := range w.running {
			took, err := time.ParseDuration(r.spec)
			switch {
			case now.After(w.leaseEnds):
				w.end(r, "lapsed")
			case r.spec == "fail" && now.Sub(r.began) > 50*time.Millisecond:
				w.end(r, "failed")
			case err == nil && now.Sub(r.began) >= took:
				w.end(r, "done")
			}
		}
		w.lock.Unlock()
	}
}

func (w *worker) end(r *run, outcome string) {
	r.ended, r.outcome = time.Now(), outcome
	r.over.Store(true)
	delete(w.running, r.task)
	w.last[r.task] = max(w.last[r.task], r.number)
	w.ended = append(w.ended, r)
	close(w.changed)
	w.changed = make(chan struct{})
	w.site.note("worker %s: run %d of %s ended: %s", w.id, r.number, r.task, outcome)
}

// leave ends the worker with its machine; its entry is removed.
func (w *worker) leave() {
	w.lock.Lock()
	w.left = true
	for _, r := range w.running {
		w.end(r, "gone")
	}
	w.lock.Unlock()
	_ = w.listener.Close()
	w.site.store.remove("servers/" + w.id)
}

func (w *worker) clock() int64 { return time.Since(w.born).Milliseconds() }

// ServeHTTP serves an order.
func (w *worker) ServeHTTP(out http.ResponseWriter, r *http.Request) {
	var in struct {
		Task      string `json:"task"`
		Run       int64  `json:"run"`
		Spec      string `json:"spec"`
		ExpiresMs int64  `json:"expires_ms"`
		Fence     int64  `json:"fence"`
		AckedUpto int64  `json:"acked_upto"`
		WaitMs    int64  `json:"wait_ms"`
	}
	if r.Method == http.MethodGet {
		answer(out, http.StatusOK, struct{}{})
		return
	}
	if err := json.Unmarshal(readBody(r), &in); err != nil {
		answer(out, http.StatusBadRequest, struct{}{})
		return
	}
	w.lock.Lock()
	left := w.left
	w.lock.Unlock()
	if left {
		panic(http.ErrAbortHandler)
	}
	if r.Header.Get("Jaybarrow-Expect-Instance") != w.id {
		answer(out, http.StatusMisdirectedRequest, struct{}{})
		return
	}
	w.lock.Lock()
	reject := func(reason string) {
		w.lock.Unlock()
		answer(out, http.StatusConflict, map[string]any{"time_ms": w.clock(), "reason": reason})
	}
	if in.Fence < w.fence {
		reject("fence")
		return
	}
	switch r.URL.Path {
	case "/run-start":
		w.fence = in.Fence
		if in.ExpiresMs <= w.clock() {
			reject("late")
			return
		}
		w.extend(in.ExpiresMs)
		old := w.running[in.Task]
		if old == nil && in.Run <= w.last[in.Task] || old != nil && old.number != in.Run {
			reject("old")
			return
		}
		if old == nil {
			begun := &run{task: in.Task, number: in.Run, spec: in.Spec, began: time.Now()}
			w.running[in.Task] = begun
			w.site.begin(begun)
			w.site.note("worker %s: run %d of %s begins, fence %d", w.id, in.Run, in.Task, in.Fence)
		}
	case "/run-stop":
		w.fence = in.Fence
		w.last[in.Task] = max(w.last[in.Task], in.Run)
		if old := w.running[in.Task]; old != nil && old.number <= in.Run {
			w.end(old, "stopped")
		}
	case "/hold":
		w.fence = in.Fence
		w.hold(out, r, in.ExpiresMs, in.AckedUpto, in.WaitMs)
		return
	}
	w.lock.Unlock()
	answer(out, http.StatusOK, map[string]any{"time_ms": w.clock()})
}

func (w *worker) extend(expiresMs int64) {
	ends := w.born.Add(time.Duration(min(expiresMs, w.clock()+holdMaxMs)) * time.Millisecond)
	if ends.After(w.leaseEnds) {
		w.leaseEnds = ends
	}
}

// hold is called with the lock held and releases it.
func (w *worker) hold(out http.ResponseWriter, r *http.Request, expiresMs, ackedUpto, waitMs int64) {
	if expiresMs > 0 {
		w.extend(expiresMs)
	}
	for len(w.ended) > 0 && w.firstEnd <= ackedUpto {
		w.ended = w.ended[1:]
		w.firstEnd++
	}
	until := time.After(time.Duration(min(waitMs, 2000)) * time.Millisecond)
	for waits := waitMs > 0; waits && len(w.ended) == 0; {
		changed := w.changed
		w.lock.Unlock()
		select {
		case <-changed:
		case <-until:
			waits = false
		case <-r.Context().Done():
			return
		}
		w.lock.Lock()
	}
	running, finished := [][]any{}, [][]any{}
	for _, one := range w.running {
		percent := 100
		if one.spec == "fail" {
			percent = 0
		}
		if took, err := time.ParseDuration(one.spec); err == nil {
			percent = int(min(99, 100*time.Since(one.began)/max(1, took)))
		}
		running = append(running, []any{one.task, one.number, "", percent, 0})
	}
	for i, one := range w.ended[:min(500, len(w.ended))] {
		finished = append(finished, []any{w.firstEnd + int64(i), one.task, one.number, one.outcome, ""})
	}
	w.lock.Unlock()
	answer(out, http.StatusOK, map[string]any{"time_ms": w.clock(), "born": w.born.UnixMilli(), "running": running, "finished": finished})
}
