package faultproxy

import (
	"encoding/json"
	"net"
	"net/http"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/jaybarrow/jaybarrow"
)

// Control serves the control endpoints of a Proxy over HTTP.
type Control struct {
	proxy    *Proxy
	listener net.Listener
	server   *http.Server
	group    conc.WaitGroup
}

// Counts are the numbers of connections.
type Counts struct {
	Open     int `json:"open"`
	Accepted int `json:"accepted"`
}

// NewControl returns a running Control on the listener.
func NewControl(proxy *Proxy, listener net.Listener) *Control {
	c := &Control{proxy: proxy, listener: listener}
	routes := http.NewServeMux()
	routes.HandleFunc("GET /control/faults", func(w http.ResponseWriter, _ *http.Request) { _ = json.NewEncoder(w).Encode(proxy.Faults()) })
	routes.HandleFunc("PUT /control/faults", c.putFaults)
	routes.HandleFunc("POST /control/cut", c.cut)
	routes.HandleFunc("POST /control/freezeOpen", c.freezeOpen)
	routes.HandleFunc("GET /control/connections", func(w http.ResponseWriter, _ *http.Request) {
		open, accepted := proxy.Connections()
		_ = json.NewEncoder(w).Encode(Counts{open, accepted})
	})
	c.server = &http.Server{Handler: routes, ReadHeaderTimeout: 10 * time.Second}
	c.group.Go(func() { _ = c.server.Serve(listener) })
	return c
}

// Address returns the address of the control endpoints.
func (c *Control) Address() jaybarrow.Address { return jaybarrow.Address(c.listener.Addr().String()) }

// Close stops the server.
func (c *Control) Close() {
	_ = c.server.Close()
	c.group.Wait()
}

func (c *Control) putFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if err := c.proxy.Set(f); err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
	}
}

// cut closes the open connections, or ends only the direction that ?direction= names.
func (c *Control) cut(w http.ResponseWriter, r *http.Request) {
	directions, ok := directions(w, r)
	switch {
	case !ok:
	case len(directions) == 1:
		c.proxy.CutDirection(directions[0])
	default:
		c.proxy.Cut()
	}
}

// freezeOpen freezes the open connections in both directions, or only in the direction that ?direction= names.
func (c *Control) freezeOpen(w http.ResponseWriter, r *http.Request) {
	list, _ := directions(w, r)
	for _, d := range list {
		c.proxy.FreezeOpen(d)
	}
}

// directions returns the direction that the request names, or both when it names none. For an unknown name it answers with
// status 400 and returns false.
func directions(w http.ResponseWriter, r *http.Request) ([]Direction, bool) {
	switch d := Direction(r.FormValue("direction")); d {
	case "":
		return []Direction{Up, Down}, true
	case Up, Down:
		return []Direction{d}, true
	}
	http.Error(w, "direction must be up, down or absent", http.StatusBadRequest)
	return nil, false
}
