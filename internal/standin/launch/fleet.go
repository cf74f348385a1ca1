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

// operatorKey is the operators' key of a launched fleet.
const operatorKey = "operator-key-of-the-load-test"

// Plan is the size of a fleet.
type Plan struct {
	ProgramDir  string // folder of the built programs
	SettingsDir string // folder for settings files
	Log         io.Writer
	DataCentres int
	Entries     int // entry hosts, spread over the data centres
	Workers     int // worker processes, spread over data centres and pools
	Records     int // host records without a process
	Pools       int
	Teams       int
	Limit       jaybarrow.Slots // of each team
}

// Entry is a started entry host.
type Entry struct {
	*Process
	ID      jaybarrow.EntryID
	Callers jaybarrow.Address
	peers   jaybarrow.Address
}

// Fleet is a started fleet.
type Fleet struct {
	Store   *Process
	Control jaybarrow.Address // of the store
	Entries []Entry
	Workers []jaybarrow.Host
	Keys    []string // of the teams
	started []*Process
}

// New starts a fleet and waits until its configuration is in force everywhere.
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
	net := network()
	for i := range plan.Entries {
		f.Entries = append(f.Entries, Entry{
			ID:      jaybarrow.EntryID(fmt.Sprintf("entry%d", i)),
			Callers: jaybarrow.Address(fmt.Sprintf("%s.%d.1:%d", net, i, callersPort)),
			peers:   jaybarrow.Address(fmt.Sprintf("%s.%d.1:%d", net, i, peersPort)),
		})
	}
	for i := range f.Entries {
		if err := f.startEntry(plan, i, addresses.Listen); err != nil {
			return err
		}
	}
	return f.configure(plan)
}

// The ports of every entry host, which has a loopback address of its own: a port of the ephemeral range could be taken by
// another process's connection before the entry host listens on it.
const (
	callersPort = 8080
	peersPort   = 8081
)

// network returns the first two numbers of the loopback addresses of one run.
func network() string { return fmt.Sprintf("127.%d", 2+rand.IntN(200)) }

func (f *Fleet) startEntry(plan Plan, i int, store jaybarrow.Address) error {
	e := &f.Entries[i]
	var b strings.Builder
	fmt.Fprintf(&b, "[entry]\nid = %s\ndataCentre = %s\ncallerAddress = %s\npeerAddress = %s\noperatorKeyHash = %s\nlogLevel = warn\n",
		e.ID, dataCentre(i%plan.DataCentres), e.Callers, e.peers, request.Hash(operatorKey))
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

// configure creates the records as an operator.
func (f *Fleet) configure(plan Plan) error {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Minute)
	defer cancel()
	for _, e := range f.Entries {
		if err := awaitReady(ctx, e); err != nil {
			return err
		}
	}
	o := client.New(http.DefaultClient, f.Entries[0].Callers, operatorKey)
	for i := range plan.Pools {
		if _, err := o.PutPool(ctx, jaybarrow.Pool{ID: PoolID(i), MaxUnavailable: 1}, 0); err != nil {
			return err
		}
		queue := jaybarrow.Queue{ID: QueueID(i), Pool: PoolID(i), Class: jaybarrow.ClassQuick, TargetMs: 10000}
		if _, err := o.PutQueue(ctx, queue, 0); err != nil {
			return err
		}
	}
	for i := range plan.Workers + plan.Records {
		if err := f.addWorker(ctx, plan, o, i); err != nil {
			return err
		}
	}
	last := jaybarrow.Revision(0)
	for i := range plan.Teams {
		id := jaybarrow.TeamID(fmt.Sprintf("team%d", i))
		if _, err := o.PutTeam(ctx, jaybarrow.Team{ID: id, Share: 1}, plan.Limit, 0); err != nil {
			return err
		}
		key, err := o.AddKey(ctx, id)
		if err != nil {
			return err
		}
		f.Keys, last = append(f.Keys, key.Secret), key.Revision
	}
	return awaitInForce(ctx, o, last)
}

// unusedAddress returns the address of a host record without a process; nothing ever calls an idle worker.
func unusedAddress(i int) jaybarrow.Address {
	return jaybarrow.Address(fmt.Sprintf("127.1.%d.%d:9", i/256, i%256))
}

func (f *Fleet) addWorker(ctx context.Context, plan Plan, o *client.Client, i int) error {
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
	_, err := o.PutHost(ctx, h, 0)
	return err
}

// pollInterval is the wait between two looks at a condition.
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
	return fmt.Errorf("entry host %s is not ready: %w", e.ID, ctx.Err())
}

func awaitInForce(ctx context.Context, o *client.Client, revision jaybarrow.Revision) error {
	for ctx.Err() == nil {
		if s, err := o.Status(ctx, revision); err == nil && s.InForce {
			return nil
		}
		time.Sleep(pollInterval)
	}
	return fmt.Errorf("revision %d is not in force everywhere: %w", revision, ctx.Err())
}
