package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"
)

// machine is a machine of the platform.
type machine struct {
	id     string
	pool   string
	state  string // up, moving or upkeep
	worker *worker
	lives  int
	upkept map[int64]bool // waves in which it had its upkeep
}

// cloud stands in for the service that lists the machines and takes orders for them.
type cloud struct {
	*server
	log    *journal
	floor  *floor
	upkeep time.Duration
	move   time.Duration

	lock     sync.Mutex
	machines []*machine
	begun    []upkeepBegin
}

// upkeepBegin is the begin of an upkeep.
type upkeepBegin struct {
	at      time.Time
	machine string
	wave    int64
	down    int // other machines that were down for an upkeep
}

func newCloud(log *journal, f *floor, upkeep, move time.Duration) (*cloud, error) {
	c := &cloud{log: log, floor: f, upkeep: upkeep, move: move}
	var err error
	c.server, err = newServer(c)
	return c, err
}

// add adds a machine with its worker.
func (c *cloud) add(id, pool string, cpu int64) (*worker, error) {
	m := &machine{id: id, pool: pool, state: "up", upkept: make(map[int64]bool)}
	w, err := c.floor.newWorker(fmt.Sprintf("i-%s-%d", id, m.lives), id, pool, cpu)
	if err != nil {
		return nil, err
	}
	m.worker = w
	c.lock.Lock()
	defer c.lock.Unlock()
	c.machines = append(c.machines, m)
	return w, nil
}

// ServeHTTP serves one call.
func (c *cloud) ServeHTTP(out http.ResponseWriter, r *http.Request) {
	time.Sleep(storeLatency)
	c.lock.Lock()
	defer c.lock.Unlock()
	switch r.URL.Path {
	case "/machines":
		rows := []any{}
		for _, m := range c.machines {
			id := m.worker.id
			if m.state != "up" {
				id = ""
			}
			rows = append(rows, map[string]any{
				"machine": m.id, "pool": m.pool, "state": m.state, "zone": "z1", "labels": []string{"a", "r1-1"}, "capacity": m.worker.capacity(), "id": id,
			})
		}
		writeJSON(out, http.StatusOK, map[string]any{"machines": rows, "next_token": nil})
	case "/machine-move", "/machine-upkeep":
		c.order(out, r)
	default:
		out.WriteHeader(http.StatusNotFound)
	}
}

// order answers an order for a machine. The lock is held.
func (c *cloud) order(out http.ResponseWriter, r *http.Request) {
	var in struct {
		Machine string `json:"machine"`
		Pool    string `json:"pool"`
		Wave    int64  `json:"wave"`
	}
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
		out.WriteHeader(http.StatusBadRequest)
		return
	}
	holder, fence := r.Header.Get("Jaybarrow-Duty-Holder"), r.Header.Get("Jaybarrow-Fencing-Token")
	for _, m := range c.machines {
		if m.id != in.Machine {
			continue
		}
		isMove := r.URL.Path == "/machine-move"
		switch {
		case isMove && m.pool == in.Pool || !isMove && m.upkept[in.Wave]:
			writeJSON(out, http.StatusOK, map[string]any{})
		case m.state != "up":
			writeJSON(out, http.StatusConflict, map[string]any{"reason": "busy"})
		case isMove:
			m.pool = in.Pool
			c.takeDown(m, "moving", c.move)
			writeJSON(out, http.StatusOK, map[string]any{})
		default:
			down := 0
			for _, other := range c.machines {
				if other.state == "upkeep" {
					down++
				}
			}
			m.upkept[in.Wave] = true
			c.begun = append(c.begun, upkeepBegin{time.Now(), m.id, in.Wave, down})
			c.log.print("upkeep    %s of wave %d begins, ordered by %s with fence %s; %d others are down for theirs", m.id, in.Wave, holder, fence, down)
			c.takeDown(m, "upkeep", c.upkeep)
			writeJSON(out, http.StatusOK, map[string]any{})
		}
		return
	}
	out.WriteHeader(http.StatusBadRequest)
}

// takeDown ends the machine's worker; a new one joins the pool after the time. The lock is held.
func (c *cloud) takeDown(m *machine, state string, lasts time.Duration) {
	m.state = state
	old := m.worker
	c.floor.lock.Lock()
	old.gone = true
	old.running = make(map[string]*unitRun)
	c.floor.lock.Unlock()
	time.AfterFunc(lasts, func() {
		c.lock.Lock()
		defer c.lock.Unlock()
		m.lives++
		w, err := c.floor.newWorker(fmt.Sprintf("i-%s-%d", m.id, m.lives), m.id, m.pool, old.cpu)
		if err != nil {
			c.log.print("no worker on %s: %v", m.id, err)
			return
		}
		m.worker, m.state = w, "up"
		c.log.print("machine   %s is up again", m.id)
	})
}

// begins returns the upkeeps that have begun.
func (c *cloud) begins() []upkeepBegin {
	c.lock.Lock()
	defer c.lock.Unlock()
	return append([]upkeepBegin(nil), c.begun...)
}
