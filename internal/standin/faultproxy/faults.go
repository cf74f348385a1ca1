package faultproxy

// Direction is the direction of bytes through the proxy.
type Direction string

// The directions.
const (
	Up   Direction = "up"   // from the client to the target
	Down Direction = "down" // from the target to the client
)

// DirectionFaults holds the faults of one direction.
type DirectionFaults struct {
	DelayMs int64 `json:"delayMs,omitempty"` // added to the transfer of every byte
	Frozen  bool  `json:"frozen,omitempty"`  // bytes and the end of the stream are accepted, but forwarded only when the fault ends
}

// Faults are the faults of a Proxy.
type Faults struct {
	Refuse      bool            `json:"refuse,omitempty"` // new connections are refused
	Up          DirectionFaults `json:"up"`
	Down        DirectionFaults `json:"down"`
	DropAnswers int             `json:"dropAnswers,omitempty"` // number of answers to drop with their connections, or DropAll
}

// DropAll is the value of DropAnswers that drops every answer.
const DropAll = -1

func (f Faults) directionFaults(d Direction) DirectionFaults {
	if d == Up {
		return f.Up
	}
	return f.Down
}
