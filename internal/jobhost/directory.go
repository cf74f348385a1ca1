package jobhost

import (
	"context"
	"encoding/json"
	"time"

	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/internal/logging"
)

// directory answers here while this entry host leads, and asks the leader otherwise.
type directory struct{ host *Host }

func (d directory) JobStatus(ctx context.Context, id jaybarrow.JobID) (jaybarrow.JobStatus, error) {
	if s := d.host.current.Load(); s != nil {
		return s.JobStatus(ctx, id)
	}
	holder, err := d.host.holder()
	if err != nil {
		return jaybarrow.JobStatus{}, err
	}
	return d.host.client.JobStatus(ctx, holder, id)
}

func (d directory) JobsWaiting(ctx context.Context, queue jaybarrow.QueueID) (int, error) {
	if s := d.host.current.Load(); s != nil {
		return s.JobsWaiting(ctx, queue)
	}
	holder, err := d.host.holder()
	if err != nil {
		return 0, err
	}
	return d.host.client.JobsWaiting(ctx, holder, queue)
}

// holder returns the peer address of the leader, or KindPeerLost.
func (h *Host) holder() (jaybarrow.Address, error) {
	holder, held := h.leader.Holder()
	if !held || holder.Entry == h.deps.Entry {
		return "", jaybarrow.Errorf(jaybarrow.KindPeerLost, "no entry host leads").WithEffect(jaybarrow.EffectNotRun)
	}
	return holder.Address, nil
}

// local answers the other entry hosts while this one leads.
type local struct{ host *Host }

func (l local) JobStatus(ctx context.Context, id jaybarrow.JobID) (jaybarrow.JobStatus, error) {
	s := l.host.current.Load()
	if s == nil {
		return jaybarrow.JobStatus{}, notLeading()
	}
	return s.JobStatus(ctx, id)
}

func (l local) JobsWaiting(ctx context.Context, queue jaybarrow.QueueID) (int, error) {
	s := l.host.current.Load()
	if s == nil {
		return 0, notLeading()
	}
	return s.JobsWaiting(ctx, queue)
}

func (l local) Commit(ctx context.Context, changes jaybarrow.Commit) (jaybarrow.Revision, error) {
	revision, err := l.host.deps.Platform.Store.Commit(ctx, changes)
	if err == nil {
		l.host.announcer.announce(changes, revision)
	}
	return revision, err
}

func (l local) Announce(record jaybarrow.Record) error {
	s := l.host.current.Load()
	if s == nil {
		return notLeading()
	}
	s.Announce(record)
	return nil
}

func (l local) NewerConfiguration(_ context.Context, version jaybarrow.ConfigurationVersion) ([]byte, int64, error) {
	c := l.host.catalog.Configuration()
	age, known := l.host.catalog.Age(l.host.deps.Clock.Now())
	if c == nil || !known {
		return nil, 0, jaybarrow.Errorf(jaybarrow.KindStaleConfiguration, "no configuration is known yet")
	}
	if c.Version <= version {
		return nil, age.Milliseconds(), nil
	}
	data, err := json.Marshal(c)
	return data, age.Milliseconds(), err
}

func notLeading() error {
	return jaybarrow.Errorf(jaybarrow.KindPeerLost, "this entry host does not lead")
}

// askPeers asks the leader for the configuration while the store does not confirm it here.
func (h *Host) askPeers(ctx context.Context) {
	log := logging.For(h.deps.Log, "operators")
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case <-h.deps.Clock.After(h.deps.Settings.Operators.Wait):
		}
		age, known := h.catalog.Age(h.deps.Clock.Now())
		if known && age < h.deps.Settings.Operators.Wait+h.deps.Settings.Operators.Slack {
			continue
		}
		if err := h.askPeer(ctx); err != nil {
			log.Debug().Err(err).Msg("the leader has no newer configuration")
		}
	}
}

func (h *Host) askPeer(ctx context.Context) error {
	holder, err := h.holder()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, h.deps.Settings.Operators.Slack)
	defer cancel()
	version := jaybarrow.ConfigurationVersion(0)
	if c := h.catalog.Configuration(); c != nil {
		version = c.Version
	}
	asked := h.deps.Clock.Now()
	data, ageMs, err := h.client.NewerConfiguration(ctx, holder, version)
	if err != nil {
		return err
	}
	if len(data) > 0 {
		c := new(jaybarrow.Configuration)
		if err := json.Unmarshal(data, c); err != nil {
			return err
		}
		h.apply(logging.For(h.deps.Log, "operators"), c)
	}
	h.catalog.Confirm(asked.Add(-time.Duration(ageMs) * time.Millisecond))
	return nil
}
