package fleet

import (
	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/internal/directory"
)

// Ejections says which hosts this entry host has ejected after failures.
type Ejections interface {
	Ejected(host jaybarrow.HostID) bool
}

// Host is a host with its drain, the platform's word on it and its health as seen from the entry host that answers.
type Host struct {
	jaybarrow.Host
	Revision  jaybarrow.Revision      `json:"revision"`
	Drain     *jaybarrow.Drain        `json:"drain,omitempty"`
	Condition jaybarrow.HostCondition `json:"condition,omitempty"`   // absent without the platform's list
	Ejected   *bool                   `json:"ejectedHere,omitempty"` // absent when health is not observed
}

// NewHosts returns the queries for all hosts and for one host; nil conditions or ejections are left out.
func NewHosts(d *directory.Directory, conditions jaybarrow.HostConditions, ejections Ejections) (*All[jaybarrow.HostID, jaybarrow.Host, Host], *One[jaybarrow.HostID, jaybarrow.Host, Host]) {
	return pair(d.Hosts, "host", func(id jaybarrow.HostID, v directory.Versioned[jaybarrow.Host]) Host {
		view := Host{Host: v.Value, Revision: v.Revision}
		if conditions != nil {
			view.Condition = conditions.Condition(string(id))
		}
		if ejections != nil {
			ejected := ejections.Ejected(id)
			view.Ejected = &ejected
		}
		drains, _ := d.Drains.Get(v.Value.Pool)
		if drain, ok := drains.Drains[id]; ok {
			view.Drain = &drain
		}
		return view
	})
}

// EntryHost is the presence of an entry host.
type EntryHost struct {
	jaybarrow.EntryHost
	Revision jaybarrow.Revision `json:"revision"`
}

// NewEntryHosts returns the query for all entry hosts.
func NewEntryHosts(d *directory.Directory) *All[jaybarrow.EntryID, jaybarrow.EntryHost, EntryHost] {
	all, _ := pair(d.Entries, "entry host", func(_ jaybarrow.EntryID, v directory.Versioned[jaybarrow.EntryHost]) EntryHost {
		return EntryHost{v.Value, v.Revision}
	})
	return all
}
