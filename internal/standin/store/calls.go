package store

import "sync"

// CallKind is a kind of call that is counted.
type CallKind string

// The kinds of calls.
const (
	CallRange     CallKind = "range"
	CallTxn       CallKind = "txn"
	CallGrant     CallKind = "leaseGrant"
	CallKeepAlive CallKind = "leaseKeepAlive"
	CallRevoke    CallKind = "leaseRevoke"
	CallWatch     CallKind = "watch"
	CallHosts     CallKind = "hosts"
	CallReboot    CallKind = "reboot"
)

// counter counts every call that arrives, failed ones included; a watch counts once.
type counter struct {
	lock  sync.Mutex
	calls map[CallKind]int64
}

func (c *counter) add(kind CallKind) {
	c.lock.Lock()
	defer c.lock.Unlock()
	c.calls[kind]++
}

func (c *counter) snapshot() map[CallKind]int64 {
	c.lock.Lock()
	defer c.lock.Unlock()
	all := make(map[CallKind]int64, len(c.calls))
	for kind, n := range c.calls {
		all[kind] = n
	}
	return all
}
