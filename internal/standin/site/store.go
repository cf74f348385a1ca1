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

// item is a record, or the removal of a record in the history.
type item struct {
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Rev     int64  `json:"rev"`
	Created int64  `json:"created,omitempty"`
	Lease   int64  `json:"lease,omitempty"`
	Removed bool   `json:"removed,omitempty"`
}

type lease struct {
	ttl    time.Duration
	expiry time.Time
}

// Fault is how a server misbehaves on one call.
type Fault string

// The faults.
const (
	FaultNone    Fault = ""
	FaultBusy    Fault = "busy"    // answered with status 503, not executed
	FaultLost    Fault = "lost"    // executed, never answered
	FaultSilent  Fault = "silent"  // neither executed nor answered
	FaultDelayed Fault = "delayed" // executed after delayedCallDelay, never answered
	FaultLate    Fault = "late"    // executed at once, answered after lateAnswerDelay
)

// delayedCallDelay is how long the execution of a call with FaultDelayed is put off.
const delayedCallDelay = time.Second

// lateAnswerDelay is how long the answer to a call with FaultLate is put off. It is within the time limits of calls to workers.
const lateAnswerDelay = 150 * time.Millisecond

// Store is the platform's key-value store.
type Store struct {
	lock      sync.Mutex
	changed   *sync.Cond
	rev       int64
	items     map[string]item
	history   []item
	compacted int64 // changes up to this revision are no longer in the history
	leases    map[int64]*lease
	faultFor  func(r *http.Request) Fault // nil without faults
	stop      chan struct{}
}

func newStore() *Store {
	s := &Store{rev: 1, items: make(map[string]item), leases: make(map[int64]*lease), stop: make(chan struct{})}
	s.changed = sync.NewCond(&s.lock)
	go s.expireLeases()
	return s
}

// SetFault sets the function that decides the fault of each call. A nil function injects no faults.
func (s *Store) SetFault(faultFor func(r *http.Request) Fault) {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.faultFor = faultFor
}

// Put writes a record without a lease, as the operator or a worker does.
func (s *Store) Put(key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err) // the test passed a value that JSON cannot encode
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

// Get returns the value of a record, or nil when there is none.
func (s *Store) Get(key string) []byte {
	s.lock.Lock()
	defer s.lock.Unlock()
	return s.items[key].Value
}

// revision returns the revision of a record, or 0 when there is none.
func (s *Store) revision(key string) int64 {
	s.lock.Lock()
	defer s.lock.Unlock()
	return s.items[key].Rev
}

// Compact drops the history, so that watches from earlier revisions fail.
func (s *Store) Compact() {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.history, s.compacted = nil, s.rev
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

// expireLeases ends leases when they expire. It wakes every waiting watch on each tick, so that a watch notices its deadline.
func (s *Store) expireLeases() {
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
				if now.After(l.expiry) {
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

// ServeHTTP serves a call, subject to the fault that SetFault set.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.lock.Lock()
	faultFor := s.faultFor
	s.lock.Unlock()
	if faultFor == nil {
		s.serve(w, r)
		return
	}
	injectFault(faultFor(r), w, r, s.serve)
}

// injectFault serves a call with the fault.
func injectFault(f Fault, w http.ResponseWriter, r *http.Request, serve http.HandlerFunc) {
	switch f {
	case FaultBusy:
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case FaultLost:
		serve(discardWriter{http.Header{}}, r)
	case FaultDelayed:
		body := &strings.Builder{}
		if _, err := copyBody(body, r); err == nil {
			time.AfterFunc(delayedCallDelay, func() { serve(discardWriter{http.Header{}}, withBody(r, body.String())) })
		}
	case FaultSilent:
	case FaultLate:
		serve(w, r) // the server sends a short answer when its handler returns
		time.Sleep(lateAnswerDelay)
		return
	default:
		serve(w, r)
		return
	}
	// The server notices that the client has closed the connection only after it has read the body.
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
		s.listItems(w, r)
	case path == "/kv-watch":
		s.watch(w, r)
	case path == "/kv-txn":
		s.commit(w, r)
	case path == "/kv-lease":
		s.grantLease(w, r)
	case strings.HasPrefix(path, "/kv-keep/"):
		s.renewLease(w, strings.TrimPrefix(path, "/kv-keep/"))
	case strings.HasPrefix(path, "/kv-lease-end/"):
		s.revokeLease(w, strings.TrimPrefix(path, "/kv-lease-end/"))
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
	writeJSON(w, http.StatusOK, i)
}

// pageSize is small, so that tests cover lists of several pages.
const pageSize = 50

func (s *Store) listItems(w http.ResponseWriter, r *http.Request) {
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
	writeJSON(w, http.StatusOK, map[string]any{"items": items, "truncated": truncated, "current_rev": rev})
}

func (s *Store) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, err := strconv.ParseInt(q.Get("after"), 10, 64)
	wait, err2 := strconv.ParseInt(q.Get("wait_ms"), 10, 64)
	if err != nil || err2 != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	deadline := time.Now().Add(time.Duration(wait) * time.Millisecond)
	s.lock.Lock()
	defer s.lock.Unlock()
	for {
		if after < s.compacted {
			w.WriteHeader(http.StatusGone)
			return
		}
		events := []item{}
		for _, i := range s.history {
			if i.Rev > after && strings.HasPrefix(i.Key, q.Get("prefix")) {
				events = append(events, i)
			}
		}
		if len(events) > 0 || time.Now().After(deadline) || r.Context().Err() != nil {
			writeJSON(w, http.StatusOK, map[string]any{"events": events, "current_rev": s.rev})
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
	const maxOperations = 32
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil || len(in.Expect)+len(in.Puts)+len(in.Remove) > maxOperations {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.lock.Lock()
	defer s.lock.Unlock()
	matches, current := true, []item{}
	for _, e := range in.Expect {
		i, ok := s.items[e.Key]
		if ok {
			current = append(current, i)
		}
		matches = matches && i.Rev == e.Rev
	}
	if !matches {
		writeJSON(w, http.StatusPreconditionFailed, map[string]any{"items": current})
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
	writeJSON(w, http.StatusOK, map[string]any{"rev": s.rev})
}

func (s *Store) grantLease(w http.ResponseWriter, r *http.Request) {
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
	s.leases[s.rev] = &lease{ttl: ttl, expiry: time.Now().Add(ttl)}
	writeJSON(w, http.StatusOK, map[string]any{"lease": s.rev, "ttl_ms": in.TTLMs})
}

func (s *Store) renewLease(w http.ResponseWriter, id string) {
	s.lock.Lock()
	defer s.lock.Unlock()
	n, _ := strconv.ParseInt(id, 10, 64) //nolint:errcheck // an invalid id parses as 0, which is no lease
	l := s.leases[n]
	if l == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	l.expiry = time.Now().Add(l.ttl)
	writeJSON(w, http.StatusOK, map[string]any{"ttl_ms": l.ttl.Milliseconds()})
}

func (s *Store) revokeLease(w http.ResponseWriter, id string) {
	s.lock.Lock()
	defer s.lock.Unlock()
	n, _ := strconv.ParseInt(id, 10, 64) //nolint:errcheck // an invalid id parses as 0, which is no lease
	if s.leases[n] == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	s.endLease(n)
	s.changed.Broadcast()
	writeJSON(w, http.StatusOK, map[string]any{})
}
