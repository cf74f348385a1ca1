package jaybarrow

import "time"

// SubjectKind is the kind of thing that a decision is about.
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
	// Note records in one short line each what was decided and why, such as "refused" and "limit 40 of team trail is used".
	Note(subject Subject, decision, reason string)
}

// Meter takes the measurements that histograms are made of.
type Meter interface {
	// Started records how long a request waited for its start.
	Started(team TeamID, class Class, waited time.Duration)
	// Answered records how long a request took and how it ended; an empty kind means that it was answered.
	Answered(team TeamID, class Class, kind ErrorKind, took time.Duration)
	// Served records slot time that a team received.
	Served(team TeamID, slots Slots, ran time.Duration)
}
