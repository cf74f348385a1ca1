package peer

import (
	"time"

	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/internal/member"
	"github.com/jaybarrow/jaybarrow/internal/peer/peerpb"
	"github.com/jaybarrow/jaybarrow/internal/schedule"
)

// noAgeMs is sent as the age of an event that has not happened.
const noAgeMs = -1

func encodeRequest(now time.Time, r jaybarrow.Request) *peerpb.SubmitRequest {
	m := &peerpb.SubmitRequest{
		Id: string(r.ID), Team: string(r.Team), Queue: string(r.Queue), Pool: string(r.Pool), Class: string(r.Class),
		Slots: int64(r.Demand.Slots), MemoryMb: int64(r.Demand.Memory), Accelerators: int64(r.Demand.Accelerators),
		DeclaredMs: r.Declared.Milliseconds(), WaitedMs: now.Sub(r.Arrived).Milliseconds(),
		TargetInMs: r.Target.Sub(now).Milliseconds(), Idempotent: r.Idempotent, Body: r.Body, KeyHash: string(r.KeyHash),
	}
	if !r.Deadline.IsZero() {
		// 0 means that there is no deadline, so a deadline that has passed is sent as 1 ms.
		m.DeadlineInMs = max(1, r.Deadline.Sub(now).Milliseconds())
	}
	return m
}

func decodeRequest(now time.Time, m *peerpb.SubmitRequest) jaybarrow.Request {
	r := jaybarrow.Request{
		ID: jaybarrow.RequestID(m.Id), Team: jaybarrow.TeamID(m.Team), Queue: jaybarrow.QueueID(m.Queue),
		Pool: jaybarrow.PoolID(m.Pool), Class: jaybarrow.Class(m.Class),
		Demand: jaybarrow.Demand{
			Slots:        jaybarrow.Slots(m.Slots),
			Memory:       jaybarrow.Megabytes(m.MemoryMb),
			Accelerators: jaybarrow.Accelerators(m.Accelerators),
		},
		Declared: milliseconds(m.DeclaredMs), Arrived: now.Add(-milliseconds(m.WaitedMs)),
		Target: now.Add(milliseconds(m.TargetInMs)), Idempotent: m.Idempotent, Body: m.Body, KeyHash: jaybarrow.KeyHash(m.KeyHash),
	}
	if m.DeadlineInMs != 0 {
		r.Deadline = now.Add(milliseconds(m.DeadlineInMs))
	}
	return r
}

func milliseconds(n int64) time.Duration { return time.Duration(n) * time.Millisecond }

func encodeFault(err error) *peerpb.Fault {
	if err == nil {
		return nil
	}
	e := jaybarrow.AsError(err)
	return &peerpb.Fault{Kind: string(e.Kind), Effect: string(e.Effect), Message: e.Message}
}

func decodeFault(f *peerpb.Fault) error {
	if f == nil {
		return nil
	}
	return &jaybarrow.Error{Kind: jaybarrow.ErrorKind(f.Kind), Effect: jaybarrow.Effect(f.Effect), Message: f.Message}
}

func encodeState(now time.Time, s member.State) *peerpb.MemberState {
	m := &peerpb.MemberState{
		Id: string(s.ID), DataCentre: string(s.DataCentre), PeerAddress: string(reportedAddress(s)),
		Incarnation: int64(s.Incarnation), Sequence: s.Sequence, Ready: s.Ready, Leaving: s.Leaving,
		AppliedRevision: int64(s.Applied), NewestRevision: int64(s.Newest),
		ConfirmedAgeMs: noAgeMs, AgeMs: now.Sub(s.ReportedAt).Milliseconds(), Details: detailsChecksum(s),
	}
	if !s.ConfirmedAt.IsZero() {
		m.ConfirmedAgeMs = now.Sub(s.ConfirmedAt).Milliseconds()
	}
	for id, load := range s.Loads {
		m.Loads = append(m.Loads, &peerpb.PoolLoad{
			Pool: string(id), Waiting: int64(load.Waiting), Running: int64(load.Running), FreeSlots: int64(load.FreeSlots),
		})
	}
	return m
}

// reportedAddress returns the address that the entry host reports for itself. The state of this entry host has PeerAddress only.
func reportedAddress(s member.State) jaybarrow.Address {
	if s.AdvertisedAddress != "" {
		return s.AdvertisedAddress
	}
	return s.PeerAddress
}

// decodeState converts the ages in the message to local times counted back from reference, at which the message had not yet been
// sent.
func decodeState(reference time.Time, m *peerpb.MemberState) member.State {
	s := member.State{
		ID: jaybarrow.EntryID(m.Id), DataCentre: jaybarrow.DataCentreID(m.DataCentre),
		PeerAddress: jaybarrow.Address(m.PeerAddress), Incarnation: jaybarrow.Incarnation(m.Incarnation),
		Sequence: m.Sequence, Ready: m.Ready, Leaving: m.Leaving,
		Applied: jaybarrow.Revision(m.AppliedRevision), Newest: jaybarrow.Revision(m.NewestRevision),
		ReportedAt: reference.Add(-milliseconds(m.AgeMs)), Loads: make(map[jaybarrow.PoolID]schedule.Load, len(m.Loads)),
	}
	if m.ConfirmedAgeMs != noAgeMs {
		s.ConfirmedAt = reference.Add(-milliseconds(m.ConfirmedAgeMs))
	}
	for _, l := range m.Loads {
		s.Loads[jaybarrow.PoolID(l.Pool)] = schedule.Load{
			Waiting: int(l.Waiting), Running: int(l.Running), FreeSlots: jaybarrow.Slots(l.FreeSlots),
		}
	}
	return s
}

func encodeRecords(records []jaybarrow.Record) []*peerpb.Record {
	encoded := make([]*peerpb.Record, 0, len(records))
	for _, r := range records {
		encoded = append(encoded, &peerpb.Record{
			Key: string(r.Key), Value: r.Value, Revision: int64(r.Revision), Deleted: r.Deleted,
		})
	}
	return encoded
}

func decodeRecords(records []*peerpb.Record) []jaybarrow.Record {
	decoded := make([]jaybarrow.Record, 0, len(records))
	for _, r := range records {
		decoded = append(decoded, jaybarrow.Record{
			Key: jaybarrow.Key(r.Key), Value: r.Value, Revision: jaybarrow.Revision(r.Revision), Deleted: r.Deleted,
		})
	}
	return decoded
}
