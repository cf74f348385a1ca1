package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Limits of the store, as in the settings of the processes.
const (
	valueBytes = 1 << 20
	minTTL     = time.Second
	pageItems  = 500
	pageBytes  = 1 << 20
)

type item struct {
	Key     string `json:"key"`
	Value   []byte `json:"value"`
	Rev     int64  `json:"rev"`
	Created int64  `json:"created"`
	Lease   int64  `json:"lease"`
}

type event struct {
	item
	Removed bool `json:"removed,omitempty"`
}

type storeLease struct {
	ttl    time.Duration
	expiry time.Time
}

// store is a stand-in of the platform's metadata store. While it is down, each call and each waiting watch is reset, and its leases go on
// running out.
type store struct {
	lock    sync.Mutex
	changed chan struct{}
	rev     int64
	items   map[string]item
	history []event
	leases  map[int64]storeLease
	down    bool
}

func newStore() *store {
	s := &store{rev: 1, items: map[string]item{}, leases: map[int64]storeLease{}, changed: make(chan struct{})}
	go func() {
		for {
			time.Sleep(10 * time.Millisecond)
			s.lock.Lock()
			for id, l := range s.leases {
				if time.Now().After(l.expiry) {
					s.endLease(id)
				}
			}
			s.lock.Unlock()
		}
	}()
	return s
}

func (s *store) signal() { close(s.changed); s.changed = make(chan struct{}) }

func (s *store) setDown(down bool) {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.down = down
	s.signal()
}

func (s *store) isDown() bool {
	s.lock.Lock()
	defer s.lock.Unlock()
	return s.down
}

// put writes a record as the operator or a worker does; it reports false while the store is down.
func (s *store) put(key string, value any) bool {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.lock.Lock()
	defer s.lock.Unlock()
	if s.down {
		return false
	}
	s.rev++
	s.set(key, data, 0)
	s.signal()
	return true
}

func (s *store) set(key string, value []byte, lease int64) {
	i := item{Key: key, Value: value, Rev: s.rev, Created: s.rev, Lease: lease}
	if old, ok := s.items[key]; ok {
		i.Created = old.Created
	}
	s.items[key] = i
	s.history = append(s.history, event{item: i})
}

func (s *store) remove(key string) {
	if _, ok := s.items[key]; ok {
		delete(s.items, key)
		s.history = append(s.history, event{item: item{Key: key, Rev: s.rev}, Removed: true})
	}
}

// removeKey removes a record as the platform does.
func (s *store) removeKey(key string) {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.rev++
	s.remove(key)
	s.signal()
}

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

// reset closes the connection of a call without an answer.
func reset(w http.ResponseWriter) {
	c, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

func answer(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if s.isDown() {
		reset(w)
		return
	}
	q := r.URL.Query()
	switch path := r.URL.Path; {
	case path == "/kv-key":
		s.lock.Lock()
		i, ok := s.items[q.Get("key")]
		rev := s.rev
		s.lock.Unlock()
		if !ok {
			answer(w, http.StatusNotFound, struct{}{})
			return
		}
		answer(w, http.StatusOK, struct {
			item
			CurrentRev int64 `json:"current_rev"`
		}{i, rev})
	case path == "/kv-range":
		s.list(w, q.Get("prefix"), q.Get("after"))
	case path == "/kv-watch":
		after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
		wait, _ := strconv.Atoi(q.Get("wait_ms"))
		s.watch(w, r, q.Get("prefix"), after, time.Duration(wait)*time.Millisecond)
	case path == "/kv-txn":
		s.commit(w, r)
	case path == "/kv-lease":
		var in struct {
			TTL int64 `json:"ttl_ms"`
		}
		_ = json.NewDecoder(r.Body).Decode(&in)
		ttl := max(minTTL, time.Duration(in.TTL)*time.Millisecond)
		s.lock.Lock()
		s.rev++
		id := s.rev
		s.leases[id] = storeLease{ttl, time.Now().Add(ttl)}
		s.lock.Unlock()
		answer(w, http.StatusOK, map[string]int64{"lease": id, "ttl_ms": ttl.Milliseconds()})
	case strings.HasPrefix(path, "/kv-keep/"):
		id, _ := strconv.ParseInt(strings.TrimPrefix(path, "/kv-keep/"), 10, 64)
		s.lock.Lock()
		l, ok := s.leases[id]
		if ok {
			l.expiry = time.Now().Add(l.ttl)
			s.leases[id] = l
		}
		s.lock.Unlock()
		if !ok {
			answer(w, http.StatusNotFound, struct{}{})
			return
		}
		answer(w, http.StatusOK, map[string]int64{"ttl_ms": l.ttl.Milliseconds()})
	case strings.HasPrefix(path, "/kv-lease-end/"):
		id, _ := strconv.ParseInt(strings.TrimPrefix(path, "/kv-lease-end/"), 10, 64)
		s.lock.Lock()
		_, ok := s.leases[id]
		if ok {
			s.endLease(id)
		}
		s.lock.Unlock()
		if !ok {
			answer(w, http.StatusNotFound, struct{}{})
			return
		}
		answer(w, http.StatusOK, struct{}{})
	default:
		answer(w, http.StatusNotFound, struct{}{})
	}
}

func (s *store) list(w http.ResponseWriter, prefix, after string) {
	s.lock.Lock()
	var keys []string
	for key := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	items, bytes, truncated := []item{}, 0, false
	for _, key := range keys {
		i := s.items[key]
		if len(items) == pageItems || len(items) > 0 && bytes+len(i.Value) > pageBytes {
			truncated = true
			break
		}
		bytes += len(i.Value)
		items = append(items, i)
	}
	rev := s.rev
	s.lock.Unlock()
	answer(w, http.StatusOK, map[string]any{"items": items, "truncated": truncated, "current_rev": rev})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, prefix string, after int64, wait time.Duration) {
	timeout := time.After(wait)
	for {
		s.lock.Lock()
		down, changed, rev := s.down, s.changed, s.rev
		events := []event{}
		for n := sort.Search(len(s.history), func(n int) bool { return s.history[n].Rev > after }); n < len(s.history); n++ {
			if strings.HasPrefix(s.history[n].Key, prefix) {
				events = append(events, s.history[n])
			}
		}
		s.lock.Unlock()
		if down {
			reset(w)
			return
		}
		if len(events) > 0 {
			answer(w, http.StatusOK, map[string]any{"events": events, "current_rev": rev})
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-timeout:
			answer(w, http.StatusOK, map[string]any{"events": events, "current_rev": rev})
			return
		}
	}
}

func (s *store) commit(w http.ResponseWriter, r *http.Request) {
	var in struct {
		Expect []struct {
			Key string `json:"key"`
			Rev int64  `json:"rev"`
		} `json:"expect"`
		Puts []struct {
			Key   string `json:"key"`
			Value []byte `json:"value"`
			Lease int64  `json:"lease"`
		} `json:"puts"`
		Remove []string `json:"remove"`
	}
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil || len(in.Expect)+len(in.Puts)+len(in.Remove) > 32 {
		answer(w, http.StatusBadRequest, struct{}{})
		return
	}
	s.lock.Lock()
	defer s.lock.Unlock()
	for _, p := range in.Puts {
		switch {
		case strings.HasPrefix(p.Key, "op/") || strings.HasPrefix(p.Key, "servers/"):
			answer(w, http.StatusForbidden, struct{}{})
			return
		case len(p.Key) > 200 || len(p.Value) > valueBytes:
			answer(w, http.StatusBadRequest, struct{}{})
			return
		}
		if _, ok := s.leases[p.Lease]; p.Lease != 0 && !ok {
			answer(w, http.StatusNotFound, struct{}{})
			return
		}
	}
	conflict, current := false, []item{}
	for _, e := range in.Expect {
		i, ok := s.items[e.Key]
		conflict = conflict || i.Rev != e.Rev
		if ok {
			current = append(current, i)
		}
	}
	if conflict {
		answer(w, http.StatusPreconditionFailed, map[string]any{"items": current})
		return
	}
	s.rev++
	for _, p := range in.Puts {
		s.set(p.Key, p.Value, p.Lease)
	}
	for _, key := range in.Remove {
		s.remove(key)
	}
	s.signal()
	answer(w, http.StatusOK, map[string]int64{"rev": s.rev})
}
