package notify

import "sync"

// Notifier provides channels that are closed at the next change.
type Notifier struct {
	lock    sync.Mutex
	changed chan struct{}
}

// New returns a Notifier.
func New() *Notifier { return &Notifier{changed: make(chan struct{})} }

// Changed returns a channel that is closed at the next Signal.
func (n *Notifier) Changed() <-chan struct{} {
	n.lock.Lock()
	defer n.lock.Unlock()
	return n.changed
}

// Signal wakes every waiter.
func (n *Notifier) Signal() {
	n.lock.Lock()
	defer n.lock.Unlock()
	close(n.changed)
	n.changed = make(chan struct{})
}
