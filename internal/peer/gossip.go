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
	"github.com/jaybarrow/jaybarrow/internal/rungroup"
	"github.com/jaybarrow/jaybarrow/internal/shard"
)

// Seed is an entry host that is known from the settings or from its presence record, before any heartbeat.
type Seed struct {
	ID         jaybarrow.EntryID
	DataCentre jaybarrow.DataCentreID
	Address    jaybarrow.Address
}

// GossipDeps are the dependencies of a Gossip.
type GossipDeps struct {
	Clock    jaybarrow.Clock
	Log      zerolog.Logger
	Client   *Client
	Members  *member.Members
	Interval time.Duration // between two heartbeats of this entry host
	// Self returns the current state of this entry host, with Sequence, ReportedAt and Loads filled in.
	Self  func() member.State
	Seeds func() []Seed // other entry hosts
	// OnNewerRecord is called when a peer has applied a newer record than this entry host. It may start to fetch the changes and
	// must not block.
	OnNewerRecord func(peer member.State)
	OnFault       rungroup.Handler // called when a background part fails; nil crashes the process
}

// Gossip exchanges heartbeats. In each interval it exchanges one with the next entry host of its own data centre, round robin;
// the relay of a data centre also exchanges one with the next other data centre. A heartbeat also carries the states of third
// entry hosts that are due for the receiver, so that traffic for each entry host does not grow with the square of their
// number.
type Gossip struct {
	deps        GossipDeps
	round       int
	sentStates  *shard.Map[jaybarrow.EntryID, *sentStates]
	sendTimes   sendTimes
	needsResend atomic.Bool // a received brief state has details that are not known here
	group       *rungroup.Group
	stop        chan struct{}
	once        sync.Once
}

// NewGossip returns a running Gossip; Close stops it.
func NewGossip(deps GossipDeps) *Gossip {
	g := &Gossip{
		deps: deps, group: rungroup.New(deps.OnFault), sentStates: shard.New[jaybarrow.EntryID, *sentStates](), sendTimes: newSendTimes(),
		stop: make(chan struct{}),
	}
	g.group.Go("heartbeats", func() {
		for {
			g.sendNext()
			select {
			case <-g.stop:
				return
			case <-deps.Clock.After(deps.Interval):
			}
		}
	})
	return g
}

// Close stops sending heartbeats and waits for those in flight.
func (g *Gossip) Close() {
	g.once.Do(func() { close(g.stop) })
	g.group.Wait()
}

// Announce exchanges heartbeats with all entry hosts of the own data centre at once, for example when this one leaves, and waits
// for the answers.
func (g *Gossip) Announce(ctx context.Context) {
	var all conc.WaitGroup
	for _, s := range g.localPeers() {
		all.Go(func() { g.sendHeartbeat(ctx, s) })
	}
	all.Wait()
}

// sendNext starts the heartbeats of one interval.
func (g *Gossip) sendNext() {
	round := g.round
	g.round++
	g.deps.Members.Expire(g.deps.Clock.Now())
	g.sendTimes.keep(func(id jaybarrow.EntryID) bool { _, known := g.deps.Members.Get(id); return known })
	if localPeers := g.localPeers(); len(localPeers) > 0 {
		s := localPeers[round%len(localPeers)]
		g.group.Go("heartbeat", func() { g.sendHeartbeat(context.Background(), s) })
	}
	if s, ok := g.remoteTarget(round); ok {
		g.group.Go("heartbeat", func() { g.sendHeartbeat(context.Background(), s) })
	}
}

// localPeers returns the other entry hosts of the own data centre, in order of id.
func (g *Gossip) localPeers() []Seed {
	own := g.deps.Self().DataCentre
	return slices.DeleteFunc(g.peers(), func(s Seed) bool { return s.DataCentre != own })
}

// peers returns the other entry hosts, in order of id: the seeds and the live members. The address of a live member takes
// precedence over that of a seed, since addresses change when an entry host is replaced.
func (g *Gossip) peers() []Seed {
	byID := make(map[jaybarrow.EntryID]Seed)
	for _, s := range g.deps.Seeds() {
		byID[s.ID] = s
	}
	for _, s := range g.deps.Members.LiveStates(g.deps.Clock.Now()) {
		byID[s.ID] = Seed{ID: s.ID, DataCentre: s.DataCentre, Address: s.PeerAddress}
	}
	delete(byID, g.deps.Self().ID)
	var peers []Seed
	for _, s := range byID {
		peers = append(peers, s)
	}
	slices.SortFunc(peers, func(a, b Seed) int { return strings.Compare(string(a.ID), string(b.ID)) })
	return peers
}

// remoteTarget returns the entry host of another data centre to exchange heartbeats with in the given round, or false when this
// entry host is not the relay of its data centre or knows no other data centre. It chooses the data centre round robin, and in it
// the relay, or an entry host round robin while no live one is known.
func (g *Gossip) remoteTarget(round int) (Seed, bool) {
	now, self := g.deps.Clock.Now(), g.deps.Self()
	if relay, _ := g.deps.Members.Relay(now, self.DataCentre); relay != self.ID {
		return Seed{}, false
	}
	byDataCentre := make(map[jaybarrow.DataCentreID][]Seed)
	var dataCentres []jaybarrow.DataCentreID
	for _, s := range g.peers() {
		if s.DataCentre == self.DataCentre {
			continue
		}
		if len(byDataCentre[s.DataCentre]) == 0 {
			dataCentres = append(dataCentres, s.DataCentre)
		}
		byDataCentre[s.DataCentre] = append(byDataCentre[s.DataCentre], s)
	}
	if len(dataCentres) == 0 {
		return Seed{}, false
	}
	slices.Sort(dataCentres)
	dc := dataCentres[round%len(dataCentres)]
	if relay, ok := g.deps.Members.Relay(now, dc); ok {
		i := slices.IndexFunc(byDataCentre[dc], func(s Seed) bool { return s.ID == relay })
		return byDataCentre[dc][i], true
	}
	return byDataCentre[dc][round/len(dataCentres)%len(byDataCentre[dc])], true
}

// sendHeartbeat exchanges heartbeats with the peer. After a failure it sends the peer complete states again.
func (g *Gossip) sendHeartbeat(ctx context.Context, to Seed) {
	ctx, cancel := context.WithTimeout(ctx, g.deps.Interval)
	defer cancel()
	sentAt := g.deps.Clock.Now()
	answer, err := g.deps.Client.exchangeHeartbeats(ctx, to.Address, g.newHeartbeat(to.ID))
	if err != nil {
		g.sentStates.Delete(to.ID)
		g.deps.Log.Debug().Err(err).Str("peer", string(to.ID)).Msg("cannot exchange heartbeats with the peer; sending it complete states next time")
		return
	}
	// The peer sent its answer after this entry host sent the heartbeat, so no age comes out too small.
	g.sendTimes.observe(answer.GetSelf(), sentAt)
	g.applyHeartbeat(sentAt, answer)
}

// answerHeartbeat applies a peer's heartbeat and returns the one that answers it. The heartbeat may have waited for long in the
// receive buffer while this process was paused, or on a silent connection, so its ages count from when the peer sent it.
func (g *Gossip) answerHeartbeat(m *peerpb.Heartbeat) *peerpb.Heartbeat {
	g.applyHeartbeat(g.sendTimes.sentAt(m.GetSelf(), g.deps.Clock.Now()), m)
	return g.newHeartbeat(jaybarrow.EntryID(m.GetSelf().GetId()))
}

// applyHeartbeat applies the states in a heartbeat; reference is the local time from which their ages count.
func (g *Gossip) applyHeartbeat(reference time.Time, m *peerpb.Heartbeat) {
	if m.GetResend() {
		g.sentStates.Delete(jaybarrow.EntryID(m.GetSelf().GetId()))
	}
	for _, encoded := range append([]*peerpb.MemberState{m.GetSelf()}, m.GetRelayed()...) {
		if encoded == nil {
			continue
		}
		state := decodeState(reference, encoded)
		if encoded.Brief && !g.fillDetails(&state, encoded.Details) {
			g.needsResend.Store(true)
			continue
		}
		if g.deps.Members.Observe(state) && state.Newest > g.deps.Self().Applied {
			g.deps.OnNewerRecord(state)
		}
	}
}

// fillDetails adds the details that a brief state leaves out; it returns false when they are not known here.
func (g *Gossip) fillDetails(state *member.State, checksum uint32) bool {
	known, ok := g.deps.Members.Get(state.ID)
	if !ok || detailsChecksum(known) != checksum {
		return false
	}
	state.DataCentre, state.PeerAddress, state.Loads = known.DataCentre, known.AdvertisedAddress, known.Loads
	return true
}

// newHeartbeat returns a heartbeat with the own state and the states of third entry hosts that are due for the receiver.
func (g *Gossip) newHeartbeat(to jaybarrow.EntryID) *peerpb.Heartbeat {
	now, self := g.deps.Clock.Now(), g.deps.Self()
	sent := g.sentStates.GetOrCreate(to, newSentStates)
	sent.Lock()
	defer sent.Unlock()
	m := &peerpb.Heartbeat{Self: sent.encodeAndRecord(now, self), Resend: g.needsResend.Swap(false)}
	// The state of a leaving entry host is relayed too, so that other data centres do not wait for it.
	for _, s := range g.deps.Members.RecentStates(now) {
		if s.ID != to && sent.isDue(now, s, s.DataCentre == self.DataCentre) {
			m.Relayed = append(m.Relayed, sent.encodeAndRecord(now, s))
		}
	}
	return m
}
