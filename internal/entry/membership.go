package entry

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/internal/logging"
	"github.com/jaybarrow/jaybarrow/internal/member"
	"github.com/jaybarrow/jaybarrow/internal/mover"
	"github.com/jaybarrow/jaybarrow/internal/peer"
	"github.com/jaybarrow/jaybarrow/internal/settings"
)

// ready reports whether this entry host is a candidate for scheduling, which means that it is registered, has a
// configuration and is not leaving.
func (e *Entry) ready() bool { return !e.leaving.Load() && e.registered() }

// acceptsRequests reports whether the local schedulers accept requests. A leaving entry host without a successor still does.
func (e *Entry) acceptsRequests() bool { return !e.handedOver.Load() && e.registered() }

func (e *Entry) registered() bool {
	return isClosed(e.presence.Ready()) && isClosed(e.follower.Ready()) && !isClosed(e.presence.Fenced())
}

func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

// self returns the state that this entry host sends to its peers.
func (e *Entry) self() member.State {
	own, now := e.deps.Settings.Entry, e.deps.Clock.Now()
	return member.State{
		ID: own.ID, DataCentre: own.DataCentre, PeerAddress: jaybarrow.Address(e.deps.Peers.Addr().String()),
		Incarnation: e.presence.Incarnation(), Sequence: now.Sub(e.startedAt).Milliseconds(),
		Ready: e.ready(), Leaving: e.leaving.Load(),
		Applied: e.directory.Applied(), Newest: e.directory.Newest(), ConfirmedAt: e.follower.LastConfirmed(),
		Loads: e.scheduler.Loads(), ReportedAt: now,
	}
}

// poolLoads returns the last known load of each pool on each live entry host.
func (e *Entry) poolLoads() []mover.Load {
	var loads []mover.Load
	for _, s := range append(e.members.LiveStates(e.deps.Clock.Now()), e.self()) {
		for id, load := range s.Loads {
			loads = append(loads, mover.Load{Pool: id, DataCentre: s.DataCentre, Load: load})
		}
	}
	return loads
}

func (e *Entry) peerAddresses() map[jaybarrow.EntryID]jaybarrow.Address {
	addresses := make(map[jaybarrow.EntryID]jaybarrow.Address)
	for _, p := range e.deps.Settings.Peers {
		addresses[p.ID] = p.Address
	}
	return addresses
}

// seeds returns the entry hosts of the settings file and the registered ones.
func (e *Entry) seeds() []peer.Seed {
	var seeds []peer.Seed
	known := make(map[jaybarrow.EntryID]bool)
	for _, p := range e.deps.Settings.Peers {
		known[p.ID] = true
		seeds = append(seeds, peer.Seed{ID: p.ID, DataCentre: p.DataCentre, Address: p.Address})
	}
	e.directory.Entries.Each(func(id jaybarrow.EntryID, h jaybarrow.EntryHost) {
		if !known[id] {
			seeds = append(seeds, peer.Seed{ID: id, DataCentre: h.DataCentre, Address: h.PeerAddress})
		}
	})
	return seeds
}

// dataCentres returns every data centre in which there is an entry host.
func (e *Entry) dataCentres() []jaybarrow.DataCentreID {
	all := []jaybarrow.DataCentreID{e.deps.Settings.Entry.DataCentre}
	for _, s := range e.seeds() {
		if !slices.Contains(all, s.DataCentre) {
			all = append(all, s.DataCentre)
		}
	}
	return all
}

// fresh reports whether keyed work may be accepted. With the setting to serve when cut off, any configuration is enough.
func (e *Entry) fresh() bool {
	keys := e.deps.Settings.Keys
	if keys.WhenCutOff == settings.CutOffServe {
		return e.directory.Applied() > 0
	}
	local := member.LocalConfiguration{Applied: e.directory.Applied(), ConfirmedAt: e.follower.LastConfirmed()}
	return e.members.Fresh(e.deps.Clock.Now(), local, keys.Freshness, e.dataCentres)
}

// changesFromPeers fetches changes from the live peers in turn, the one with the highest applied revision first, or from the
// seeds when no peer is live.
func (e *Entry) changesFromPeers(ctx context.Context, after jaybarrow.Revision) ([]jaybarrow.Record, jaybarrow.Revision, error) {
	var lastErr error = jaybarrow.Errorf(jaybarrow.KindPeerLost, "no other entry host is known").WithEffect(jaybarrow.EffectNotRun)
	for _, address := range e.changeSources() {
		records, reached, err := e.peers.Changes(ctx, address, after)
		if err == nil {
			return records, reached, nil
		}
		lastErr = err
	}
	return nil, 0, lastErr
}

func (e *Entry) changeSources() []jaybarrow.Address {
	live := e.members.LiveStates(e.deps.Clock.Now())
	slices.SortStableFunc(live, func(a, b member.State) int { return cmp.Compare(b.Applied, a.Applied) })
	var addresses []jaybarrow.Address
	for _, s := range live {
		addresses = append(addresses, s.PeerAddress)
	}
	if len(addresses) > 0 {
		return addresses
	}
	for _, s := range e.seeds() {
		addresses = append(addresses, s.Address)
	}
	return addresses
}

// catchUp fetches changes from a peer that has a newer record, unless this entry host's watch delivers them first. It does
// not block.
func (e *Entry) catchUp(from member.State) {
	if !e.catchingUp.CompareAndSwap(false, true) {
		return
	}
	e.fetches.Go("changes from a peer", func() {
		defer e.catchingUp.Store(false)
		<-e.deps.Clock.After(e.times.CatchUpDelay)
		after := e.directory.Applied()
		if after >= from.Newest {
			return
		}
		ctx, cancel := context.WithTimeout(context.Background(), fetchTimeout)
		defer cancel()
		records, reached, err := e.peers.Changes(ctx, from.PeerAddress, after)
		if err == nil {
			err = e.directory.Apply(records, reached)
		}
		if err != nil {
			log := logging.For(e.deps.Log, "peer")
			log.Warn().Err(err).Str("peer", string(from.ID)).Msg("cannot fetch changes from a peer; retrying at its next heartbeat")
		}
	})
}

// fetchTimeout bounds one fetch of changes from a peer.
const fetchTimeout = 2 * time.Second
