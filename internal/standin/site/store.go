package site

import (
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is a record, or in the history a removal.
type item struct {
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Rev     int64  `json:"rev"`
	Created int64  `json:"created,omitempty"`
	Lease   int64  `json:"lease,omitempty"`
	Removed bool   `json:"removed,omitempty"`
}

type lease struct {
	ttl time.Duration
	end time.Time
}

// Fault decides what becomes of one call to a server.
type Fault string

// The faults.
const (
	FaultNone    Fault = ""
	FaultBusy    Fault = "busy"    // 503, nothing is done
	FaultLost    Fault = "lost"    // done, without an answer
	FaultSilent  Fault = "silent"  // not done, without an answer
	FaultDelayed Fault = "delayed" // without an answer, done after a second
)

// delayed is how much later a delayed call is carried out.
const delayed = time.Second

// Store is the platform's key-value store.
type Store struct {
	lock    sync.Mutex
	changed *sync.Cond
	rev     int64
	items   map[string]item
	history []item
	oldest  int64 // changes up to it are forgotten
	leases  map[int64]*lease
	fault   func(r *http.Request) Fault
	stop    chan struct{}
}

func newStore() *Store {
	s := &Store{rev: 1, items: make(map[string]item), leases: make(map[int64]*lease), stop: make(chan struct{})}
	s.changed = sync.NewCond(&s.lock)
	go s.expire()
	return s
}

// SetFault installs a decision on each call; nil: no faults.
func (s *Store) SetFault(fault func(r *http.Request) Fault) {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.fault = fault
}

// Put writes a record as the operator or a worker.
func (s *Store) Put(key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err) // a mistake in a test
	}
	s.lock.Lock()
	defer s.lock.Unlock()
	s.rev++
	s.put(key, data, 0)
	s.changed.Broadcast()
}

// Remove removes a record.
func (s *Store) Remove(key string) {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.rev++
	s.remove(key)
	s.changed.Broadcast()
}

// Get returns the value of a record, or nil.
func (s *Store) Get(key string) []byte {
	s.lock.Lock()
	defer s.lock.Unlock()
	return s.items[key].Value
}

// Compact forgets the history.
func (s *Store) Compact() {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.history, s.oldest = nil, s.rev
	s.changed.Broadcast()
}

func (s *Store) put(key string, value []byte, lease int64) {
	i := item{Key: key, Value: value, Rev: s.rev, Created: s.rev, Lease: lease}
	if old, ok := s.items[key]; ok {
		i.Created = old.Created
	}
	s.items[key] = i
	s.history = append(s.history, i)
}

func (s *Store) remove(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	delete(s.items, key)
	s.history = append(s.history, item{Key: key, Rev: s.rev, Removed: true})
}

// expire ends leases in time and wakes waiting watches.
func (s *Store) expire() {
	const tick = 10 * time.Millisecond
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	for {
		select {
		case <-s.stop:
			return
		case now := <-ticker.C:
			s.lock.Lock()
			for id, l := range s.leases {
				if now.After(l.end) {
					s.endLease(id)
				}
			}
			s.changed.Broadcast()
			s.lock.Unlock()
		}
	}
}

func (s *Store) endLease(id int64) {
	delete(s.leases, id)
	s.rev++
	for key, i := range s.items {
		if i.Lease == id {
			s.remove(key)
		}
	}
}

// ServeHTTP answers a call.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.lock.Lock()
	fault := s.fault
	s.lock.Unlock()
	if fault == nil {
		s.serve(w, r)
		return
	}
	inject(fault(r), w, r, s.serve)
}

// inject answers a call as the fault says.
func inject(f Fault, w http.ResponseWriter, r *http.Request, serve http.HandlerFunc) {
	switch f {
	case FaultBusy:
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case FaultLost:
		serve(discard{http.Header{}}, r)
	case FaultDelayed:
		body := &strings.Builder{}
		if _, err := copyBody(body, r); err == nil {
			time.AfterFunc(delayed, func() { serve(discard{http.Header{}}, withBody(r, body.String())) })
		}
	case FaultSilent:
	default:
		serve(w, r)
		return
	}
	// The server only notices that the caller has gone once it has read the body.
	if _, err := copyBody(io.Discard, r); err == nil {
		<-r.Context().Done()
	}
	panic(http.ErrAbortHandler)
}

func (s *Store) serve(w http.ResponseWriter, r *http.Request) {
	switch path := r.URL.Path; {
	case path == "/kv-key":
		s.get(w, r)
	case path == "/kv-range":
		s.list(w, r)
	case path == "/kv-watch":
		s.watch(w, r)
	case path == "/kv-txn":
		s.commit(w, r)
	case path == "/kv-lease":
		s.grant(w, r)
	case strings.HasPrefix(path, "/kv-keep/"):
		s.keep(w, strings.TrimPrefix(path, "/kv-keep/"))
	case strings.HasPrefix(path, "/kv-lease-end/"):
		s.revoke(w, strings.TrimPrefix(path, "/kv-lease-end/"))
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *Store) get(w http.ResponseWriter, r *http.Request) {
	s.lock.Lock()
	i, ok := s.items[r.URL.Query().Get("key")]
	s.lock.Unlock()
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	answer(w, http.StatusOK, i)
}

// pageSize is small, so that tests meet lists of several pages.
const pageSize = 50

func (s *Store) list(w http.ResponseWriter, r *http.Request) {
	prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
	s.lock.Lock()
	items := []item{}
	for key, i := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			items = append(items, i)
		}
	}
	rev := s.rev
	s.lock.Unlock()
	slices.SortFunc(items, func(a, b item) int { return strings.Compare(a.Key, b.Key) })
	truncated := len(items) > pageSize
	if truncated {
		items = items[:pageSize]
	}
	answer(w, http.StatusOK, map[string]any{"items": items, "truncated": truncated, "current_rev": rev})
}

func (s *Store) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, err := strconv.ParseInt(q.Get("after"), 10, 64)
	wait, err2 := strconv.ParseInt(q.Get("wait_ms"), 10, 64)
	if err != nil || err2 != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	until := time.Now().Add(time.Duration(wait) * time.Millisecond)
	s.lock.Lock()
	defer s.lock.Unlock()
	for {
		if after < s.oldest {
			w.WriteHeader(http.StatusGone)
			return
		}
		events := []item{}
		for _, i := range s.history {
			if i.Rev > after && strings.HasPrefix(i.Key, q.Get("prefix")) {
				events = append(events, i)
			}
		}
		if len(events) > 0 || time.Now().After(until) || r.Context().Err() != nil {
			answer(w, http.StatusOK, map[string]any{"events": events, "current_rev": s.rev})
			return
		}
		s.changed.Wait()
	}
}

func (s *Store) commit(w http.ResponseWriter, r *http.Request) {
	var in struct {
		Expect []struct {
			Key string `json:"key"`
			Rev int64  `json:"rev"`
		} `json:"expect"`
		Puts   []item   `json:"puts"`
		Remove []string `json:"remove"`
	}
	const most = 32
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil || len(in.Expect)+len(in.Puts)+len(in.Remove) > most {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.lock.Lock()
	defer s.lock.Unlock()
	holds, current := true, []item{}
	for _, e := range in.Expect {
		i, ok := s.items[e.Key]
		if ok {
			current = append(current, i)
		}
		holds = holds && i.Rev == e.Rev
	}
	if !holds {
		answer(w, http.StatusPreconditionFailed, map[string]any{"items": current})
		return
	}
	for _, p := range in.Puts {
		if p.Lease != 0 && s.leases[p.Lease] == nil {
			w.WriteHeader(http.StatusNotFound)
			return
		}
	}
	s.rev++
	for _, p := range in.Puts {
		s.put(p.Key, p.Value, p.Lease)
	}
	for _, k := range in.Remove {
		s.remove(k)
	}
	s.changed.Broadcast()
	answer(w, http.StatusOK, map[string]any{"rev": s.rev})
}

func (s *Store) grant(w http.ResponseWriter, r *http.Request) {
	var in struct {
		TTLMs int64 `json:"ttl_ms"`
	}
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.lock.Lock()
	defer s.lock.Unlock()
	s.rev++
	ttl := time.Duration(in.TTLMs) * time.Millisecond
	s.leases[s.rev] = &lease{ttl: ttl, end: time.Now().Add(ttl)}
	answer(w, http.StatusOK, map[string]any{"lease": s.rev, "ttl_ms": in.TTLMs})
}

func (s *Store) keep(w http.ResponseWriter, id string) {
	s.lock.Lock()
	defer s.lock.Unlock()
	n, _ := strconv.ParseInt(id, 10, 64) //nolint:errcheck // an id that is no number names no lease
	l := s.leases[n]
	if l == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	l.end = time.Now().Add(l.ttl)
	answer(w, http.StatusOK, map[string]any{"ttl_ms": l.ttl.Milliseconds()})
}

func (s *Store) revoke(w http.ResponseWriter, id string) {
	s.lock.Lock()
	defer s.lock.Unlock()
	n, _ := strconv.ParseInt(id, 10, 64) //nolint:errcheck // an id that is no number names no lease
	if s.leases[n] == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	s.endLease(n)
	s.changed.Broadcast()
	answer(w, http.StatusOK, map[string]any{})
}
