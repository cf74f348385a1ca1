package main

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

// storeLatency is how long the store takes for an answer.
const storeLatency = 4 * time.Millisecond

// maxPage is the most items of one page of a list.
const maxPage = 500

// item is a record of the store, or the removal of one in its history.
type item struct {
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Rev     int64  `json:"rev"`
	Created int64  `json:"created,omitempty"`
	Lease   int64  `json:"lease,omitempty"`
	Removed bool   `json:"removed,omitempty"`
}

// change is a conditional write.
type change struct {
	Expect []struct {
		Key string `json:"key"`
		Rev int64  `json:"rev"`
	} `json:"expect"`
	Puts   []item   `json:"puts"`
	Remove []string `json:"remove"`
}

type storeLease struct {
	ttl    time.Duration
	expiry time.Time
}

// store stands in for the platform's key-value store.
type store struct {
	*server
	lock    sync.Mutex
	rev     int64
	items   map[string]item
	history []item
	leases  map[int64]*storeLease
	changed chan struct{} // closed with the next change
	// late returns after which time a write without an answer is carried out; false for a write that is answered at once. Nil loses none.
	late func(change) (time.Duration, bool)
}

func newStore() (*store, error) {
	s := &store{rev: 1, items: make(map[string]item), leases: make(map[int64]*storeLease), changed: make(chan struct{})}
	var err error
	if s.server, err = newServer(s); err != nil {
		return nil, err
	}
	go s.expireLeases()
	return s, nil
}

// expireLeases ends leases for as long as the program runs.
func (s *store) expireLeases() {
	for {
		time.Sleep(5 * time.Millisecond)
		s.lock.Lock()
		for id, l := range s.leases {
			if time.Now().After(l.expiry) {
				s.endLease(id)
			}
		}
		s.lock.Unlock()
	}
}

// endLease ends a lease and removes its records. The lock is held.
func (s *store) endLease(id int64) {
	delete(s.leases, id)
	s.rev++
	for key, i := range s.items {
		if i.Lease == id {
			s.remove(key)
		}
	}
	s.signal()
}

// signal wakes the waiting watches. The lock is held.
func (s *store) signal() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// write stores a record. The lock is held.
func (s *store) write(p item) {
	i := item{Key: p.Key, Value: p.Value, Rev: s.rev, Created: s.rev, Lease: p.Lease}
	if old, ok := s.items[p.Key]; ok {
		i.Created = old.Created
	}
	s.items[p.Key] = i
	s.history = append(s.history, i)
}

// remove removes a record. The lock is held.
func (s *store) remove(key string) {
	if _, ok := s.items[key]; ok {
		delete(s.items, key)
		s.history = append(s.history, item{Key: key, Rev: s.rev, Removed: true})
	}
}

// set writes a record as operators and workers do.
func (s *store) set(key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err) // the values of the cases can be encoded
	}
	s.lock.Lock()
	defer s.lock.Unlock()
	s.rev++
	s.write(item{Key: key, Value: data})
	s.signal()
}

// unset removes a record as the platform does.
func (s *store) unset(key string) {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.rev++
	s.remove(key)
	s.signal()
}

// value returns the value of a record, or nil.
func (s *store) value(key string) []byte {
	s.lock.Lock()
	defer s.lock.Unlock()
	return s.items[key].Value
}

// ServeHTTP serves one call.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	path := r.URL.Path
	if path == "/kv-watch" {
		s.watch(w, r)
		return
	}
	time.Sleep(storeLatency)
	switch {
	case path == "/kv-key":
		s.get(w, r.URL.Query().Get("key"))
	case path == "/kv-range":
		s.list(w, r.URL.Query().Get("prefix"), r.URL.Query().Get("after"))
	case path == "/kv-txn":
		s.commit(w, r)
	case path == "/kv-lease":
		s.grant(w, r)
	case strings.HasPrefix(path, "/kv-keep/"):
		s.renew(w, strings.TrimPrefix(path, "/kv-keep/"))
	case strings.HasPrefix(path, "/kv-lease-end/"):
		s.revoke(w, strings.TrimPrefix(path, "/kv-lease-end/"))
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) get(w http.ResponseWriter, key string) {
	s.lock.Lock()
	i, ok := s.items[key]
	s.lock.Unlock()
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	writeJSON(w, http.StatusOK, i)
}

func (s *store) list(w http.ResponseWriter, prefix, after string) {
	items := []item{}
	s.lock.Lock()
	for key, i := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			items = append(items, i)
		}
	}
	rev := s.rev
	s.lock.Unlock()
	slices.SortFunc(items, func(a, b item) int { return strings.Compare(a.Key, b.Key) })
	truncated := len(items) > maxPage
	writeJSON(w, http.StatusOK, map[string]any{"items": items[:min(len(items), maxPage)], "truncated": truncated, "current_rev": rev})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, err := strconv.ParseInt(q.Get("after"), 10, 64)
	wait, waitErr := strconv.ParseInt(q.Get("wait_ms"), 10, 64)
	if err != nil || waitErr != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	limit := time.After(time.Duration(wait) * time.Millisecond)
	for waiting := true; ; {
		events := []item{}
		s.lock.Lock()
		first, _ := slices.BinarySearchFunc(s.history, after+1, func(i item, rev int64) int { return int(i.Rev - rev) })
		for _, i := range s.history[first:] {
			if strings.HasPrefix(i.Key, q.Get("prefix")) {
				events = append(events, i)
			}
		}
		rev, changed := s.rev, s.changed
		s.lock.Unlock()
		if len(events) > 0 || !waiting {
			time.Sleep(storeLatency)
			writeJSON(w, http.StatusOK, map[string]any{"events": events, "current_rev": rev})
			return
		}
		select {
		case <-changed:
		case <-limit:
			waiting = false
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) commit(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	var in change
	if err != nil || json.Unmarshal(body, &in) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.lock.Lock()
	late := s.late
	s.lock.Unlock()
	if late != nil {
		if after, lost := late(in); lost {
			time.AfterFunc(after, func() { s.apply(in) })
			leaveUnanswered(r)
		}
	}
	status, answer := s.apply(in)
	writeJSON(w, status, answer)
}

// apply carries out a write if its condition holds.
func (s *store) apply(in change) (int, any) {
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
		return http.StatusPreconditionFailed, map[string]any{"items": current}
	}
	for _, p := range in.Puts {
		if p.Lease != 0 && s.leases[p.Lease] == nil {
			return http.StatusNotFound, map[string]any{}
		}
	}
	s.rev++
	for _, p := range in.Puts {
		s.write(p)
	}
	for _, key := range in.Remove {
		s.remove(key)
	}
	s.signal()
	return http.StatusOK, map[string]any{"rev": s.rev}
}

func (s *store) grant(w http.ResponseWriter, r *http.Request) {
	var in struct {
		TTLMs int64 `json:"ttl_ms"`
	}
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	ttl := time.Duration(in.TTLMs) * time.Millisecond
	s.lock.Lock()
	s.rev++
	id := s.rev
	s.leases[id] = &storeLease{ttl: ttl, expiry: time.Now().Add(ttl)}
	s.lock.Unlock()
	writeJSON(w, http.StatusOK, map[string]any{"lease": id, "ttl_ms": in.TTLMs})
}

// lease returns the lease with the id, or nil. The lock is held.
func (s *store) lease(id string) (int64, *storeLease) {
	n, err := strconv.ParseInt(id, 10, 64)
	if err != nil {
		return 0, nil
	}
	return n, s.leases[n]
}

func (s *store) renew(w http.ResponseWriter, id string) {
	s.lock.Lock()
	defer s.lock.Unlock()
	_, l := s.lease(id)
	if l == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	l.expiry = time.Now().Add(l.ttl)
	writeJSON(w, http.StatusOK, map[string]any{"ttl_ms": l.ttl.Milliseconds()})
}

func (s *store) revoke(w http.ResponseWriter, id string) {
	s.lock.Lock()
	defer s.lock.Unlock()
	n, l := s.lease(id)
	if l == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	s.endLease(n)
	writeJSON(w, http.StatusOK, map[string]any{})
}
