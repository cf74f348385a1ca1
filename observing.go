package jaybarrow

import "time"

// SubjectKind is the kind of object that a decision is about.
type SubjectKind string

// The kinds of subjects.
const (
	SubjectRequest SubjectKind = "request"
	SubjectHost    SubjectKind = "host"
	SubjectTeam    SubjectKind = "team"
	SubjectPool    SubjectKind = "pool"
)

// Subject names what a decision is about.
type Subject struct {
	Kind SubjectKind `json:"kind"`
	ID   string      `json:"id"`
}

// Journal keeps a bounded record of decisions, for explanations.
type Journal interface {
	// Note records a decision and its reason in one short line each, such as "refused" and "limit 40 of team trail is used".
	Note(subject Subject, decision, reason string)
}

// Meter records the measurements that the metrics are computed from.
type Meter interface {
	// Started records how long a request waited for its start.
	Started(team TeamID, class Class, waited time.Duration)
	// Answered records how long a request took and the kind of its error; an empty kind means success.
	Answered(team TeamID, class Class, kind ErrorKind, took time.Duration)
	// Served records slot time that a team's task has used.
	Served(team TeamID, slots Slots, ran time.Duration)
}
