package jobhost

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/internal/rungroup"
)

const (
	// announceTimeout bounds one announcement. By then the leader has usually learnt of the record from the store.
	announceTimeout = 300 * time.Millisecond
	// maxAnnouncements bounds the announcements in flight, so that they do not pile up when the leader does not answer.
	maxAnnouncements = 64
)

// announcer sends accepted jobs and cancellations to the leader. The leader also reads them from the store, which is
// authoritative, but the store's watches sometimes deliver nothing for a while.
type announcer struct {
	host     *Host
	log      zerolog.Logger
	group    *rungroup.Group
	inFlight atomic.Int32
}

// announce sends the written records to the leader without waiting for it. A record is left to the store when there is no leader
// or when too many announcements are in flight.
func (a *announcer) announce(changes jaybarrow.Commit, revision jaybarrow.Revision) {
	for _, p := range changes.Puts {
		record := jaybarrow.Record{Key: p.Key, Value: p.Value, Revision: revision}
		if s := a.host.activeScheduler.Load(); s != nil {
			s.Announce(record)
			continue
		}
		leaderAddress, err := a.host.leaderAddress()
		if err != nil || a.inFlight.Add(1) > maxAnnouncements {
			if err == nil {
				a.inFlight.Add(-1)
			}
			continue
		}
		a.group.Go("announcement", func() {
			defer a.inFlight.Add(-1)
			ctx, cancel := context.WithTimeout(context.Background(), announceTimeout)
			defer cancel()
			if err := a.host.client.Announce(ctx, leaderAddress, record); err != nil {
				a.log.Debug().Err(err).Str("key", string(record.Key)).Msg("the leader learns of a record from the store only")
			}
		})
	}
}

// close waits for the announcements in flight.
func (a *announcer) close() { a.group.Wait() }
