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

// NewSecret returns a new key for callers; it carries at least 128 random bits.
func NewSecret() string { return "jb-" + rand.Text() }

// TaskIDs makes task ids that are unique over all entry hosts and incarnations.
type TaskIDs struct {
	process string
	next    atomic.Int64
}

// NewTaskIDs returns a source of task ids for this process.
func NewTaskIDs() *TaskIDs { return &TaskIDs{process: uuid.NewString()[:18]} }

// New returns a task id.
func (t *TaskIDs) New(jaybarrow.RequestID) jaybarrow.TaskID {
	return jaybarrow.TaskID(t.process + "-" + strconv.FormatInt(t.next.Add(1), 10))
}
