package request_test

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/internal/command/request"
	"github.com/jaybarrow/jaybarrow/internal/identity"
	"github.com/jaybarrow/jaybarrow/internal/inflight"
	"github.com/jaybarrow/jaybarrow/internal/order/fairshare"
	"github.com/jaybarrow/jaybarrow/internal/placement/leastloaded"
	"github.com/jaybarrow/jaybarrow/internal/pool"
	"github.com/jaybarrow/jaybarrow/internal/schedule"
)

// pause is longer than a withdrawn key may work.
const pause = 8 * time.Second

const startWindow = 2 * time.Second

// keyedHost is an entry host with one key, whose scheduler starts tasks on two workers with one slot each.
type keyedHost struct {
	withdrawn, stale atomic.Bool
	permitted        atomic.Bool
	available        chan struct{}
	paused           func() // called while an attempt is under way; optional
	claiming         func() // called while an id is claimed; optional
	checked          func() // called after each check of the key; optional
	firstError       error  // of the first attempt; optional
	starts           []start
	keys             *request.Authenticator
	scheduler        *pool.Scheduler
	submit           *request.SubmitHandler
}

// start is a task that a worker got.
type start struct {
	at time.Time
	by time.Time // the latest time at which the worker starts it
}

func newKeyedHost() *keyedHost {
	clock := jaybarrow.SystemClock{}
	h := &keyedHost{available: make(chan struct{}, 1)}
	h.permitted.Store(true)
	h.keys = request.NewAuthenticator(func(hash jaybarrow.KeyHash) (jaybarrow.AccessKey, bool) {
		return jaybarrow.AccessKey{Hash: hash, Team: "trail", Withdrawn: h.withdrawn.Load()}, hash == request.HashKey(callerKey)
	}, func() bool {
		fresh := !h.stale.Load()
		if h.checked != nil {
			h.checked()
		}
		return fresh
	})
	h.scheduler = pool.New(pool.Deps{
		Clock: clock, Log: zerolog.Nop(), Hosts: twoHosts{make(chan struct{})}, Workers: keyedWorkers{host: h}, Permits: h,
		NewPool: func() *schedule.Pool {
			return schedule.New(schedule.Settings{MaxWaiting: 4, Admission: true}, fairshare.New(), leastloaded.New())
		},
		NewTaskID:   func(id jaybarrow.RequestID) jaybarrow.TaskID { return jaybarrow.TaskID(fmt.Sprint(id, len(h.starts))) },
		Incarnation: func() jaybarrow.Incarnation { return 1 }, StartWindow: startWindow, CheckKey: h.keys.Check,
	})
	h.submit = request.NewSubmit(request.SubmitDeps{
		Clock: clock, Authenticator: h.keys, Queues: queues{}, InFlight: inflight.New(), Runner: h.scheduler, NewID: identity.NewRequestID,
		Claim: func(context.Context, jaybarrow.TeamID, jaybarrow.RequestID) (func(context.Context), error) {
			if h.claiming != nil {
				h.claiming()
			}
			return func(context.Context) {}, nil
		},
	})
	return h
}

// twoHosts is a pool of two hosts with one slot each.
type twoHosts struct{ changed chan struct{} }

func (twoHosts) PoolHosts(jaybarrow.PoolID) []schedule.HostView {
	slot := jaybarrow.Demand{Slots: 1}
	return []schedule.HostView{{ID: "host-1", Capacity: slot, Accepting: true}, {ID: "host-2", Capacity: slot, Accepting: true}}
}

func (twoHosts) Host(id jaybarrow.HostID) (jaybarrow.Host, bool) { return jaybarrow.Host{ID: id}, true }

func (twoHosts) Share(jaybarrow.TeamID) jaybarrow.Share { return 1 }

func (h twoHosts) Changed() <-chan struct{} { return h.changed }

// keyedWorkers runs tasks at once, and refuses late ones like a worker.
type keyedWorkers struct {
	jaybarrow.Workers
	host *keyedHost
}

func (w keyedWorkers) Run(_ context.Context, _ jaybarrow.Host, task jaybarrow.Task) ([]byte, error) {
	if w.host.paused != nil {
		w.host.paused()
	}
	if time.Now().After(task.StartBy) {
		return nil, jaybarrow.Errorf(jaybarrow.KindWorkerRefused, "late start")
	}
	w.host.starts = append(w.host.starts, start{at: time.Now(), by: task.StartBy})
	if len(w.host.starts) == 1 && w.host.firstError != nil {
		return nil, w.host.firstError
	}
	return []byte("done"), nil
}

func (keyedWorkers) AwaitEnd(jaybarrow.Host, jaybarrow.Task) {}

func (h *keyedHost) TryAcquire(jaybarrow.TeamID, jaybarrow.Slots) bool { return h.permitted.Load() }

func (h *keyedHost) Release(jaybarrow.TeamID, jaybarrow.Slots) {}

func (h *keyedHost) SetWaiting(jaybarrow.TeamID, jaybarrow.Slots) {}

func (h *keyedHost) Available() <-chan struct{} { return h.available }

// withdrawWhilePaused returns a function that pauses once. Meanwhile the key is withdrawn, of which the entry host learns only
// when learns is set; else its configuration is merely too old to decide.
func (h *keyedHost) withdrawWhilePaused(learns bool) func() {
	var done atomic.Bool
	return func() {
		if done.Swap(true) {
			return
		}
		time.Sleep(pause)
		h.withdrawn.Store(learns)
		h.stale.Store(!learns)
	}
}

// Guards against a task that starts although the key of its request was withdrawn after the request was taken: the process was
// paused, or the request waited, between the check of the key and the start.
func TestKeyIsCheckedBeforeTheStart(t *testing.T) {
	cases := []struct {
		name  string
		setUp func(h *keyedHost, pause func())
	}{
		{"paused before the request is queued", func(h *keyedHost, pause func()) { h.claiming = pause }},
		{"paused before the task is sent", func(h *keyedHost, pause func()) { h.paused = pause }},
		{"paused after the check before the start", func(h *keyedHost, pause func()) {
			checks := 0
			h.checked = func() {
				if checks++; checks == 2 { // the first is at the admission
					pause()
				}
			}
		}},
		{"waits for permits", func(h *keyedHost, pause func()) {
			h.permitted.Store(false)
			go func() {
				pause()
				h.permitted.Store(true)
				h.available <- struct{}{}
			}()
		}},
	}
	for _, c := range cases {
		for kind, learns := range map[jaybarrow.ErrorKind]bool{jaybarrow.KindBadKey: true, jaybarrow.KindStaleConfiguration: false} {
			t.Run(fmt.Sprintf("%s, %s", c.name, kind), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					h := newKeyedHost()
					defer h.scheduler.Close()
					c.setUp(h, h.withdrawWhilePaused(learns))
					_, err := h.submit.Handle(t.Context(), request.Submit{Key: callerKey, Queue: "match", ID: "r"})
					assert.Check(t, jaybarrow.IsKind(err, kind), "%v", err)
					assert.Check(t, err == nil || jaybarrow.AsError(err).Effect == jaybarrow.EffectNotRun, "%v", err)
					assert.Check(t, len(h.starts) == 0, "a task started %s after the pause", pause)
				})
			})
		}
	}
}

// Guards against a refusal that says notRun although an earlier attempt may have run, when the key is withdrawn before the next one.
func TestKeyWithdrawnBetweenAttempts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newKeyedHost()
		defer h.scheduler.Close()
		h.firstError = jaybarrow.Errorf(jaybarrow.KindWorkerLost, "silent")
		h.paused = func() { h.withdrawn.Store(true) }
		_, err := h.submit.Handle(t.Context(), request.Submit{Key: callerKey, Queue: "match", ID: "r", Idempotent: true})
		assert.Check(t, jaybarrow.IsKind(err, jaybarrow.KindBadKey), "%v", err)
		assert.Check(t, err == nil || jaybarrow.AsError(err).Effect == jaybarrow.EffectMayHaveRun, "%v", err)
		assert.Check(t, len(h.starts) == 1, "%v", h.starts)
	})
}

// Guards against requests that are refused before their start although their keys are valid: one without a key, and one whose key
// is so new that only the entry host that admitted the request knows it.
func TestCheckOfAdmittedKeys(t *testing.T) {
	withdrawn := jaybarrow.KeyHash("withdrawn")
	for _, c := range []struct {
		name  string
		hash  jaybarrow.KeyHash
		fresh bool
		kind  jaybarrow.ErrorKind
	}{
		{"no key", "", false, ""},
		{"newer than the records", "new", true, ""},
		{"unknown to old records", "new", false, jaybarrow.KindStaleConfiguration},
		{"withdrawn", withdrawn, true, jaybarrow.KindBadKey},
		{"withdrawn in old records", withdrawn, false, jaybarrow.KindBadKey},
	} {
		t.Run(c.name, func(t *testing.T) {
			keys := request.NewAuthenticator(func(hash jaybarrow.KeyHash) (jaybarrow.AccessKey, bool) {
				return jaybarrow.AccessKey{Hash: hash, Team: "trail", Withdrawn: true}, hash == withdrawn
			}, func() bool { return c.fresh })
			err := keys.Check(c.hash)
			if c.kind == "" {
				assert.NilError(t, err)
				return
			}
			assert.Assert(t, jaybarrow.IsKind(err, c.kind), "%v", err)
			assert.Equal(t, jaybarrow.AsError(err).Effect, jaybarrow.EffectNotRun)
		})
	}
}
