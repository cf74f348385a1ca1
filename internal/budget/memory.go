package budget

// The parts of a host's memory that live data may take. The rest is for garbage, goroutines and the program. Between the two a leader counts
// as short of memory, or not, as before.
const (
	memoryShortAt  = 0.55
	memoryEnoughAt = 0.45
)

// Memory tells whether a leader is short of memory. It is not safe for concurrent use.
//
// Load pattern: more accepted work than the leader's host holds. The platform kills a process that exceeds its memory, and its successors on
// hosts of the same size, so new work must be refused before.
type Memory struct {
	host  Host
	short bool
}

// NewMemory returns a Memory of the host, which is never short when the host's memory is unknown.
func NewMemory(h Host) *Memory { return &Memory{host: h} }

// Sample takes the size of the live data and reports whether memory is short.
func (m *Memory) Sample(live Bytes) bool {
	limit := memoryShortAt
	if m.short {
		limit = memoryEnoughAt
	}
	m.short = m.host.Memory > 0 && float64(live) >= limit*float64(m.host.Memory)
	return m.short
}
