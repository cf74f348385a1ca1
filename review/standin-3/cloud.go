package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sort"
	"sync"
	"time"
)

const (
	cloudAnswerTime = 4 * time.Millisecond
	moveTime        = 1500 * time.Millisecond
)

// cloud is the service that lists the machines and moves them.
type cloud struct {
	site    *installation
	address string

	lock       sync.Mutex
	machines   map[string]*machine
	lastWorker int
	slowness   int // how many times as long an answer takes
	orders     []machineOrder
	onOrder    func(machineOrder) // called with each order
}

type machine struct {
	pool, state string
	worker      *worker
	capacity    amounts
}

// machineOrder is an order for a machine, in the order of arrival.
type machineOrder struct {
	machine, holder string
	fence           int64
	at              time.Time
}

func newCloud(s *installation) (*cloud, error) {
	c := &cloud{site: s, machines: make(map[string]*machine), slowness: 1}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	c.address = l.Addr().String()
	go func() { _ = http.Serve(l, c) }() //nolint:gosec // a stand-in
	return c, nil
}

// add adds a machine with its worker.
func (c *cloud) add(pool string, capacity amounts) (*worker, error) {
	c.lock.Lock()
	defer c.lock.Unlock()
	m := &machine{pool: pool, state: "up", capacity: capacity}
	c.machines[fmt.Sprintf("m-%03d", len(c.machines)+1)] = m
	return m.worker, c.startWorker(m)
}

// startWorker is called with the lock held.
func (c *cloud) startWorker(m *machine) (err error) {
	c.lastWorker++
	m.worker, err = newWorker(c.site, fmt.Sprintf("w-%d", c.lastWorker), m.pool, m.capacity)
	return err
}

func (c *cloud) setSlowness(times int) {
	c.lock.Lock()
	defer c.lock.Unlock()
	c.slowness = times
}

// ServeHTTP serves a call. An order is carried out when it arrives; a list is of the time of its answer.
func (c *cloud) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body := readBody(r)
	status, reason := 0, ""
	if r.Method == http.MethodPost {
		var in struct {
			Machine string `json:"machine"`
			Pool    string `json:"pool"`
		}
		_ = json.Unmarshal(body, &in)
		status, reason = c.move(in.Machine, in.Pool, r.Header.Get("Jaybarrow-Duty-Holder"), number(r.Header.Get("Jaybarrow-Fencing-Token")))
	}
	c.lock.Lock()
	takes := cloudAnswerTime * time.Duration(c.slowness)
	c.lock.Unlock()
	time.Sleep(takes)
	switch {
	case status != 0:
		answer(w, status, map[string]any{"reason": reason})
	case r.URL.Path == "/machines":
		answer(w, http.StatusOK, map[string]any{"machines": c.list(), "next_token": nil})
	default:
		answer(w, http.StatusNotFound, struct{}{})
	}
}

func (c *cloud) list() []any {
	c.lock.Lock()
	defer c.lock.Unlock()
	names := make([]string, 0, len(c.machines))
	for name := range c.machines {
		names = append(names, name)
	}
	sort.Strings(names)
	rows := []any{}
	for _, name := range names {
		m := c.machines[name]
		id := ""
		if m.worker != nil {
			id = m.worker.id
		}
		rows = append(rows, map[string]any{
			"machine": name, "pool": m.pool, "state": m.state, "zone": "north", "labels": []string{"a", "r1"}, "capacity": m.capacity, "id": id,
		})
	}
	return rows
}

func (c *cloud) move(name, to, holder string, fence int64) (status int, reason string) {
	o := machineOrder{name, holder, fence, time.Now()}
	c.lock.Lock()
	c.orders = append(c.orders, o)
	onOrder, m := c.onOrder, c.machines[name]
	var ends *worker
	switch {
	case m == nil:
		status = http.StatusBadRequest
	case m.pool == to:
		status = http.StatusOK
	case m.state != "up":
		status, reason = http.StatusConflict, "busy"
	default:
		status, ends = http.StatusOK, m.worker
		m.state, m.pool, m.worker = "moving", to, nil
		time.AfterFunc(moveTime, func() {
			c.lock.Lock()
			defer c.lock.Unlock()
			m.state = "up"
			_ = c.startWorker(m)
		})
	}
	c.lock.Unlock()
	c.site.note("order: %s to %s by %s, fence %d: %d %s", name, to, holder, fence, status, reason)
	if ends != nil {
		ends.leave()
	}
	if onOrder != nil {
		onOrder(o)
	}
	return status, reason
}

// lowerAfterHigher returns the orders that came after one with a higher fence for the same machine.
func (c *cloud) lowerAfterHigher() []machineOrder {
	c.lock.Lock()
	defer c.lock.Unlock()
	highest := make(map[string]int64)
	var out []machineOrder
	for _, o := range c.orders {
		if o.fence < highest[o.machine] {
			out = append(out, o)
		}
		highest[o.machine] = max(highest[o.machine], o.fence)
	}
	return out
}
