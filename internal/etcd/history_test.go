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

// observed is the state of a key that a call left or found; conflict means that the comparison failed.
type observed struct {
	revision jaybarrow.Revision
	value    string
	conflict bool
}

// keyModel is the sequential model of one key: revision 0 and no value when the record does not exist. A deletion leaves
// revision 0, because a record that does not exist compares as revision 0.
var keyModel = porcupine.Model{
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
		current, in, out := state.(observed), input.(operation), output.(observed)
		switch {
		case in.kind == "read":
			return out == current, current
		case out.conflict:
			return current.revision != in.previous, current
		case current.revision != in.previous || out.revision <= current.revision:
			return false, current
		case in.kind == "delete":
			return true, observed{}
		}
		return true, observed{revision: out.revision, value: in.value}
	},
}

// recorder collects a history; the outcomes of unknown writes are taken from the store's log afterwards.
type recorder struct {
	sync.Mutex
	start   time.Time
	history []porcupine.Operation
	unknown []porcupine.Operation
}

func (r *recorder) add(client int, called time.Time, in operation, out observed, known bool) {
	r.Lock()
	defer r.Unlock()
	o := porcupine.Operation{
		ClientId: client, Input: in, Output: out,
		Call: called.Sub(r.start).Nanoseconds(), Return: time.Since(r.start).Nanoseconds(),
	}
	if known {
		r.history = append(r.history, o)
	} else {
		r.unknown = append(r.unknown, o)
	}
}

// addUnknown adds the unknown writes that the log contains and returns their number; they may have taken effect at any time
// after their call. Deletions carry no value, so they are recognized by the revision that they replaced.
func (r *recorder) addUnknown(log []store.Change) (added int) {
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
				added++
				break
			}
		}
		before[change.Key] = change.Revision
		if change.Deleted {
			before[change.Key] = 0
		}
	}
	return added
}

// Guards against faults that lost answers can cause: two writers that both replace the same revision, a revision that does
// not grow, a write that is reported as failed but took effect, and a read-back that confirms another writer's write.
func TestHistoryWithLostAnswers(t *testing.T) {
	const clients, calls = 8, 60
	s := startStore(t, store.Timing{})
	r := &recorder{start: time.Now()}
	keys := []jaybarrow.Key{"/plain/a", "/plain/b", "/lossy/a", "/lossy/b"}
	var faults conc.WaitGroup
	done := make(chan struct{})
	faults.Go(func() {
		// Alternates between losing all answers below one prefix and losing the next three answers for any key.
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
		client := newClient(t, s, callTimeout)
		group.Go(func() {
			for i := range calls {
				key := keys[rand.IntN(len(keys))]
				readThenWrite(r, client, n, key, fmt.Sprintf("%d-%d", n, i), i%5 == 4)
			}
		})
	}
	group.Wait()
	close(done)
	faults.Wait()

	tookEffect := r.addUnknown(s.Core().Log("/"))
	t.Logf("%d known calls, %d unknown writes, of which %d took effect", len(r.history)-tookEffect, len(r.unknown), tookEffect)
	assert.Assert(t, tookEffect > 0, "no answer was lost")
	assert.Equal(t, porcupine.CheckOperationsTimeout(keyModel, r.history, time.Minute), porcupine.Ok)
}

// readThenWrite reads a key and then writes or deletes it at the revision that it read.
func readThenWrite(r *recorder, client *etcd.Client, n int, key jaybarrow.Key, value string, deletes bool) {
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
		confirmWrite(r, client, n, called, in)
		return
	}
	r.add(n, called, in, observed{revision: revision, conflict: jaybarrow.IsKind(err, jaybarrow.KindConflict)}, err == nil || jaybarrow.IsKind(err, jaybarrow.KindConflict))
}

// confirmWrite reads back a write of unknown outcome; the write counts as known when the read-back finds its value.
func confirmWrite(r *recorder, client *etcd.Client, n int, called time.Time, in operation) {
	outcome, record, err := etcd.Confirm(context.Background(), client, in.key, in.previous, func(record jaybarrow.Record) bool {
		return in.kind == "write" && string(record.Value) == in.value
	})
	if err != nil {
		panic(err)
	}
	r.add(n, called, in, observed{revision: record.Revision}, outcome == etcd.OutcomeWritten)
}
