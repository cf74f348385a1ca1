package identity

import (
	"crypto/rand"
	"strconv"
	"sync/atomic"

	"github.com/google/uuid"

	"github.com/jaybarrow/jaybarrow"
)

// NewRequestID returns a unique request id.
func NewRequestID() jaybarrow.RequestID { return jaybarrow.RequestID(uuid.NewString()) }

// NewChangeID returns a unique change id.
func NewChangeID() jaybarrow.ChangeID { return jaybarrow.ChangeID(uuid.NewString()) }

// NewSecret returns a new key for callers, with at least 128 random bits.
func NewSecret() string { return "jb-" + rand.Text() }

// TaskIDs generates task ids that are unique across all entry hosts and incarnations.
type TaskIDs struct {
	prefix string
	next   atomic.Int64
}

// NewTaskIDs returns a generator for this process.
func NewTaskIDs() *TaskIDs { return &TaskIDs{prefix: uuid.NewString()[:18]} }

// New returns a new task id. It ignores the request; each attempt to run a request gets an id of its own.
func (t *TaskIDs) New(jaybarrow.RequestID) jaybarrow.TaskID {
	return jaybarrow.TaskID(t.prefix + "-" + strconv.FormatInt(t.next.Add(1), 10))
}
