package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// The figures of the platform's store, as the pages give them for a small deployment.
const (
	answerTime   = 4 * time.Millisecond
	historyTime  = 20 * time.Second
	pageItems    = 500
	pageBytes    = 1 << 20
	maxEntries   = 32
	shortestTTL  = time.Second
	maxWatchWait = 30 * time.Second
)

type item struct {
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Rev     int64  `json:"rev"`
	Created int64  `json:"created,omitempty"`
	Lease   int64  `json:"lease,omitempty"`
	Removed bool   `json:"removed,omitempty"`
}

type event struct {
	item
	at time.Time
}

type lease struct {
	ttl  time.Duration
	ends time.Time
}

// store is the platform's key-value store.
type store struct {
	address string

	lock      sync.Mutex
	changed   chan struct{} // closed and replaced at each change
	items     map[string]item
	rev       int64
	history   []event
	discarded int64 // changes up to this revision are no longer in the history
	leases    map[int64]lease
	lastLease int64
	// fault decides on the fault of a call; nil injects none.
	fault func(path, query string, body []byte) string
}

func newStore() (*store, error) {
	s := &store{changed: make(chan struct{}), items: make(map[string]item), rev: 100, leases: make(map[int64]lease)}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s.address = l.Addr().String()
	go func() { _ = http.Serve(l, s) }() //nolint:gosec // a stand-in
	go s.expire()
	return s, nil
}

// put writes a record as the operator or a worker does.
func (s *store) put(key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.lock.Lock()
	defer s.lock.Unlock()
	s.rev++
	s.set(key, data, 0)
	s.signal()
}

func (s *store) remove(key string) {
	s.lock.Lock()
	defer s.lock.Unlock()
	if _, ok := s.items[key]; ok {
		s.rev++
		s.drop(key)
		s.signal()
	}
}

func (s *store) get(key string) []byte {
	s.lock.Lock()
	defer s.lock.Unlock()
	return s.items[key].Value
}

func (s *store) set(key string, value []byte, leaseID int64) {
	i := item{Key: key, Value: value, Rev: s.rev, Created: s.rev, Lease: leaseID}
	if old, ok := s.items[key]; ok {
		i.Created = old.Created
	}
	s.items[key] = i
	s.history = append(s.history, event{i, time.Now()})
}

func (s *store) drop(key string) {
	delete(s.items, key)
	s.history = append(s.history, event{item{Key: key, Rev: s.rev, Removed: true}, time.Now()})
}

func (s *store) signal() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// expire ends leases and discards the old history.
func (s *store) expire() {
	for range time.Tick(20 * time.Millisecond) {
		s.lock.Lock()
		now := time.Now()
		for id, l := range s.leases {
			if now.After(l.ends) {
				s.endLease(id)
			}
		}
		n := 0
		for n < len(s.history) && now.Sub(s.history[n].at) > historyTime {
			s.discarded = s.history[n].Rev
			n++
		}
		s.history = s.history[n:]
		s.lock.Unlock()
	}
}

func (s *store) endLease(id int64) {
	delete(s.leases, id)
	s.rev++
	for key, i := range s.items {
		if i.Lease == id {
			s.drop(key)
		}
	}
	s.signal()
}

func answer(w http.ResponseWriter, status int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(data)
}

// ServeHTTP serves a call.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body := readBody(r)
	s.lock.Lock()
	fault := s.fault
	s.lock.Unlock()
	kind := ""
	if fault != nil {
		kind = fault(r.URL.Path, r.URL.RawQuery, body)
	}
	time.Sleep(answerTime)
	switch kind {
	case "silent": // neither executed nor answered
		<-r.Context().Done()
		return
	case "lost": // executed, not answered
		s.serve(discard{http.Header{}}, r, body)
		<-r.Context().Done()
		return
	}
	s.serve(w, r, body)
}

type discard struct{ header http.Header }

func (d discard) Header() http.Header         { return d.header }
func (d discard) Write(p []byte) (int, error) { return len(p), nil }
func (d discard) WriteHeader(int)             {}

func (s *store) serve(w http.ResponseWriter, r *http.Request, body []byte) {
	query := r.URL.Query()
	switch path := r.URL.Path; {
	case path == "/kv-key":
		s.lock.Lock()
		i, ok := s.items[query.Get("key")]
		s.lock.Unlock()
		if !ok {
			answer(w, http.StatusNotFound, struct{}{})
			return
		}
		answer(w, http.StatusOK, i)
	case path == "/kv-range":
		s.list(w, query.Get("prefix"), query.Get("after"))
	case path == "/kv-watch":
		s.watch(w, r, query.Get("prefix"), number(query.Get("after")), number(query.Get("wait_ms")))
	case path == "/kv-txn":
		s.commit(w, body)
	case path == "/kv-lease":
		var in struct {
			TTLMs int64 `json:"ttl_ms"`
		}
		_ = json.Unmarshal(body, &in)
		s.lock.Lock()
		s.lastLease++
		id, ttl := s.lastLease, max(time.Duration(in.TTLMs)*time.Millisecond, shortestTTL)
		s.leases[id] = lease{ttl, time.Now().Add(ttl)}
		s.lock.Unlock()
		answer(w, http.StatusOK, map[string]any{"lease": id, "ttl_ms": ttl.Milliseconds()})
	case strings.HasPrefix(path, "/kv-keep/"):
		id := number(strings.TrimPrefix(path, "/kv-keep/"))
		s.lock.Lock()
		l, ok := s.leases[id]
		if ok {
			l.ends = time.Now().Add(l.ttl)
			s.leases[id] = l
		}
		s.lock.Unlock()
		answer(w, found(ok), struct{}{})
	case strings.HasPrefix(path, "/kv-lease-end/"):
		id := number(strings.TrimPrefix(path, "/kv-lease-end/"))
		s.lock.Lock()
		_, ok := s.leases[id]
		if ok {
			s.endLease(id)
		}
		s.lock.Unlock()
		answer(w, found(ok), struct{}{})
	default:
		answer(w, http.StatusNotFound, struct{}{})
	}
}

func found(ok bool) int {
	if ok {
		return http.StatusOK
	}
	return http.StatusNotFound
}

func number(text string) int64 {
	n, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		return 0
	}
	return n
}

func (s *store) list(w http.ResponseWriter, prefix, after string) {
	s.lock.Lock()
	var keys []string
	for k := range s.items {
		if strings.HasPrefix(k, prefix) && k > after {
			keys = append(keys, k)
		}
	}
	sort.Strings(keys)
	items, size, truncated := []item{}, 0, false
	for _, k := range keys {
		if len(items) >= pageItems || size >= pageBytes {
			truncated = true
			break
		}
		items = append(items, s.items[k])
		size += len(s.items[k].Value)
	}
	rev := s.rev
	s.lock.Unlock()
	answer(w, http.StatusOK, map[string]any{"items": items, "truncated": truncated, "current_rev": rev})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, prefix string, after, waitMs int64) {
	end := time.After(min(time.Duration(waitMs)*time.Millisecond, maxWatchWait))
	for {
		s.lock.Lock()
		if after < s.discarded {
			s.lock.Unlock()
			answer(w, http.StatusGone, struct{}{})
			return
		}
		events := []item{}
		for _, e := range s.history {
			if e.Rev > after && strings.HasPrefix(e.Key, prefix) {
				events = append(events, e.item)
			}
		}
		rev, changed := s.rev, s.changed
		s.lock.Unlock()
		if len(events) > 0 {
			answer(w, http.StatusOK, map[string]any{"events": events, "current_rev": rev})
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-end:
			answer(w, http.StatusOK, map[string]any{"events": events, "current_rev": rev})
			return
		}
	}
}

func (s *store) commit(w http.ResponseWriter, body []byte) {
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
	if err := json.Unmarshal(body, &in); err != nil || len(in.Expect)+len(in.Puts)+len(in.Remove) > maxEntries {
		answer(w, http.StatusBadRequest, map[string]any{"error": fmt.Sprint(err)})
		return
	}
	s.lock.Lock()
	defer s.lock.Unlock()
	kept := true
	current := []item{}
	for _, e := range in.Expect {
		i, ok := s.items[e.Key]
		kept = kept && i.Rev == e.Rev
		if ok {
			current = append(current, i)
		}
	}
	if !kept {
		answer(w, http.StatusPreconditionFailed, map[string]any{"items": current})
		return
	}
	for _, p := range in.Puts {
		if _, ok := s.leases[p.Lease]; p.Lease != 0 && !ok {
			answer(w, http.StatusNotFound, struct{}{})
			return
		}
	}
	s.rev++
	for _, p := range in.Puts {
		s.set(p.Key, p.Value, p.Lease)
	}
	for _, k := range in.Remove {
		if _, ok := s.items[k]; ok {
			s.drop(k)
		}
	}
	s.signal()
	answer(w, http.StatusOK, map[string]any{"rev": s.rev})
}
