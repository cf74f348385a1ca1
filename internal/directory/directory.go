package directory

import (
	"errors"
	"slices"
	"sync/atomic"

	"github.com/jaybarrow/jaybarrow"
)

// Directory is the local copy of all records; its methods may be called concurrently.
type Directory struct {
	Teams      *Table[jaybarrow.TeamID, jaybarrow.Team]
	AccessKeys *Table[jaybarrow.KeyHash, jaybarrow.AccessKey]
	Pools      *Table[jaybarrow.PoolID, jaybarrow.Pool]
	Queues     *Table[jaybarrow.QueueID, jaybarrow.Queue]
	Hosts      *Table[jaybarrow.HostID, jaybarrow.Host]
	Drains     *Table[jaybarrow.PoolID, jaybarrow.PoolDrains]
	Allotments *Table[jaybarrow.TeamID, jaybarrow.Allotment]
	Entries    *Table[jaybarrow.EntryID, jaybarrow.EntryHost]

	applied atomic.Int64 // revision
	newest  atomic.Int64 // revision
}

// New returns an empty Directory.
func New() *Directory {
	return &Directory{
		Teams:      newTable[jaybarrow.TeamID, jaybarrow.Team](jaybarrow.TeamPrefix),
		AccessKeys: newTable[jaybarrow.KeyHash, jaybarrow.AccessKey](jaybarrow.AccessKeyPrefix),
		Pools:      newTable[jaybarrow.PoolID, jaybarrow.Pool](jaybarrow.PoolPrefix),
		Queues:     newTable[jaybarrow.QueueID, jaybarrow.Queue](jaybarrow.QueuePrefix),
		Hosts:      newTable[jaybarrow.HostID, jaybarrow.Host](jaybarrow.HostPrefix),
		Drains:     newTable[jaybarrow.PoolID, jaybarrow.PoolDrains](jaybarrow.DrainPrefix),
		Allotments: newTable[jaybarrow.TeamID, jaybarrow.Allotment](jaybarrow.AllotmentPrefix),
		Entries:    newTable[jaybarrow.EntryID, jaybarrow.EntryHost](jaybarrow.EntryPrefix),
	}
}

// Apply applies the records that are newer than the copy. reached is the revision up to which all changes are now known, or 0
// when the records are not a complete sequence. Records that cannot be decoded are left out and returned as an error.
func (d *Directory) Apply(records []jaybarrow.Record, reached jaybarrow.Revision) error {
	var errs []error
	for _, record := range records {
		if err := d.apply(record); err != nil {
			errs = append(errs, err)
		}
	}
	raiseTo(&d.applied, reached)
	return errors.Join(errs...)
}

func (d *Directory) apply(record jaybarrow.Record) error {
	for _, t := range d.tables() {
		applied, err := t.apply(record)
		if applied {
			raiseTo(&d.newest, record.Revision)
		}
		if applied || err != nil {
			return err
		}
	}
	return nil
}

// raiseTo sets the value to the revision if that is higher.
func raiseTo(value *atomic.Int64, revision jaybarrow.Revision) {
	for {
		old := value.Load()
		if int64(revision) <= old || value.CompareAndSwap(old, int64(revision)) {
			return
		}
	}
}

// table is the interface of a Table of any type to the Directory.
type table interface {
	apply(record jaybarrow.Record) (bool, error)
	since(after jaybarrow.Revision) []jaybarrow.Record
	deletionsFor(listed map[jaybarrow.Key]bool, at jaybarrow.Revision) []jaybarrow.Record
}

func (d *Directory) tables() []table {
	return []table{d.Teams, d.AccessKeys, d.Pools, d.Queues, d.Hosts, d.Drains, d.Allotments, d.Entries}
}

// ApplyList applies a complete list of all records at the revision. A known record that is older than the revision and missing
// from the list has been deleted. A list older than the copy is not applied; ApplyList then returns false.
func (d *Directory) ApplyList(records []jaybarrow.Record, at jaybarrow.Revision) (bool, error) {
	if at < d.Applied() {
		return false, nil
	}
	listed := make(map[jaybarrow.Key]bool, len(records))
	for _, r := range records {
		listed[r.Key] = true
	}
	all := slices.Clone(records)
	for _, t := range d.tables() {
		all = append(all, t.deletionsFor(listed, at)...)
	}
	return true, d.Apply(all, at)
}

// Since returns the encoded records changed after the revision, deletions included, and the revision up to which the answer is
// complete. Deletions are kept until the process ends: ids are reused (an entry host keeps its id when it is
// replaced), so their number is bounded by the number of ids ever used.
func (d *Directory) Since(after jaybarrow.Revision) ([]jaybarrow.Record, jaybarrow.Revision) {
	// The revision is read first, so that a change that is applied while the records are read does not count as included.
	reached := d.Applied()
	var newer []jaybarrow.Record
	for _, t := range d.tables() {
		newer = append(newer, t.since(after)...)
	}
	return newer, reached
}

// Newest returns the revision of the newest applied record; earlier changes may still be missing.
func (d *Directory) Newest() jaybarrow.Revision { return jaybarrow.Revision(d.newest.Load()) }

// Applied returns the revision up to which all changes are applied, or 0 before the first.
func (d *Directory) Applied() jaybarrow.Revision { return jaybarrow.Revision(d.applied.Load()) }
