package e2e

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/internal/command/request"
	"github.com/jaybarrow/jaybarrow/internal/standin/faultproxy"
	"github.com/jaybarrow/jaybarrow/internal/standin/store"
	"github.com/jaybarrow/jaybarrow/internal/standin/worker"
	"github.com/jaybarrow/jaybarrow/pkg/client"
)

const operatorKey = "operator-key-of-the-tests"

// waitTimeout bounds every wait of a test. It is long, so that a test fails only on a condition that never holds, not on a
// slow machine.
const waitTimeout = 60 * time.Second

// plan describes the cluster that a test needs.
type plan struct {
	dataCentres       int
	entriesPerDC      int
	workersPerPool    int // workers of each pool in each data centre that has workers
	workerDataCentres int // number of data centres with workers, counted from the first; 0 means all
	pools             []jaybarrow.PoolID
	teams             map[jaybarrow.TeamID]jaybarrow.Slots // limit of each team
	queues            []jaybarrow.Queue
	budget            int    // MaxUnavailable of every pool; 0 means 1
	extraSettings     string // INI text appended to the settings of every entry host
}

// cluster is a running system of a store, workers and entry hosts, each in its own process. Connections from an entry host to
// the store, to workers and to peers in other data centres go through proxies.
type cluster struct {
	t            *testing.T
	plan         plan
	store        *process
	storeControl jaybarrow.Address // control interface of the store's stand-in
	entries      []*entryHost
	workers      []*workerHost
	storeProxies map[jaybarrow.DataCentreID]*faultproxy.Proxy
	// peerProxies is keyed by the dialling data centre and then by the dialled entry host.
	peerProxies map[jaybarrow.DataCentreID]map[jaybarrow.EntryID]*faultproxy.Proxy
	keys        map[jaybarrow.TeamID]string // secret of each team's first key
	// callers is the HTTP client of all callers; it keeps enough idle connections for many concurrent ones.
	callers *http.Client
}

type entryHost struct {
	*process
	id         jaybarrow.EntryID
	dataCentre jaybarrow.DataCentreID
	callers    jaybarrow.Address // listen address for callers
	peers      jaybarrow.Address // listen address for peers
	settings   string            // path of the settings file
	faultMu    sync.Mutex        // held while an injected fault kills or pauses the process
}

type workerHost struct {
	sync.Mutex // guards process, stopped and earlierEntries, which a restart changes
	*process
	stopped        bool
	earlierEntries []worker.Entry // ledger entries of earlier processes
	host           jaybarrow.Host
	directAddress  jaybarrow.Address // bypasses the proxy
	proxy          *faultproxy.Proxy
}

func dataCentre(i int) jaybarrow.DataCentreID {
	return jaybarrow.DataCentreID(fmt.Sprintf("dc%d", i+1))
}

// newCluster starts a cluster and waits until every entry host is ready and the configuration is in force.
func newCluster(t *testing.T, p plan) *cluster {
	t.Helper()
	c := &cluster{
		t: t, plan: p, storeProxies: make(map[jaybarrow.DataCentreID]*faultproxy.Proxy),
		peerProxies: make(map[jaybarrow.DataCentreID]map[jaybarrow.EntryID]*faultproxy.Proxy), keys: make(map[jaybarrow.TeamID]string),
		callers: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}},
	}
	t.Cleanup(c.callers.CloseIdleConnections)
	process, addresses := startStandin(t, "store", "-listen", string(freeAddress(t)), "-lag", "500ms", "-reboot", "1s")
	c.store, c.storeControl = process, addresses.Control
	for i := range p.dataCentres {
		c.storeProxies[dataCentre(i)] = c.proxy(addresses.Listen)
		c.peerProxies[dataCentre(i)] = make(map[jaybarrow.EntryID]*faultproxy.Proxy)
	}
	c.prepareEntries()
	for _, e := range c.entries {
		c.startEntry(e)
	}
	c.awaitAllReady()
	c.configure()
	return c
}

// proxy starts a proxy to the target that is closed when the test ends.
func (c *cluster) proxy(target jaybarrow.Address) *faultproxy.Proxy {
	l, err := net.Listen("tcp", string(freeAddress(c.t))) // a reserved port, because the proxy listens on it again after Refuse
	assert.NilError(c.t, err)
	p := faultproxy.New(jaybarrow.SystemClock{}, l, target)
	c.t.Cleanup(p.Close)
	return p
}

// prepareEntries assigns the addresses of the entry hosts, starts the proxies between data centres and writes the settings
// files.
func (c *cluster) prepareEntries() {
	for i := range c.plan.dataCentres {
		for j := range c.plan.entriesPerDC {
			c.entries = append(c.entries, &entryHost{
				id: jaybarrow.EntryID(fmt.Sprintf("entry-%d-%d", i+1, j+1)), dataCentre: dataCentre(i),
				callers: freeAddress(c.t), peers: freeAddress(c.t),
			})
		}
	}
	for dc, peerProxies := range c.peerProxies {
		for _, e := range c.entries {
			if e.dataCentre != dc {
				peerProxies[e.id] = c.proxy(e.peers)
			}
		}
	}
	for _, e := range c.entries {
		e.settings = filepath.Join(c.t.TempDir(), string(e.id)+".ini")
		assert.NilError(c.t, os.WriteFile(e.settings, []byte(c.settings(e)), 0o600))
	}
}

// settings returns the INI text of the entry host's settings file.
func (c *cluster) settings(e *entryHost) string {
	var b strings.Builder
	fmt.Fprintf(&b, "[entry]\nid = %s\ndataCentre = %s\ncallerAddress = %s\npeerAddress = %s\noperatorKeyHash = %s\nlogLevel = info\n",
		e.id, e.dataCentre, e.callers, e.peers, request.HashKey(operatorKey))
	fmt.Fprintf(&b, "[platform]\nstoreAddress = %s\n[peers]\n", c.storeProxies[e.dataCentre].Address())
	for _, other := range c.entries {
		address := other.peers
		if proxy, ok := c.peerProxies[e.dataCentre][other.id]; ok {
			address = proxy.Address()
		}
		if other.id != e.id {
			fmt.Fprintf(&b, "%s = %s@%s\n", other.id, other.dataCentre, address)
		}
	}
	// Tests send many non-idempotent requests at once, and the store's stand-in accepts more writes than the platform's store.
	fmt.Fprint(&b, "[claims]\nperSecond = 1000\n")
	return b.String() + c.plan.extraSettings
}

func (c *cluster) startEntry(e *entryHost) {
	e.process = start(c.t, "jaybarrow", nil, "serve", "-settings", e.settings)
}

func (c *cluster) awaitAllReady() {
	c.t.Helper()
	for _, e := range c.entries {
		c.awaitEntryReady(e)
	}
}

func (c *cluster) awaitEntryReady(e *entryHost) {
	c.t.Helper()
	poll.WaitOn(c.t, func(poll.LogT) poll.Result {
		response, err := http.Get("http://" + string(e.callers) + "/healthz")
		if err != nil {
			return poll.Continue("%s: %v; log:\n%s", e.id, err, e.log())
		}
		_ = response.Body.Close()
		if response.StatusCode != http.StatusOK {
			return poll.Continue("%s: status %d", e.id, response.StatusCode)
		}
		return poll.Success()
	}, poll.WithTimeout(waitTimeout))
}

// operator returns a client of the entry host with the operator's key.
func (c *cluster) operator(e *entryHost) *client.Client {
	c.t.Helper()
	return client.New(http.DefaultClient, e.callers, operatorKey)
}

// configure creates pools, hosts, queues, teams and keys as an operator, starts the workers, and waits until the configuration
// is in force on every entry host.
func (c *cluster) configure() {
	c.t.Helper()
	ctx, o := context.Background(), c.operator(c.entries[0])
	last := jaybarrow.Revision(0)
	for _, id := range c.plan.pools {
		_, err := o.PutPool(ctx, jaybarrow.Pool{ID: id, MaxUnavailable: max(1, c.plan.budget)}, 0)
		assert.NilError(c.t, err)
		for i := range c.plan.dataCentres {
			if c.plan.workerDataCentres > 0 && i >= c.plan.workerDataCentres {
				break
			}
			for range c.plan.workersPerPool {
				c.startWorker(o, id, dataCentre(i))
			}
		}
	}
	for _, q := range c.plan.queues {
		_, err := o.PutQueue(ctx, q, 0)
		assert.NilError(c.t, err)
	}
	for id, limit := range c.plan.teams {
		_, err := o.PutTeam(ctx, jaybarrow.Team{ID: id, Share: 1}, limit, 0)
		assert.NilError(c.t, err)
		key, err := o.AddKey(ctx, id)
		assert.NilError(c.t, err)
		c.keys[id], last = key.Secret, key.Revision
	}
	c.awaitInForce(o, last)
}

// awaitInForce waits until the status reports the revision in force.
func (c *cluster) awaitInForce(o *client.Client, revision jaybarrow.Revision) {
	c.t.Helper()
	poll.WaitOn(c.t, func(poll.LogT) poll.Result {
		s, err := o.Status(context.Background(), revision)
		if err != nil || !s.InForce {
			return poll.Continue("%+v %v", s, err)
		}
		return poll.Success()
	}, poll.WithTimeout(waitTimeout))
}

const (
	workerSlots = 8
	rackHosts   = 4
)

// startWorker starts a worker behind a proxy and adds its host to the pool.
func (c *cluster) startWorker(o *client.Client, pool jaybarrow.PoolID, dc jaybarrow.DataCentreID) *workerHost {
	c.t.Helper()
	n := len(c.workers)
	id := jaybarrow.HostID(fmt.Sprintf("host-%d", n+1))
	process, addresses := startStandin(c.t, "worker", "-listen", string(freeAddress(c.t)), "-id", string(id), "-slots", fmt.Sprint(workerSlots))
	w := &workerHost{process: process, directAddress: addresses.Listen, proxy: c.proxy(addresses.Listen)}
	w.host = jaybarrow.Host{
		ID: id, Pool: pool, DataCentre: dc, Rack: jaybarrow.RackID(fmt.Sprintf("%s-rack-%d", dc, n/rackHosts)),
		Address: w.proxy.Address(), Connections: 64, Capacity: jaybarrow.Demand{Slots: workerSlots, Memory: 128000},
	}
	_, err := o.PutHost(context.Background(), w.host, 0)
	assert.NilError(c.t, err)
	c.workers = append(c.workers, w)
	return w
}

// faults replaces the faults that the store's stand-in injects.
func (c *cluster) faults(f store.Faults) {
	c.t.Helper()
	c.putJSON("http://"+string(c.storeControl)+"/control/faults", f)
}

// condition sets the condition that the platform's host list reports for a host or entry host.
func (c *cluster) condition(name string, condition jaybarrow.HostCondition) {
	c.t.Helper()
	c.putJSON("http://"+string(c.storeControl)+"/control/hosts/"+name, map[string]jaybarrow.HostCondition{"condition": condition})
}

func (c *cluster) putJSON(url string, value any) {
	c.t.Helper()
	data, err := json.Marshal(value)
	assert.NilError(c.t, err)
	r, err := http.NewRequest(http.MethodPut, url, bytes.NewReader(data))
	assert.NilError(c.t, err)
	response, err := http.DefaultClient.Do(r)
	assert.NilError(c.t, err)
	_ = response.Body.Close()
	assert.Assert(c.t, response.StatusCode < 300, "%s: status %d", url, response.StatusCode)
}

// setIsolated starts or ends a network partition between the data centre and both the store and the other data centres.
func (c *cluster) setIsolated(dc jaybarrow.DataCentreID, isolated bool) {
	c.t.Helper()
	faults := faultproxy.Faults{Refuse: isolated}
	proxies := []*faultproxy.Proxy{c.storeProxies[dc]}
	for from, peerProxies := range c.peerProxies {
		for to, proxy := range peerProxies {
			if from == dc || c.entry(to).dataCentre == dc {
				proxies = append(proxies, proxy)
			}
		}
	}
	for _, p := range proxies {
		assert.NilError(c.t, p.Set(faults))
		if isolated {
			p.Cut()
		}
	}
}

func (c *cluster) entry(id jaybarrow.EntryID) *entryHost {
	for _, e := range c.entries {
		if e.id == id {
			return e
		}
	}
	c.t.Fatalf("no entry host %s", id)
	return nil
}

// ledgers returns the ledgers of all workers, including those of earlier processes.
func (c *cluster) ledgers() map[jaybarrow.HostID][]worker.Entry {
	c.t.Helper()
	all := make(map[jaybarrow.HostID][]worker.Entry)
	for _, w := range c.workers {
		w.Lock()
		all[w.host.ID] = append([]worker.Entry(nil), w.earlierEntries...)
		if !w.stopped {
			all[w.host.ID] = append(all[w.host.ID], w.ledger()...)
		}
		w.Unlock()
	}
	return all
}
