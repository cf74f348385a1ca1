package store

import "sync"

// CallKind is the kind of a platform call.
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

// counter counts every call that arrives, including failed ones. A watch counts as one call.
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
