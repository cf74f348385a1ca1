package site

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"
)

// Settings are what a Site begins with.
type Settings struct {
	Pools   map[string]int // workers by pool
	Spare   string         // the pool whose machines are off; empty: none
	Queues  []Queue
	Tenants []Tenant
}

// Queue is a route of the manifest.
type Queue struct {
	Name, Host, Prefix, Pool string
	Open                     bool
	MaxAttempts              int
}

// Tenant is a tenant of the manifest.
type Tenant struct {
	Name string
	Keys []string
	CPU  int64 // limit in thousandths of a core; 0: none
}

// Site is the whole platform.
type Site struct {
	Store *Store

	settings Settings
	kv       *server
	cloud    *server

	lock     sync.Mutex
	version  int
	sequence int
	workers  map[string]*Worker // by machine
	machines map[string]*machine
	ledger   []*Run
	orders   []string // answered orders for machines
}

type machine struct{ pool, state string }

// changeTime is how long a move or a maintenance takes.
const changeTime = 100 * time.Millisecond

// New returns a running Site with its first manifest.
func New(s Settings) *Site {
	site := &Site{Store: newStore(), settings: s, workers: make(map[string]*Worker), machines: make(map[string]*machine)}
	site.kv = newServer(site.Store)
	site.cloud = newServer(http.HandlerFunc(site.serveCloud))
	site.PutManifest(s.Queues, s.Tenants)
	for pool, n := range s.Pools {
		for range n {
			site.addMachine(pool)
		}
	}
	return site
}

// Close stops everything.
func (s *Site) Close() {
	s.lock.Lock()
	workers := s.workers
	s.workers = nil
	s.lock.Unlock()
	for _, w := range workers {
		w.stop()
	}
	close(s.Store.stop)
	s.kv.close()
	s.cloud.close()
}

// StoreAddress is where the store answers.
func (s *Site) StoreAddress() string { return s.kv.address }

// FleetAddress is where the interface of the machines answers.
func (s *Site) FleetAddress() string { return s.cloud.address }

// PutManifest writes the next version of the manifest.
func (s *Site) PutManifest(queues []Queue, tenants []Tenant) {
	s.lock.Lock()
	s.version++
	version := s.version
	s.lock.Unlock()
	routes, services, owners := []any{}, []any{}, []any{}
	for _, q := range queues {
		routes = append(routes, map[string]any{
			"name": q.Name, "host": q.Host, "prefix": q.Prefix, "service": q.Pool, "public": q.Open, "max_attempts": max(1, q.MaxAttempts),
			"stretch": 1.6, "slo_ms": 600, "timeout_ms": 3000, "type": "non_idempotent",
		})
	}
	for pool := range s.settings.Pools {
		services = append(services, map[string]any{"name": pool, "enforces_capacity": true, "spare": pool == s.settings.Spare})
	}
	for _, t := range tenants {
		owners = append(owners, map[string]any{"name": t.Name, "api_keys": t.Keys, "weight": 10, "cap": map[string]any{"cpu": t.CPU}})
	}
	s.Store.Put("op/config", map[string]any{"version": version, "routes": routes, "services": services, "tenants": owners})
}

func (s *Site) addMachine(pool string) {
	s.lock.Lock()
	s.sequence++
	id := fmt.Sprintf("m-%d", s.sequence)
	s.machines[id] = &machine{pool: pool, state: "up"}
	s.lock.Unlock()
	s.boot(id)
}

// boot starts a worker on the machine unless its pool is off.
func (s *Site) boot(id string) {
	s.lock.Lock()
	if s.workers == nil {
		s.lock.Unlock()
		return
	}
	m := s.machines[id]
	m.state = "up"
	if m.pool == s.settings.Spare {
		s.lock.Unlock()
		return
	}
	s.sequence++
	w := newWorker(s, fmt.Sprintf("i-%d", s.sequence), m.pool, id)
	s.workers[id] = w
	s.lock.Unlock()
	w.register()
}

// Workers returns the workers that are up.
func (s *Site) Workers() []*Worker {
	s.lock.Lock()
	defer s.lock.Unlock()
	var out []*Worker
	for _, w := range s.workers {
		out = append(out, w)
	}
	return out
}

// Crash ends a worker without a word; its entry stays.
func (s *Site) Crash(w *Worker) {
	s.lock.Lock()
	delete(s.workers, w.machine)
	s.lock.Unlock()
	w.stop()
}

// Machines returns the names of all machines.
func (s *Site) Machines() []string {
	s.lock.Lock()
	defer s.lock.Unlock()
	var out []string
	for id := range s.machines {
		out = append(out, id)
	}
	return out
}

// Orders returns the orders for machines that were carried out.
func (s *Site) Orders() []string {
	s.lock.Lock()
	defer s.lock.Unlock()
	return append([]string(nil), s.orders...)
}

func (s *Site) serveCloud(w http.ResponseWriter, r *http.Request) {
	var in struct {
		Machine string `json:"machine"`
		Pool    string `json:"pool"`
		Wave    int64  `json:"wave"`
	}
	if r.Method == http.MethodPost {
		if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
	}
	switch r.URL.Path {
	case "/machines":
		s.listMachines(w)
	case "/machine-move":
		s.change(w, in.Machine, "moving", "move "+in.Machine+" "+in.Pool, func(m *machine) { m.pool = in.Pool })
	case "/machine-upkeep":
		s.change(w, in.Machine, "upkeep", "upkeep "+in.Machine, func(*machine) {})
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *Site) listMachines(w http.ResponseWriter) {
	s.lock.Lock()
	defer s.lock.Unlock()
	rows := []any{}
	for id, m := range s.machines {
		row := map[string]any{
			"machine": id, "pool": m.pool, "state": m.state, "zone": "z1", "labels": []string{"a", "r1"}, "capacity": capacity, "id": "",
		}
		if worker := s.workers[id]; worker != nil {
			row["id"] = worker.ID
		}
		rows = append(rows, row)
	}
	answer(w, http.StatusOK, map[string]any{"machines": rows, "next_token": nil})
}

// change takes a machine down and lets it come back.
func (s *Site) change(w http.ResponseWriter, id, state, order string, apply func(*machine)) {
	s.lock.Lock()
	m := s.machines[id]
	if m == nil {
		s.lock.Unlock()
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if m.state != "up" {
		s.lock.Unlock()
		answer(w, http.StatusConflict, map[string]any{"reason": "busy"})
		return
	}
	m.state = state
	apply(m)
	worker := s.workers[id]
	delete(s.workers, id)
	s.orders = append(s.orders, order)
	s.lock.Unlock()
	if worker != nil {
		worker.stop()
		s.Store.Remove("servers/" + worker.ID)
	}
	time.AfterFunc(changeTime, func() { s.boot(id) })
	answer(w, http.StatusOK, map[string]any{})
}

func (s *Site) note(r *Run) {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.ledger = append(s.ledger, r)
}
