package jobhost

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"

	"github.com/jaybarrow/jaybarrow"
)

const (
	// announceLimit bounds one announcement: after that time the leader knows of the record from the store.
	announceLimit = 300 * time.Millisecond
	// announceMost bounds the announcements under way; a leader that does not answer must not gather them.
	announceMost = 64
)

// announcer tells the leader of accepted jobs and cancellations. The store is what counts and tells the leader too; but its watches
// are silent at times.
type announcer struct {
	host  *Host
	log   zerolog.Logger
	group conc.WaitGroup
	open  atomic.Int32
}

// announce does not wait for the leader.
func (a *announcer) announce(changes jaybarrow.Commit, revision jaybarrow.Revision) {
	for _, p := range changes.Puts {
		record := jaybarrow.Record{Key: p.Key, Value: p.Value, Revision: revision}
		if s := a.host.current.Load(); s != nil {
			s.Announce(record)
			continue
		}
		holder, err := a.host.holder()
		if err != nil || a.open.Add(1) > announceMost {
			if err == nil {
				a.open.Add(-1)
			}
			continue
		}
		a.group.Go(func() {
			defer a.open.Add(-1)
			ctx, cancel := context.WithTimeout(context.Background(), announceLimit)
			defer cancel()
			if err := a.host.client.Announce(ctx, holder, record); err != nil {
				a.log.Debug().Err(err).Str("key", string(record.Key)).Msg("the leader learns of a record from the store only")
			}
		})
	}
}

// close waits for what is under way.
func (a *announcer) close() { a.group.Wait() }
