package clientlimit

import "github.com/jaybarrow/jaybarrow/internal/budget"

// Machine is what the machine gives a process.
type Machine struct {
	Memory      budget.Bytes // above which the process is killed
	Descriptors int          // that the process may open
}

// Limits bound what all clients together can make a process hold.
type Limits struct {
	Callers  int // connections of callers
	Balancer int // connections for readiness checks
	Metrics  int // connections for metrics
	Peers    int // connections of other entry hosts
	Calls    int // calls of other entry hosts in progress

	Bodies   budget.Bytes // requests' bodies and their decoded forms
	Messages budget.Bytes // received parts of messages of other entry hosts that are not complete
	Answers  budget.Bytes // answers of the store, the workers and other servers, beyond FreeAnswerBytes each
}

// The parts of a machine that the limits may take. The rest of the memory is for live data, of which a leader may have 55%, and garbage.
const (
	reservedDescriptors = 200 // for files
	minDescriptors      = 300 // of a machine; less leaves nothing for connections
	maxDescriptors      = 1 << 20
	callerFraction      = 4 // a quarter of the descriptors is for callers, half or more for calls to the store, workers and peers
	peerFraction        = 8
	connectionMemory    = 6        // connections of callers take up to a sixth of the memory
	connectionBytes     = 40 << 10 // buffers and stack of a connection whose headers are being read
	peerMemory          = 16       // connections of peers take up to a sixteenth of the memory
	peerBytes           = 64 << 10 // the gRPC library's buffers for reading and writing, 32 KB each
	bodyMemory          = 8
	messageMemory       = 8
	answerMemory        = 8
	callMemory          = 8
	callBytes           = 16 << 10 // stack and buffers of a call in progress
)

// The smallest and the largest limits. Even a small machine serves one request with the largest body, and a large one needs no more
// connections for checks and metrics.
const (
	minConnections = 32
	maxCallers     = 16_384
	maxPeers       = 1024
	maxBalancer    = 64
	maxMetrics     = 16
	minCalls       = 1000
	minBytes       = 8 << 20
	maxBytes       = 1 << 30
)

// defaultMachine replaces what is not known of a machine.
var defaultMachine = Machine{Memory: 256 << 20, Descriptors: 4096}

// Plan returns the limits for a machine.
//
// Load pattern: many clients that connect, announce and send as much as they can. What they can hold together has to fit beside the live data
// of the process, and their connections must leave descriptors for the calls by which the process does its work.
func Plan(m Machine) Limits {
	if m.Memory <= 0 {
		m.Memory = defaultMachine.Memory
	}
	if m.Descriptors <= 0 {
		m.Descriptors = defaultMachine.Descriptors
	}
	connections := min(max(m.Descriptors, minDescriptors), maxDescriptors) - reservedDescriptors
	share := func(fraction budget.Bytes) budget.Bytes { return min(max(m.Memory/fraction, minBytes), maxBytes) }
	return Limits{
		Callers:  min(max(min(connections/callerFraction, int(m.Memory/connectionMemory/connectionBytes)), minConnections), maxCallers),
		Peers:    min(max(min(connections/peerFraction, int(m.Memory/peerMemory/peerBytes)), minConnections), maxPeers),
		Balancer: min(max(connections/peerFraction, minConnections), maxBalancer),
		Metrics:  maxMetrics,
		Calls:    max(int(m.Memory/callMemory/callBytes), minCalls),
		Bodies:   share(bodyMemory), Messages: share(messageMemory), Answers: share(answerMemory),
	}
}
