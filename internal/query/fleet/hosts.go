package fleet

import (
	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/internal/directory"
)

// Ejections reports which hosts this entry host has ejected because of failures.
type Ejections interface {
	Ejected(host jaybarrow.HostID) bool
}

// Host is a host with its drain, its condition in the platform's host list and its health as seen by the entry host that answers.
type Host struct {
	jaybarrow.Host
	Revision  jaybarrow.Revision      `json:"revision"`
	Drain     *jaybarrow.Drain        `json:"drain,omitempty"`
	Condition jaybarrow.HostCondition `json:"condition,omitempty"`   // absent without the platform's host list
	Ejected   *bool                   `json:"ejectedHere,omitempty"` // absent when health is not observed
}

// NewHosts returns the handlers of the queries for all hosts and for one host. Without conditions or ejections, which may be nil,
// the results omit them.
func NewHosts(d *directory.Directory, conditions jaybarrow.HostConditions, ejections Ejections) (*ListHandler[jaybarrow.HostID, jaybarrow.Host, Host], *GetHandler[jaybarrow.HostID, jaybarrow.Host, Host]) {
	return newHandlers(d.Hosts, "host", func(id jaybarrow.HostID, v directory.Versioned[jaybarrow.Host]) Host {
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

// EntryHost is the presence record of an entry host with its revision.
type EntryHost struct {
	jaybarrow.EntryHost
	Revision jaybarrow.Revision `json:"revision"`
}

// NewEntryHosts returns the handler of the query for all entry hosts.
func NewEntryHosts(d *directory.Directory) *ListHandler[jaybarrow.EntryID, jaybarrow.EntryHost, EntryHost] {
	all, _ := newHandlers(d.Entries, "entry host", func(_ jaybarrow.EntryID, v directory.Versioned[jaybarrow.EntryHost]) EntryHost {
		return EntryHost{v.Value, v.Revision}
	})
	return all
}
