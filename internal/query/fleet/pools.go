package fleet

import (
	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/internal/directory"
)

// Pool is a pool with its numbers of hosts and drains.
type Pool struct {
	jaybarrow.Pool
	Revision jaybarrow.Revision `json:"revision"`
	Hosts    int                `json:"hosts"`
	Drains   int                `json:"drains"`
}

// NewPools returns the handlers of the queries for all pools and for one pool.
func NewPools(d *directory.Directory) (*ListHandler[jaybarrow.PoolID, jaybarrow.Pool, Pool], *GetHandler[jaybarrow.PoolID, jaybarrow.Pool, Pool]) {
	return newHandlers(d.Pools, "pool", func(id jaybarrow.PoolID, v directory.Versioned[jaybarrow.Pool]) Pool {
		drains, _ := d.Drains.Get(id)
		view := Pool{Pool: v.Value, Revision: v.Revision, Drains: len(drains.Drains)}
		d.Hosts.Each(func(_ jaybarrow.HostID, h jaybarrow.Host) {
			if h.Pool == id {
				view.Hosts++
			}
		})
		return view
	})
}

// Queue is a queue with its revision.
type Queue struct {
	jaybarrow.Queue
	Revision jaybarrow.Revision `json:"revision"`
}

// NewQueues returns the handlers of the queries for all queues and for one queue.
func NewQueues(d *directory.Directory) (*ListHandler[jaybarrow.QueueID, jaybarrow.Queue, Queue], *GetHandler[jaybarrow.QueueID, jaybarrow.Queue, Queue]) {
	return newHandlers(d.Queues, "queue", func(_ jaybarrow.QueueID, v directory.Versioned[jaybarrow.Queue]) Queue {
		return Queue{v.Value, v.Revision}
	})
}

// Drains holds the drains of one pool.
type Drains struct {
	jaybarrow.PoolDrains
	Revision jaybarrow.Revision `json:"revision"`
}

// NewDrains returns the handler of the query for the drains of all pools.
func NewDrains(d *directory.Directory) *ListHandler[jaybarrow.PoolID, jaybarrow.PoolDrains, Drains] {
	all, _ := newHandlers(d.Drains, "drains of pool", func(_ jaybarrow.PoolID, v directory.Versioned[jaybarrow.PoolDrains]) Drains {
		return Drains{v.Value, v.Revision}
	})
	return all
}
