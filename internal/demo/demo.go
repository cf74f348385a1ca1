package demo

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"

	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/internal/command/request"
	"github.com/jaybarrow/jaybarrow/internal/entry"
	"github.com/jaybarrow/jaybarrow/internal/etcd"
	"github.com/jaybarrow/jaybarrow/internal/settings"
	"github.com/jaybarrow/jaybarrow/internal/standin/store"
	"github.com/jaybarrow/jaybarrow/internal/standin/worker"
)

// The access keys of the demo's two teams and of its operators.
const (
	TrailKey    = "demo-trail-key"
	ClubsKey    = "demo-clubs-key"
	OperatorKey = "demo-operator-key"
)

// Demo is a running demo.
type Demo struct {
	Callers  jaybarrow.Address // address of the entry host for callers and operators
	store    *store.Server
	platform *etcd.Client
	entry    *entry.Entry

	workers  []*worker.Server // in the order of hosts; a reboot replaces the host's worker
	hosts    []jaybarrow.Host
	group    conc.WaitGroup
	stop     chan struct{}
	stopOnce sync.Once
}

const (
	entryID          = jaybarrow.EntryID("entry-1")
	dataCentre       = jaybarrow.DataCentreID("demo")
	workerCount      = 4
	workerSlots      = 8
	teamLimit        = 16 // slots
	quickTarget      = 4 * time.Second
	slowTarget       = time.Hour
	freeLoopbackPort = "127.0.0.1:0"
)

// platformTiming sets the delays of the platform's stand-in.
var platformTiming = store.Timing{Lag: time.Second, Reboot: 2 * time.Second}

// New starts the demo and waits until its entry host is ready; callers is the address that the entry host listens on.
func New(ctx context.Context, log zerolog.Logger, callers string) (*Demo, error) {
	d := &Demo{stop: make(chan struct{})}
	if err := d.start(ctx, log, callers); err != nil {
		d.Close(ctx)
		return nil, err
	}
	return d, nil
}

func (d *Demo) start(ctx context.Context, log zerolog.Logger, callers string) error {
	var err error
	if d.store, err = store.NewLoopback(jaybarrow.SystemClock{}, platformTiming); err != nil {
		return fmt.Errorf("start the store: %w", err)
	}
	for i := range workerCount {
		host, err := d.startWorker(i)
		if err != nil {
			return err
		}
		if err := createRecord(ctx, d.store.Core(), jaybarrow.HostKey(host.ID), host); err != nil {
			return err
		}
	}
	if err := writeConfiguration(ctx, d.store.Core()); err != nil {
		return err
	}
	d.group.Go(d.rebootHosts)
	if err := d.startEntry(log, callers); err != nil {
		return err
	}
	return d.entry.AwaitReady(ctx)
}

func (d *Demo) startEntry(log zerolog.Logger, callers string) error {
	s := settings.Defaults()
	s.Entry.ID, s.Entry.DataCentre, s.Entry.OperatorKeyHash = entryID, dataCentre, request.HashKey(OperatorKey)
	callerListener, err := net.Listen("tcp", callers)
	if err != nil {
		return fmt.Errorf("listen for callers: %w", err)
	}
	peerListener, err := net.Listen("tcp", freeLoopbackPort)
	if err != nil {
		_ = callerListener.Close()
		return fmt.Errorf("listen for peers: %w", err)
	}
	d.Callers = jaybarrow.Address(callerListener.Addr().String())
	d.platform = etcd.New(entry.PlatformSettings(s, d.store.Address()))
	d.entry = entry.New(entry.Deps{
		Clock: jaybarrow.SystemClock{}, Log: log, Platform: d.platform, Settings: s,
		Callers: callerListener, Peers: peerListener, Times: entry.DefaultTimes(),
	})
	return nil
}

// Close stops the demo and waits until all its parts have stopped.
func (d *Demo) Close(ctx context.Context) {
	if d.entry != nil {
		_ = d.entry.Close(ctx)
		d.platform.Close()
	}
	d.stopOnce.Do(func() { close(d.stop) })
	d.group.Wait()
	for _, w := range d.workers {
		w.Close()
	}
	if d.store != nil {
		d.store.Close()
	}
}

func (d *Demo) startWorker(i int) (jaybarrow.Host, error) {
	listener, err := net.Listen("tcp", freeLoopbackPort)
	if err != nil {
		return jaybarrow.Host{}, fmt.Errorf("listen for a worker: %w", err)
	}
	host := jaybarrow.Host{
		ID:         jaybarrow.HostID(fmt.Sprintf("host-%d", i+1)),
		Pool:       []jaybarrow.PoolID{"desk", "batch"}[i%2],
		DataCentre: dataCentre,
		Rack:       "rack-1",
		Address:    jaybarrow.Address(listener.Addr().String()),
		Capacity:   jaybarrow.Demand{Slots: workerSlots, Memory: 128000},
	}
	w := worker.New(jaybarrow.SystemClock{}, host.ID, host.Capacity)
	d.workers, d.hosts = append(d.workers, worker.NewServer(w, listener)), append(d.hosts, host)
	return host, nil
}

// rebootPollInterval is the interval between two checks for requested reboots.
const rebootPollInterval = 200 * time.Millisecond

// rebootHosts stands in for the platform: it restarts the worker of each host for which a reboot was requested.
func (d *Demo) rebootHosts() {
	handled := 0
	for {
		select {
		case <-d.stop:
			return
		case <-time.After(rebootPollInterval):
		}
		requested := d.store.Hosts().Reboots()
		for _, r := range requested[handled:] {
			d.restartWorker(r.Host)
		}
		handled = len(requested)
	}
}

func (d *Demo) restartWorker(id jaybarrow.HostID) {
	i := slices.IndexFunc(d.hosts, func(h jaybarrow.Host) bool { return h.ID == id })
	if i < 0 {
		return
	}
	d.workers[i].Close()
	listener, err := net.Listen("tcp", string(d.hosts[i].Address))
	if err != nil {
		return // the host stays down, like a host that does not come up after a reboot
	}
	d.workers[i] = worker.NewServer(worker.New(jaybarrow.SystemClock{}, id, d.hosts[i].Capacity), listener)
}

// writeConfiguration creates the pools, queues, teams, access keys and limits of the demo.
func writeConfiguration(ctx context.Context, s jaybarrow.Store) error {
	records := []struct {
		key   jaybarrow.Key
		value any
	}{
		{jaybarrow.PoolKey("desk"), jaybarrow.Pool{ID: "desk", MaxUnavailable: 1}},
		{jaybarrow.PoolKey("batch"), jaybarrow.Pool{ID: "batch", MaxUnavailable: 1}},
		{jaybarrow.QueueKey("match"), jaybarrow.Queue{ID: "match", Pool: "desk", Class: jaybarrow.ClassQuick, TargetMs: quickTarget.Milliseconds()}},
		{jaybarrow.QueueKey("render"), jaybarrow.Queue{ID: "render", Pool: "batch", Class: jaybarrow.ClassSlow, TargetMs: slowTarget.Milliseconds()}},
		{jaybarrow.TeamKey("trail"), jaybarrow.Team{ID: "trail", Share: 2}},
		{jaybarrow.TeamKey("clubs"), jaybarrow.Team{ID: "clubs", Share: 1}},
		{jaybarrow.AccessKeyKey(request.HashKey(TrailKey)), jaybarrow.AccessKey{Hash: request.HashKey(TrailKey), Team: "trail"}},
		{jaybarrow.AccessKeyKey(request.HashKey(ClubsKey)), jaybarrow.AccessKey{Hash: request.HashKey(ClubsKey), Team: "clubs"}},
		{jaybarrow.AllotmentKey("trail"), allotment("trail")},
		{jaybarrow.AllotmentKey("clubs"), allotment("clubs")},
	}
	for _, r := range records {
		if err := createRecord(ctx, s, r.key, r.value); err != nil {
			return err
		}
	}
	return nil
}

func allotment(team jaybarrow.TeamID) jaybarrow.Allotment {
	return jaybarrow.Allotment{Team: team, Limit: teamLimit}
}

// createRecord writes a record that must not exist yet.
func createRecord(ctx context.Context, s jaybarrow.Store, key jaybarrow.Key, value any) error {
	data, err := json.Marshal(value)
	if err != nil {
		return fmt.Errorf("encode %s: %w", key, err)
	}
	if _, err := s.CompareAndSwap(ctx, key, 0, data, 0); err != nil {
		return fmt.Errorf("write %s: %w", key, err)
	}
	return nil
}
