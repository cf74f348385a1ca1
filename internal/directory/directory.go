package directory

import (
	"errors"
	"sync/atomic"

	"github.com/jaybarrow/jaybarrow"
)

// Directory is the local copy of all records.
type Directory struct {
	Teams      *Table[jaybarrow.TeamID, jaybarrow.Team]
	AccessKeys *Table[jaybarrow.KeyHash, jaybarrow.AccessKey]
	Pools      *Table[jaybarrow.PoolID, jaybarrow.Pool]
	Queues     *Table[jaybarrow.QueueID, jaybarrow.Queue]
	Hosts      *Table[jaybarrow.HostID, jaybarrow.Host]
	Drains     *Table[jaybarrow.PoolID, jaybarrow.PoolDrains]
	Allotments *Table[jaybarrow.TeamID, jaybarrow.Allotment]
	Entries    *Table[jaybarrow.EntryID, jaybarrow.EntryHost]

	applied atomic.Int64
}

// New returns an empty Directory.
func New() *Directory {
	return &Directory{
		Teams:      newTable[jaybarrow.TeamID, jaybarrow.Team](jaybarrow.TeamPrefix),
		AccessKeys: newTable[jaybarrow.KeyHash, jaybarrow.AccessKey](jaybarrow.AccessPrefix),
		Pools:      newTable[jaybarrow.PoolID, jaybarrow.Pool](jaybarrow.PoolPrefix),
		Queues:     newTable[jaybarrow.QueueID, jaybarrow.Queue](jaybarrow.QueuePrefix),
		Hosts:      newTable[jaybarrow.HostID, jaybarrow.Host](jaybarrow.HostPrefix),
		Drains:     newTable[jaybarrow.PoolID, jaybarrow.PoolDrains](jaybarrow.DrainPrefix),
		Allotments: newTable[jaybarrow.TeamID, jaybarrow.Allotment](jaybarrow.PermitPrefix),
		Entries:    newTable[jaybarrow.EntryID, jaybarrow.EntryHost](jaybarrow.EntryPrefix),
	}
}

// Apply takes the records that are newer than the copy; reached is the revision up to which all changes are now known, or 0
// when the records are not a complete sequence. Records that cannot be decoded are left out and returned as an error.
func (d *Directory) Apply(records []jaybarrow.Record, reached jaybarrow.Revision) error {
	var faults []error
	for _, record := range records {
		if err := d.apply(record); err != nil {
			faults = append(faults, err)
		}
	}
	for {
		old := d.applied.Load()
		if int64(reached) <= old || d.applied.CompareAndSwap(old, int64(reached)) {
			return errors.Join(faults...)
		}
	}
}

func (d *Directory) apply(record jaybarrow.Record) error {
	for _, apply := range []func(jaybarrow.Record) (bool, error){
		d.Teams.apply, d.AccessKeys.apply, d.Pools.apply, d.Queues.apply,
		d.Hosts.apply, d.Drains.apply, d.Allotments.apply, d.Entries.apply,
	} {
		if applied, err := apply(record); applied || err != nil {
			return err
		}
	}
	return nil
}

// Applied returns the revision up to which all changes are known; 0 before the first.
func (d *Directory) Applied() jaybarrow.Revision { return jaybarrow.Revision(d.applied.Load()) }
