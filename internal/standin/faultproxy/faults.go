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
	DelayMs int64 `json:"delayMs,omitempty"` // added to every byte's way
	Frozen  bool  `json:"frozen,omitempty"`  // bytes, and the end of the stream, are accepted and not carried until the fault ends
}

// Faults are all faults that are switched on.
type Faults struct {
	Refuse      bool            `json:"refuse,omitempty"` // new connections are refused
	Up          DirectionFaults `json:"up"`
	Down        DirectionFaults `json:"down"`
	DropAnswers int             `json:"dropAnswers,omitempty"` // the next so many answers are dropped; DropAll: every answer
}

// DropAll makes DropAnswers apply to every answer.
const DropAll = -1

func (f Faults) path(d Direction) DirectionFaults {
	if d == Up {
		return f.Up
	}
	return f.Down
}
