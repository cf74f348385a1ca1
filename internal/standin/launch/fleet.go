package launch

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/internal/command/request"
	"github.com/jaybarrow/jaybarrow/pkg/client"
)

// operatorKey is the operator key of a started fleet.
const operatorKey = "operator-key-of-the-load-test"

// Plan is the size of a fleet and where its programs and files are.
type Plan struct {
	ProgramDir  string // directory of the built programs
	SettingsDir string // directory for settings files
	Log         io.Writer
	DataCentres int
	Entries     int // entry hosts, spread over the data centres
	Workers     int // worker processes, spread over data centres and pools
	Records     int // additional host records without a worker process
	Pools       int
	Teams       int
	Limit       jaybarrow.Slots // of each team
}

// Entry is a started entry host.
type Entry struct {
	*Process
	ID      jaybarrow.EntryID
	Callers jaybarrow.Address // address for callers
	peers   jaybarrow.Address // address for other entry hosts
}

// Fleet is a started fleet.
type Fleet struct {
	Store   *Process
	Control jaybarrow.Address // control address of the store
	Entries []Entry
	Workers []jaybarrow.Host
	Keys    []string   // secrets of the team keys
	started []*Process // all processes, for Close
}

// New starts a fleet and blocks until its configuration is in force on every entry host.
func New(plan Plan) (*Fleet, error) {
	f := &Fleet{}
	if err := f.start(plan); err != nil {
		f.Close()
		return nil, err
	}
	return f, nil
}

// Close kills every process of the fleet.
func (f *Fleet) Close() {
	for _, p := range f.started {
		p.Kill()
	}
}

func dataCentre(i int) jaybarrow.DataCentreID { return jaybarrow.DataCentreID(fmt.Sprintf("dc%d", i)) }

// PoolID returns the id of the i-th pool.
func PoolID(i int) jaybarrow.PoolID { return jaybarrow.PoolID(fmt.Sprintf("pool%d", i)) }

// QueueID returns the id of the queue of the i-th pool.
func QueueID(i int) jaybarrow.QueueID { return jaybarrow.QueueID(fmt.Sprintf("queue%d", i)) }

func (f *Fleet) start(plan Plan) error {
	store, addresses, err := StartStandin(plan.ProgramDir, plan.Log, "store")
	if err != nil {
		return err
	}
	f.Store, f.Control, f.started = store, addresses.Control, append(f.started, store)
	addressPrefix := randomAddressPrefix()
	for i := range plan.Entries {
		f.Entries = append(f.Entries, Entry{
			ID:      jaybarrow.EntryID(fmt.Sprintf("entry%d", i)),
			Callers: jaybarrow.Address(fmt.Sprintf("%s.%d.1:%d", addressPrefix, i, callersPort)),
			peers:   jaybarrow.Address(fmt.Sprintf("%s.%d.1:%d", addressPrefix, i, peersPort)),
		})
	}
	for i := range f.Entries {
		if err := f.startEntry(plan, i, addresses.Listen); err != nil {
			return err
		}
	}
	return f.configure(plan)
}

// The ports of every entry host. Each entry host has its own loopback address, because a port of the ephemeral range could
// be taken by a connection of another process before the entry host listens on it.
const (
	callersPort = 8080
	peersPort   = 8081
)

// randomAddressPrefix returns random first two numbers for the loopback addresses of a fleet.
func randomAddressPrefix() string { return fmt.Sprintf("127.%d", 2+rand.IntN(200)) }

func (f *Fleet) startEntry(plan Plan, i int, store jaybarrow.Address) error {
	e := &f.Entries[i]
	var b strings.Builder
	fmt.Fprintf(&b, "[entry]\nid = %s\ndataCentre = %s\ncallerAddress = %s\npeerAddress = %s\noperatorKeyHash = %s\nlogLevel = warn\n",
		e.ID, dataCentre(i%plan.DataCentres), e.Callers, e.peers, request.HashKey(operatorKey))
	fmt.Fprintf(&b, "[platform]\nstoreAddress = %s\n[peers]\n", store)
	for j, other := range f.Entries {
		if j != i {
			fmt.Fprintf(&b, "%s = %s@%s\n", other.ID, dataCentre(j%plan.DataCentres), other.peers)
		}
	}
	file := filepath.Join(plan.SettingsDir, string(e.ID)+".ini")
	if err := os.WriteFile(file, []byte(b.String()), 0o600); err != nil {
		return err
	}
	p, err := Start(plan.ProgramDir, "jaybarrow", plan.Log, "serve", "-settings", file)
	if err != nil {
		return err
	}
	e.Process, f.started = p, append(f.started, p)
	return nil
}

// configure creates the pools, queues, hosts and teams through the operator API, and blocks until they are in force.
func (f *Fleet) configure(plan Plan) error {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Minute)
	defer cancel()
	for _, e := range f.Entries {
		if err := awaitReady(ctx, e); err != nil {
			return err
		}
	}
	operator := client.New(http.DefaultClient, f.Entries[0].Callers, operatorKey)
	for i := range plan.Pools {
		if _, err := operator.PutPool(ctx, jaybarrow.Pool{ID: PoolID(i), MaxUnavailable: 1}, 0); err != nil {
			return err
		}
		queue := jaybarrow.Queue{ID: QueueID(i), Pool: PoolID(i), Class: jaybarrow.ClassQuick, TargetMs: 10000}
		if _, err := operator.PutQueue(ctx, queue, 0); err != nil {
			return err
		}
	}
	for i := range plan.Workers + plan.Records {
		if err := f.addWorker(ctx, plan, operator, i); err != nil {
			return err
		}
	}
	lastRevision := jaybarrow.Revision(0)
	for i := range plan.Teams {
		id := jaybarrow.TeamID(fmt.Sprintf("team%d", i))
		if _, err := operator.PutTeam(ctx, jaybarrow.Team{ID: id, Share: 1}, plan.Limit, 0); err != nil {
			return err
		}
		key, err := operator.AddKey(ctx, id)
		if err != nil {
			return err
		}
		f.Keys, lastRevision = append(f.Keys, key.Secret), key.Revision
	}
	return awaitInForce(ctx, operator, lastRevision)
}

// unusedAddress returns the address of a host record without a process. Nothing connects to it, because idle workers are
// not called.
func unusedAddress(i int) jaybarrow.Address {
	return jaybarrow.Address(fmt.Sprintf("127.1.%d.%d:9", i/256, i%256))
}

func (f *Fleet) addWorker(ctx context.Context, plan Plan, operator *client.Client, i int) error {
	h := jaybarrow.Host{
		ID: jaybarrow.HostID(fmt.Sprintf("host%d", i)), Pool: PoolID(i % plan.Pools), DataCentre: dataCentre(i / plan.Pools % plan.DataCentres),
		Rack: jaybarrow.RackID(fmt.Sprintf("rack%d", i/4)), Address: unusedAddress(i), Connections: 64,
		Capacity: jaybarrow.Demand{Slots: 8, Memory: 128000},
	}
	if i < plan.Workers {
		p, addresses, err := StartStandin(plan.ProgramDir, plan.Log, "worker", "-id", string(h.ID))
		if err != nil {
			return err
		}
		f.started = append(f.started, p)
		h.Address = addresses.Listen
		f.Workers = append(f.Workers, h)
	}
	_, err := operator.PutHost(ctx, h, 0)
	return err
}

// pollInterval is the wait between two checks of a condition.
const pollInterval = 50 * time.Millisecond

func awaitReady(ctx context.Context, e Entry) error {
	for ctx.Err() == nil {
		response, err := http.Get("http://" + string(e.Callers) + "/healthz")
		if err == nil {
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				return nil
			}
		}
		time.Sleep(pollInterval)
	}
	return fmt.Errorf("wait until entry host %s is ready: %w", e.ID, ctx.Err())
}

func awaitInForce(ctx context.Context, operator *client.Client, revision jaybarrow.Revision) error {
	for ctx.Err() == nil {
		if s, err := operator.Status(ctx, revision); err == nil && s.InForce {
			return nil
		}
		time.Sleep(pollInterval)
	}
	return fmt.Errorf("wait until revision %d is in force everywhere: %w", revision, ctx.Err())
}
