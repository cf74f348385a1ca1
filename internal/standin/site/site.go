package site

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Settings are the initial pools and manifest of a Site.
type Settings struct {
	Pools   map[string]int // workers by pool
	Spare   string         // the pool whose machines run no worker, or empty
	Zones   []string       // of the machines, in turn; empty: all in z1
	Queues  []Queue
	Tenants []Tenant
	Limits  map[string]int // the limits of the manifest that callers keep, or nil for a manifest without them
	// LeaderKey is the key of the leader's record in the store; each order for a machine notes the record's revision when it arrives.
	LeaderKey string
}

// Queue is a route of the manifest.
type Queue struct {
	Name, Host, Prefix, Pool string
	Open                     bool // written as public
	MaxAttempts              int
}

// Tenant is a tenant of the manifest.
type Tenant struct {
	Name string
	Keys []string
	CPU  int64 // limit in thousandths of a core, or 0 without a limit
}

// Site is a running platform: a store and machines with workers.
type Site struct {
	Store *Store

	settings      Settings
	storeServer   *server
	machineServer *server

	lock            sync.Mutex
	manifestVersion int
	lastID          int                // of a machine or worker
	workers         map[string]*Worker // by machine
	machines        map[string]*machine
	ledger          []*Run
	orders          []string // accepted orders for machines
	arrivals        []OrderArrival
	answerTime      time.Duration // of the machine endpoints
}

// OrderArrival is an order for a machine as it arrived, whether it was accepted or not.
type OrderArrival struct {
	Machine string
	Fence   int64
	Leader  int64 // revision of the leader's record in the store when the order arrived; 0 when there was none
}

// machine is up, or down in the state "moving" or "upkeep".
type machine struct{ pool, state, zone string }

// machineDowntime is how long a machine is down for a move or for maintenance.
const machineDowntime = 100 * time.Millisecond

// New returns a running Site whose store holds the first manifest.
func New(s Settings) *Site {
	site := &Site{Store: newStore(), settings: s, workers: make(map[string]*Worker), machines: make(map[string]*machine)}
	site.storeServer = newServer(site.Store)
	site.machineServer = newServer(http.HandlerFunc(site.serveMachines))
	site.PutManifest(s.Queues, s.Tenants)
	for pool, n := range s.Pools {
		for range n {
			site.addMachine(pool)
		}
	}
	return site
}

// Close stops the workers and the servers.
func (s *Site) Close() {
	s.lock.Lock()
	workers := s.workers
	s.workers = nil
	s.lock.Unlock()
	for _, w := range workers {
		w.stop()
	}
	close(s.Store.stop)
	s.storeServer.close()
	s.machineServer.close()
}

// StoreAddress returns the address of the store.
func (s *Site) StoreAddress() string { return s.storeServer.address }

// SetStoreDown begins or ends an outage of the store: while it lasts, its connections are reset.
func (s *Site) SetStoreDown(down bool) { s.storeServer.listener.setDown(down) }

// FleetAddress returns the address of the machine endpoints.
func (s *Site) FleetAddress() string { return s.machineServer.address }

// PutManifest writes the next version of the manifest.
func (s *Site) PutManifest(queues []Queue, tenants []Tenant) {
	s.lock.Lock()
	s.manifestVersion++
	manifestVersion := s.manifestVersion
	s.lock.Unlock()
	routes, services, tenantEntries := []any{}, []any{}, []any{}
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
		tenantEntries = append(tenantEntries, map[string]any{"name": t.Name, "api_keys": t.Keys, "weight": 10, "cap": map[string]any{"cpu": t.CPU}})
	}
	manifest := map[string]any{"version": manifestVersion, "routes": routes, "services": services, "tenants": tenantEntries}
	if s.settings.Limits != nil {
		manifest["limits"] = s.settings.Limits
	}
	s.Store.Put("op/config", manifest)
}

func (s *Site) addMachine(pool string) {
	s.lock.Lock()
	s.lastID++
	id := fmt.Sprintf("m-%d", s.lastID)
	s.machines[id] = &machine{pool: pool, state: "up", zone: s.nextZone()}
	s.lock.Unlock()
	s.startWorker(id)
}

// nextZone returns the zone of the next machine. The lock is held.
func (s *Site) nextZone() string {
	if len(s.settings.Zones) == 0 {
		return "z1"
	}
	return s.settings.Zones[len(s.machines)%len(s.settings.Zones)]
}

// startWorker marks the machine as up and starts a worker on it, unless its pool is the spare pool or the site is closed.
func (s *Site) startWorker(id string) {
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
	s.lastID++
	w := newWorker(s, fmt.Sprintf("i-%d", s.lastID), m.pool, id, m.zone)
	s.workers[id] = w
	s.lock.Unlock()
	w.register()
}

// Workers returns the running workers.
func (s *Site) Workers() []*Worker {
	s.lock.Lock()
	defer s.lock.Unlock()
	var out []*Worker
	for _, w := range s.workers {
		out = append(out, w)
	}
	return out
}

// Crash stops a worker without removing its entry from the register.
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

// Orders returns the accepted orders for machines, oldest first.
func (s *Site) Orders() []string {
	s.lock.Lock()
	defer s.lock.Unlock()
	return append([]string(nil), s.orders...)
}

// Arrivals returns all orders for machines, oldest first.
func (s *Site) Arrivals() []OrderArrival {
	s.lock.Lock()
	defer s.lock.Unlock()
	return append([]OrderArrival(nil), s.arrivals...)
}

// SetMachineAnswerTime sets how long the machine endpoints take for an answer. Orders are carried out when they arrive, and a list is of the
// time of its answer.
func (s *Site) SetMachineAnswerTime(d time.Duration) {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.answerTime = d
}

// answerSlowly waits for the answer time of the machine endpoints.
func (s *Site) answerSlowly() {
	s.lock.Lock()
	d := s.answerTime
	s.lock.Unlock()
	time.Sleep(d)
}

// recordArrival records an order for a machine.
func (s *Site) recordArrival(machine string, r *http.Request) {
	fence, err := strconv.ParseInt(r.Header.Get("Jaybarrow-Fencing-Token"), 10, 64)
	if err != nil {
		fence = -1 // no leader's
	}
	leader := s.Store.revision(s.settings.LeaderKey)
	s.lock.Lock()
	defer s.lock.Unlock()
	s.arrivals = append(s.arrivals, OrderArrival{Machine: machine, Fence: fence, Leader: leader})
}

func (s *Site) serveMachines(w http.ResponseWriter, r *http.Request) {
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
		s.recordArrival(in.Machine, r)
	}
	switch r.URL.Path {
	case "/machines":
		s.answerSlowly()
		s.listMachines(w)
	case "/machine-move":
		s.changeMachine(w, in.Machine, "moving", "move "+in.Machine+" "+in.Pool, func(m *machine) { m.pool = in.Pool })
	case "/machine-upkeep":
		s.changeMachine(w, in.Machine, "upkeep", "upkeep "+in.Machine, func(*machine) {})
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
			"machine": id, "pool": m.pool, "state": m.state, "zone": m.zone, "labels": []string{"a", "r1"}, "capacity": capacity, "id": "",
		}
		if worker := s.workers[id]; worker != nil {
			row["id"] = worker.ID
		}
		rows = append(rows, row)
	}
	writeJSON(w, http.StatusOK, map[string]any{"machines": rows, "next_token": nil})
}

// changeMachine applies the order to a machine: it stops the worker at once and starts a new one after machineDowntime. It
// answers "busy" while the machine is not up.
func (s *Site) changeMachine(w http.ResponseWriter, id, state, order string, update func(*machine)) {
	s.lock.Lock()
	m := s.machines[id]
	if m == nil {
		s.lock.Unlock()
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if m.state != "up" {
		s.lock.Unlock()
		s.answerSlowly()
		writeJSON(w, http.StatusConflict, map[string]any{"reason": "busy"})
		return
	}
	m.state = state
	update(m)
	worker := s.workers[id]
	delete(s.workers, id)
	s.orders = append(s.orders, order)
	s.lock.Unlock()
	if worker != nil {
		worker.stop()
		s.Store.Remove("servers/" + worker.ID)
	}
	time.AfterFunc(machineDowntime, func() { s.startWorker(id) })
	s.answerSlowly()
	writeJSON(w, http.StatusOK, map[string]any{})
}

func (s *Site) recordRun(r *Run) {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.ledger = append(s.ledger, r)
}
