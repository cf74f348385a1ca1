package budget

import (
	"time"

	"github.com/jaybarrow/jaybarrow"
)

// Host is what the platform gives an entry host; a figure of 0 is unknown and sets no limit.
type Host struct {
	Cores  float64
	Link   jaybarrow.MegabitsPerSecond
	Memory Bytes // above which the platform kills a process
}

// Bytes counts bytes on the wire or in memory.
type Bytes int64

const bitsPerByte = 8

// linkRate returns a share of the link in bytes a second; 0 when the link is unknown.
func (h Host) linkRate(share float64) float64 {
	return share * float64(h.Link) * 1e6 / bitsPerByte
}

// intervalFor returns how often a task may repeat that moves the bytes and takes the processor time, within the shares of the link and
// the processor.
func (h Host) intervalFor(size Bytes, processor time.Duration, linkShare, processorShare float64) time.Duration {
	var out time.Duration
	if rate := h.linkRate(linkShare); rate > 0 {
		out = time.Duration(float64(size) / rate * float64(time.Second))
	}
	if h.Cores > 0 {
		out = max(out, time.Duration(float64(processor)/(processorShare*h.Cores)))
	}
	return out
}

// callBacklog is what may be queued at a link before a call: a page of a list, or a burst of orders.
const callBacklog Bytes = 48 << 10

// CallSlack returns how much longer than on a fast link an answer may take.
func (h Host) CallSlack() time.Duration {
	if h.Link <= 0 {
		return 0
	}
	return time.Duration(float64(callBacklog) / h.linkRate(1) * float64(time.Second))
}

// largestPage is the most that one answer of the store holds.
const largestPage Bytes = 1 << 20

// PageTime returns how long the largest page of a list takes on the link; the answers to other calls queue behind it. It is 0 when the link is
// unknown.
func (h Host) PageTime() time.Duration {
	if h.Link <= 0 {
		return 0
	}
	return time.Duration(float64(largestPage) / h.linkRate(1) * float64(time.Second))
}
