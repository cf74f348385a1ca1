package jobhost

import (
	"context"
	"encoding/json"
	"time"

	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/internal/logging"
	"github.com/jaybarrow/jaybarrow/internal/scheduler"
)

// jobDirectory answers from the scheduler of this entry host while it leads, and asks the leader otherwise.
type jobDirectory struct{ host *Host }

func (d jobDirectory) JobStatus(ctx context.Context, id jaybarrow.JobID) (jaybarrow.JobStatus, error) {
	if s := d.host.activeScheduler.Load(); s != nil {
		return s.JobStatus(ctx, id)
	}
	leaderAddress, err := d.host.leaderAddress()
	if err != nil {
		return jaybarrow.JobStatus{}, err
	}
	return d.host.client.JobStatus(ctx, leaderAddress, id)
}

func (d jobDirectory) JobsWaiting(ctx context.Context, queue jaybarrow.QueueID) (int, error) {
	if s := d.host.activeScheduler.Load(); s != nil {
		return s.JobsWaiting(ctx, queue)
	}
	leaderAddress, err := d.host.leaderAddress()
	if err != nil {
		return 0, err
	}
	return d.host.client.JobsWaiting(ctx, leaderAddress, queue)
}

// Admit asks the scheduler about jobs of congested pools. The scheduler of another entry host is not asked again for a while after it did
// not answer.
func (d jobDirectory) Admit(ctx context.Context, r jaybarrow.AdmissionRequest) (jaybarrow.Admission, error) {
	if s := d.host.activeScheduler.Load(); s != nil {
		return s.Admit(r)
	}
	if d.host.leader.ShortOfMemory() {
		return scheduler.RefuseForMemory(), nil
	}
	if r.Unhurried || !d.host.leader.Congested(r.Pool) {
		return jaybarrow.Admission{Admitted: true}, nil
	}
	leaderAddress, err := d.host.leaderAddress()
	if err != nil {
		return jaybarrow.Admission{}, err
	}
	if !d.host.admissions.allow(d.host.deps.Clock.Now()) {
		return d.recallRefusal(r, jaybarrow.Errorf(jaybarrow.KindPeerLost, "the leader did not answer lately"))
	}
	a, err := d.host.client.Admit(ctx, leaderAddress, r)
	now := d.host.deps.Clock.Now()
	d.host.admissions.record(now, err == nil)
	if err != nil {
		return d.recallRefusal(r, err)
	}
	d.host.refusals.record(d.refusalKey(r), a, now)
	return a, nil
}

// refusalKey returns what the leader's refusal of the job stands for.
func (d jobDirectory) refusalKey(r jaybarrow.AdmissionRequest) refusalKey {
	return keyOf(r, d.host.deps.Settings.Scheduler.TeamAdmission)
}

// recallRefusal returns the leader's last refusal of a job of the queue, or else the error: a leader that is too busy to answer has not come to
// carry more since.
func (d jobDirectory) recallRefusal(r jaybarrow.AdmissionRequest, err error) (jaybarrow.Admission, error) {
	if refused, ok := d.host.refusals.recall(d.refusalKey(r), d.host.deps.Clock.Now()); ok {
		return refused, nil
	}
	return jaybarrow.Admission{}, err
}

// leaderAddress returns the peer address of the leader, or KindPeerLost when no other entry host is known to lead.
func (h *Host) leaderAddress() (jaybarrow.Address, error) {
	holder, held := h.leader.Holder()
	if !held || holder.Entry == h.deps.Entry {
		return "", jaybarrow.Errorf(jaybarrow.KindPeerLost, "no other entry host leads").WithEffect(jaybarrow.EffectNotRun)
	}
	return holder.Address, nil
}

// peerService serves the calls of other entry hosts. Questions about jobs and announcements need this entry host to lead; Commit
// and NewerConfiguration do not.
type peerService struct{ host *Host }

func (p peerService) JobStatus(ctx context.Context, id jaybarrow.JobID) (jaybarrow.JobStatus, error) {
	s := p.host.activeScheduler.Load()
	if s == nil {
		return jaybarrow.JobStatus{}, notLeadingError()
	}
	return s.JobStatus(ctx, id)
}

func (p peerService) JobsWaiting(ctx context.Context, queue jaybarrow.QueueID) (int, error) {
	s := p.host.activeScheduler.Load()
	if s == nil {
		return 0, notLeadingError()
	}
	return s.JobsWaiting(ctx, queue)
}

func (p peerService) Admit(_ context.Context, r jaybarrow.AdmissionRequest) (jaybarrow.Admission, error) {
	s := p.host.activeScheduler.Load()
	if s == nil {
		return jaybarrow.Admission{}, notLeadingError()
	}
	return s.Admit(r)
}

func (p peerService) Commit(ctx context.Context, changes jaybarrow.Commit) (jaybarrow.Revision, error) {
	end, ok := p.host.forwarded.begin(ctx)
	if !ok {
		p.host.deps.Metrics.Count("store.forwarded.refused")
		return 0, jaybarrow.Errorf(jaybarrow.KindStoreUnavailable, "too many writes of entry hosts wait for the store").WithEffect(jaybarrow.EffectNotRun)
	}
	defer end()
	p.host.deps.Metrics.Count("store.forwarded")
	revision, err := p.host.deps.Platform.Store.Commit(ctx, changes)
	if err == nil {
		p.host.announcer.announce(changes, revision)
	}
	return revision, err
}

func (p peerService) Announce(record jaybarrow.Record) error {
	s := p.host.activeScheduler.Load()
	if s == nil {
		return notLeadingError()
	}
	s.Announce(record)
	return nil
}

func (p peerService) Refused(jobs []jaybarrow.RefusedJob) error {
	s := p.host.activeScheduler.Load()
	if s == nil {
		return notLeadingError()
	}
	s.Refused(jobs)
	return nil
}

func (p peerService) NewerConfiguration(_ context.Context, version jaybarrow.ConfigurationVersion) ([]byte, int64, error) {
	c := p.host.catalog.Configuration()
	age, known := p.host.catalog.Age(p.host.deps.Clock.Now())
	if c == nil || !known {
		return nil, 0, jaybarrow.Errorf(jaybarrow.KindStaleConfiguration, "no configuration is known yet")
	}
	if c.Version <= version {
		return nil, age.Milliseconds(), nil
	}
	data, err := json.Marshal(c)
	return data, age.Milliseconds(), err
}

func notLeadingError() error {
	return jaybarrow.Errorf(jaybarrow.KindPeerLost, "this entry host does not lead")
}

// refreshFromLeader asks the leader for the configuration while the platform does not confirm it here; it blocks until ctx ends.
func (h *Host) refreshFromLeader(ctx context.Context) {
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
		if err := h.fetchConfiguration(ctx); err != nil {
			log.Debug().Err(err).Msg("cannot fetch the configuration from the leader; trying again after the wait")
		}
	}
}

// configurationVersion returns the version of the configuration in force; 0 while there is none.
func (h *Host) configurationVersion() jaybarrow.ConfigurationVersion {
	if c := h.catalog.Configuration(); c != nil {
		return c.Version
	}
	return 0
}

// fetchConfiguration applies the configuration of the leader if it is newer, and confirms it as of the time of the request less
// the age that the leader reports.
func (h *Host) fetchConfiguration(ctx context.Context) error {
	leaderAddress, err := h.leaderAddress()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, h.deps.Settings.Operators.Slack)
	defer cancel()
	version := h.configurationVersion()
	requestedAt := h.deps.Clock.Now()
	data, ageMs, err := h.client.NewerConfiguration(ctx, leaderAddress, version)
	if err != nil {
		return err
	}
	if len(data) > 0 {
		c := new(jaybarrow.Configuration)
		if err := json.Unmarshal(data, c); err != nil {
			return err
		}
		h.applyConfiguration(logging.For(h.deps.Log, "operators"), c)
	}
	h.catalog.Confirm(requestedAt.Add(-time.Duration(ageMs) * time.Millisecond))
	return nil
}
