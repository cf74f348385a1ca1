package budget

import "time"

// The cost of one host in a list of hosts: its bytes, and the processor time to decode it and to decide on it.
const (
	listedHostBytes     Bytes = 220
	listedHostProcessor       = 4 * time.Microsecond
)

// The shares of the link and of the processor that lists of hosts may use.
const (
	hostListLinkShare      = 0.1
	hostListProcessorShare = 0.05
)

// HostListInterval returns the time between two reads of the list of hosts, at least least.
//
// Load pattern: a list of all hosts is read again and again while the demand moves between pools. On a slow link the list alone can take
// all of it.
func (h Host) HostListInterval(hosts int, least time.Duration) time.Duration {
	n := max(0, hosts)
	return max(least, h.intervalFor(Bytes(n)*listedHostBytes, time.Duration(n)*listedHostProcessor, hostListLinkShare, hostListProcessorShare))
}
