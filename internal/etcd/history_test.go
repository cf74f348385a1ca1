package etcd_test

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/sourcegraph/conc"
	"gotest.tools/v3/assert"

	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/internal/etcd"
	"github.com/jaybarrow/jaybarrow/internal/standin/store"
)

// operation is one call on one key: a read, a write or a deletion.
type operation struct {
	key      jaybarrow.Key
	kind     string
	previous jaybarrow.Revision
	value    string
}

// observed is the state that a call left or found; conflict means that the comparison failed.
type observed struct {
	revision jaybarrow.Revision
	value    string
	conflict bool
}

// register is a model of one key: revision 0 and no value when it does not exist. A deletion's revision is not kept, because
// a record that does not exist compares as revision 0.
var register = porcupine.Model{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		parts := make(map[jaybarrow.Key][]porcupine.Operation)
		for _, o := range history {
			key := o.Input.(operation).key
			parts[key] = append(parts[key], o)
		}
		var list [][]porcupine.Operation
		for _, p := range parts {
			list = append(list, p)
		}
		return list
	},
	Init: func() any { return observed{} },
	Step: func(state, input, output any) (bool, any) {
		now, in, out := state.(observed), input.(operation), output.(observed)
		switch {
		case in.kind == "read":
			return out == now, now
		case out.conflict:
			return now.revision != in.previous, now
		case now.revision != in.previous || out.revision <= now.revision:
			return false, now
		case in.kind == "delete":
			return true, observed{}
		}
		return true, observed{revision: out.revision, value: in.value}
	},
}

// recorder collects a history; a call with an unknown outcome is settled by the store's log afterwards.
type recorder struct {
	sync.Mutex
	begun   time.Time
	history []porcupine.Operation
	unknown []porcupine.Operation
}

func (r *recorder) add(client int, called time.Time, in operation, out observed, known bool) {
	r.Lock()
	defer r.Unlock()
	o := porcupine.Operation{
		ClientId: client, Input: in, Output: out,
		Call: called.Sub(r.begun).Nanoseconds(), Return: time.Since(r.begun).Nanoseconds(),
	}
	if known {
		r.history = append(r.history, o)
	} else {
		r.unknown = append(r.unknown, o)
	}
}

// settle adds the unknown writes that the log shows; they may have taken effect at any time after their call. Deletions
// carry no value, so they are recognized by the revision that they replaced.
func (r *recorder) settle(log []store.Change) (settled int) {
	before, known := make(map[jaybarrow.Key]jaybarrow.Revision), make(map[jaybarrow.Revision]bool)
	for _, o := range r.history {
		known[o.Output.(observed).revision] = o.Input.(operation).kind != "read" || known[o.Output.(observed).revision]
	}
	for _, change := range log {
		for _, o := range r.unknown {
			in := o.Input.(operation)
			if !known[change.Revision] && in.key == change.Key && in.value == string(change.Value) && in.previous == before[change.Key] && (in.kind == "delete") == change.Deleted {
				o.Output, o.Return = observed{revision: change.Revision}, math.MaxInt64
				r.history = append(r.history, o)
				settled++
				break
			}
		}
		before[change.Key] = change.Revision
		if change.Deleted {
			before[change.Key] = 0
		}
	}
	return settled
}

// Guards against two writers that both believe to have replaced the same revision, a revision that does not grow, a write
// that its writer counts as failed and that took effect, and a read-back that confirms a write of another.
func TestHistoryWithLostAnswers(t *testing.T) {
	const clients, calls = 8, 60
	s := start(t, store.Timing{})
	r := &recorder{begun: time.Now()}
	keys := []jaybarrow.Key{"/plain/a", "/plain/b", "/lossy/a", "/lossy/b"}
	var lostSome conc.WaitGroup
	done := make(chan struct{})
	lostSome.Go(func() {
		// Alternates between losing all answers below one prefix and the next three of any key.
		for i := 0; ; i++ {
			lost := store.LostAnswers{All: true, Prefix: "/lossy/"}
			if i%2 == 0 {
				lost = store.LostAnswers{Next: 3}
			}
			_ = s.SetFaults(store.Faults{LostAnswers: lost})
			select {
			case <-done:
				return
			case <-time.After(10 * time.Millisecond):
			}
		}
	})
	var group conc.WaitGroup
	for n := range clients {
		client := connect(t, s, callTimeout)
		group.Go(func() {
			for i := range calls {
				key := keys[rand.IntN(len(keys))]
				step(r, client, n, key, fmt.Sprintf("%d-%d", n, i), i%5 == 4)
			}
		})
	}
	group.Wait()
	close(done)
	lostSome.Wait()

	settled := r.settle(s.Core().Log("/"))
	t.Logf("%d known calls, %d unknown writes, of which %d took effect", len(r.history)-settled, len(r.unknown), settled)
	assert.Assert(t, settled > 0, "no answer was lost")
	assert.Equal(t, porcupine.CheckOperationsTimeout(register, r.history, time.Minute), porcupine.Ok)
}

// step reads a key and then writes or deletes it from the revision that was read.
func step(r *recorder, client *etcd.Client, n int, key jaybarrow.Key, value string, deletes bool) {
	ctx, called := context.Background(), time.Now()
	record, err := client.Get(ctx, key)
	if err != nil && !jaybarrow.IsKind(err, jaybarrow.KindNotFound) {
		panic(err)
	}
	r.add(n, called, operation{key: key, kind: "read"}, observed{revision: record.Revision, value: string(record.Value)}, true)

	in, called := operation{key: key, kind: "write", previous: record.Revision, value: value}, time.Now()
	var revision jaybarrow.Revision
	if deletes && record.Revision > 0 {
		in.kind, in.value = "delete", ""
		revision, err = client.Delete(ctx, key, in.previous)
	} else {
		revision, err = client.CompareAndSwap(ctx, key, in.previous, []byte(value), 0)
	}
	if jaybarrow.IsKind(err, jaybarrow.KindStoreUnavailable) {
		confirm(r, client, n, called, in)
		return
	}
	r.add(n, called, in, observed{revision: revision, conflict: jaybarrow.IsKind(err, jaybarrow.KindConflict)}, err == nil || jaybarrow.IsKind(err, jaybarrow.KindConflict))
}

// confirm records a write of unknown outcome as known when the read-back finds its own value.
func confirm(r *recorder, client *etcd.Client, n int, called time.Time, in operation) {
	outcome, record, err := etcd.Confirm(context.Background(), client, in.key, in.previous, func(record jaybarrow.Record) bool {
		return in.kind == "write" && string(record.Value) == in.value
	})
	if err != nil {
		panic(err)
	}
	r.add(n, called, in, observed{revision: record.Revision}, outcome == etcd.OutcomeWritten)
}
