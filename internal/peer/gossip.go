package peer

import (
	"context"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"

	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/internal/member"
	"github.com/jaybarrow/jaybarrow/internal/peer/peerpb"
	"github.com/jaybarrow/jaybarrow/internal/shard"
)

// Seed is an entry host known from the settings or from its presence record.
type Seed struct {
	ID         jaybarrow.EntryID
	DataCentre jaybarrow.DataCentreID
	Address    jaybarrow.Address
}

// GossipDeps are what a Gossip depends on.
type GossipDeps struct {
	Clock    jaybarrow.Clock
	Log      zerolog.Logger
	Client   *Client
	Members  *member.Members
	Interval time.Duration       // between two heartbeats of this entry host
	Self     func() member.State // Sequence, HeardAt and Loads are filled in by it
	Seeds    func() []Seed       // other entry hosts
	// OnNewerRecord is called when a peer has applied a newer record than this entry host; it may fetch changes and must not block.
	OnNewerRecord func(peer member.State)
}

// Gossip exchanges heartbeats: at each interval with one entry host of the own data centre in turn, and from the relay of
// the data centre with one other data centre in turn. States of third entry hosts travel along when they are news to the
// receiver, so traffic for each entry host does not grow with the square of their number.
type Gossip struct {
	deps  GossipDeps
	turn  int
	told  *shard.Map[jaybarrow.EntryID, *told]
	lacks atomic.Bool // a brief state came whose details are not known here
	group conc.WaitGroup
	stop  chan struct{}
	once  sync.Once
}

// NewGossip returns a running Gossip.
func NewGossip(deps GossipDeps) *Gossip {
	g := &Gossip{deps: deps, told: shard.New[jaybarrow.EntryID, *told](), stop: make(chan struct{})}
	g.group.Go(func() {
		for {
			g.round()
			select {
			case <-g.stop:
				return
			case <-deps.Clock.After(deps.Interval):
			}
		}
	})
	return g
}

// Close stops sending heartbeats.
func (g *Gossip) Close() {
	g.once.Do(func() { close(g.stop) })
	g.group.Wait()
}

// Announce sends the current state to every entry host of the own data centre at once, for example when this one leaves.
func (g *Gossip) Announce(ctx context.Context) {
	var all conc.WaitGroup
	for _, s := range g.near() {
		all.Go(func() { g.beat(ctx, s) })
	}
	all.Wait()
}

func (g *Gossip) round() {
	turn := g.turn
	g.turn++
	g.deps.Members.Expire(g.deps.Clock.Now())
	if near := g.near(); len(near) > 0 {
		s := near[turn%len(near)]
		g.group.Go(func() { g.beat(context.Background(), s) })
	}
	if s, ok := g.farTarget(turn); ok {
		g.group.Go(func() { g.beat(context.Background(), s) })
	}
}

// near returns the other entry hosts of the own data centre in order of id.
func (g *Gossip) near() []Seed {
	own := g.deps.Self().DataCentre
	return slices.DeleteFunc(g.others(), func(s Seed) bool { return s.DataCentre != own })
}

// others merges the seeds with what was heard; what was heard goes first, since addresses change with replacement.
func (g *Gossip) others() []Seed {
	byID := make(map[jaybarrow.EntryID]Seed)
	for _, s := range g.deps.Seeds() {
		byID[s.ID] = s
	}
	for _, s := range g.deps.Members.LiveStates(g.deps.Clock.Now()) {
		byID[s.ID] = Seed{ID: s.ID, DataCentre: s.DataCentre, Address: s.PeerAddress}
	}
	delete(byID, g.deps.Self().ID)
	var others []Seed
	for _, s := range byID {
		others = append(others, s)
	}
	slices.SortFunc(others, func(a, b Seed) int { return strings.Compare(string(a.ID), string(b.ID)) })
	return others
}

// farTarget returns whom this entry host, if it is the relay, tells in this turn: the relay of another data centre, or one of
// its entry hosts in turn while none is known to live.
func (g *Gossip) farTarget(turn int) (Seed, bool) {
	now, self := g.deps.Clock.Now(), g.deps.Self()
	if relay, _ := g.deps.Members.Relay(now, self.DataCentre); relay != self.ID {
		return Seed{}, false
	}
	far := make(map[jaybarrow.DataCentreID][]Seed)
	var dataCentres []jaybarrow.DataCentreID
	for _, s := range g.others() {
		if s.DataCentre == self.DataCentre {
			continue
		}
		if len(far[s.DataCentre]) == 0 {
			dataCentres = append(dataCentres, s.DataCentre)
		}
		far[s.DataCentre] = append(far[s.DataCentre], s)
	}
	if len(dataCentres) == 0 {
		return Seed{}, false
	}
	slices.Sort(dataCentres)
	dc := dataCentres[turn%len(dataCentres)]
	if relay, ok := g.deps.Members.Relay(now, dc); ok {
		i := slices.IndexFunc(far[dc], func(s Seed) bool { return s.ID == relay })
		return far[dc][i], true
	}
	return far[dc][turn/len(dataCentres)%len(far[dc])], true
}

func (g *Gossip) beat(ctx context.Context, to Seed) {
	ctx, cancel := context.WithTimeout(ctx, g.deps.Interval)
	defer cancel()
	asked := g.deps.Clock.Now()
	answer, err := g.deps.Client.exchange(ctx, to.Address, g.heartbeat(to.ID))
	if err != nil {
		g.told.Delete(to.ID)
		g.deps.Log.Debug().Err(err).Str("peer", string(to.ID)).Msg("heartbeat was not answered")
		return
	}
	g.observe(asked, answer)
}

// receive takes a peer's heartbeat and returns the answer.
func (g *Gossip) receive(m *peerpb.Heartbeat) *peerpb.Heartbeat {
	g.observe(g.deps.Clock.Now(), m)
	return g.heartbeat(jaybarrow.EntryID(m.GetSelf().GetId()))
}

func (g *Gossip) observe(said time.Time, m *peerpb.Heartbeat) {
	if m.GetResend() {
		g.told.Delete(jaybarrow.EntryID(m.GetSelf().GetId()))
	}
	for _, encoded := range append([]*peerpb.MemberState{m.GetSelf()}, m.GetRelayed()...) {
		if encoded == nil {
			continue
		}
		state := decodeState(said, encoded)
		if encoded.Brief && !g.complete(&state, encoded.Details) {
			g.lacks.Store(true)
			continue
		}
		if g.deps.Members.Observe(state) && state.Newest > g.deps.Self().Applied {
			g.deps.OnNewerRecord(state)
		}
	}
}

// complete fills in the details that a brief state leaves out; false when they are not known here.
func (g *Gossip) complete(state *member.State, checksum uint32) bool {
	known, ok := g.deps.Members.Get(state.ID)
	if !ok || detailsOf(known) != checksum {
		return false
	}
	state.DataCentre, state.PeerAddress, state.Loads = known.DataCentre, known.AdvertisedAddress, known.Loads
	return true
}

// heartbeat returns the own state and the states of third entry hosts that are news to the receiver.
func (g *Gossip) heartbeat(to jaybarrow.EntryID) *peerpb.Heartbeat {
	now, self := g.deps.Clock.Now(), g.deps.Self()
	t := g.told.GetOrCreate(to, newTold)
	t.Lock()
	defer t.Unlock()
	m := &peerpb.Heartbeat{Self: t.encode(now, self), Resend: g.lacks.Swap(false)}
	// A leaving entry host is passed on too, so that other data centres do not wait for it.
	for _, s := range g.deps.Members.RecentStates(now) {
		if s.ID != to && t.news(now, s, s.DataCentre == self.DataCentre) {
			m.Relayed = append(m.Relayed, t.encode(now, s))
		}
	}
	return m
}
