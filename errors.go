package jaybarrow

import (
	"errors"
	"fmt"
	"net/http"
	"time"
)

// ErrorKind is one of the fixed set of error kinds that callers and operators see.
type ErrorKind string

// The error kinds.
const (
	KindBadRequest           ErrorKind = "badRequest"
	KindBodyTooLarge         ErrorKind = "bodyTooLarge"
	KindBodyTruncated        ErrorKind = "bodyTruncated"
	KindBadKey               ErrorKind = "badKey"
	KindForbidden            ErrorKind = "forbidden"
	KindUnknownQueue         ErrorKind = "unknownQueue"
	KindNotFound             ErrorKind = "notFound"
	KindNeverRunnable        ErrorKind = "neverRunnable"
	KindQueueFull            ErrorKind = "queueFull"
	KindNoRoom               ErrorKind = "noRoom"
	KindDeadlineUnattainable ErrorKind = "deadlineUnattainable"
	KindDeadlinePassed       ErrorKind = "deadlinePassed"
	KindNoPermit             ErrorKind = "noPermit"
	KindDuplicateRequest     ErrorKind = "duplicateRequest"
	KindClaimUnavailable     ErrorKind = "claimUnavailable"
	KindStaleConfiguration   ErrorKind = "staleConfiguration"
	KindCancelled            ErrorKind = "cancelled"
	KindWorkerRefused        ErrorKind = "workerRefused"
	KindWorkerFailed         ErrorKind = "workerFailed"
	KindWorkerLost           ErrorKind = "workerLost"
	KindPeerLost             ErrorKind = "peerLost"
	KindHandOver             ErrorKind = "handOver"
	KindShuttingDown         ErrorKind = "shuttingDown"
	KindConflict             ErrorKind = "conflict"
	KindBudgetSpent          ErrorKind = "budgetSpent"
	KindStoreUnavailable     ErrorKind = "storeUnavailable"
	KindInternal             ErrorKind = "internal"
)

// Effect says whether the request ran.
type Effect string

// The effects.
const (
	EffectRan        Effect = "ran"
	EffectNotRun     Effect = "notRun"
	EffectMayHaveRun Effect = "mayHaveRun"
)

// KindInfo describes how errors of a kind are answered.
type KindInfo struct {
	Status    int    // HTTP status
	Effect    Effect // default effect; an Error may carry another one
	Retryable bool   // whether the same request may succeed later
}

var kindInfos = map[ErrorKind]KindInfo{
	KindBadRequest:           {http.StatusBadRequest, EffectNotRun, false},
	KindBodyTooLarge:         {http.StatusRequestEntityTooLarge, EffectNotRun, false},
	KindBodyTruncated:        {http.StatusBadRequest, EffectNotRun, true},
	KindBadKey:               {http.StatusUnauthorized, EffectNotRun, false},
	KindForbidden:            {http.StatusForbidden, EffectNotRun, false},
	KindUnknownQueue:         {http.StatusNotFound, EffectNotRun, false},
	KindNotFound:             {http.StatusNotFound, EffectNotRun, false},
	KindNeverRunnable:        {http.StatusUnprocessableEntity, EffectNotRun, false},
	KindQueueFull:            {http.StatusTooManyRequests, EffectNotRun, true},
	KindNoRoom:               {http.StatusServiceUnavailable, EffectNotRun, true},
	KindDeadlineUnattainable: {http.StatusTooManyRequests, EffectNotRun, true},
	KindDeadlinePassed:       {http.StatusGatewayTimeout, EffectNotRun, true},
	KindNoPermit:             {http.StatusTooManyRequests, EffectNotRun, true},
	KindDuplicateRequest:     {http.StatusConflict, EffectMayHaveRun, false},
	KindClaimUnavailable:     {http.StatusServiceUnavailable, EffectNotRun, true},
	KindStaleConfiguration:   {http.StatusServiceUnavailable, EffectNotRun, true},
	KindCancelled:            {499, EffectNotRun, false},
	KindWorkerRefused:        {http.StatusServiceUnavailable, EffectNotRun, true},
	KindWorkerFailed:         {http.StatusBadGateway, EffectRan, false},
	KindWorkerLost:           {http.StatusGatewayTimeout, EffectMayHaveRun, false},
	KindPeerLost:             {http.StatusBadGateway, EffectMayHaveRun, false},
	KindHandOver:             {http.StatusServiceUnavailable, EffectNotRun, true},
	KindShuttingDown:         {http.StatusServiceUnavailable, EffectNotRun, true},
	KindConflict:             {http.StatusConflict, EffectNotRun, true},
	KindBudgetSpent:          {http.StatusConflict, EffectNotRun, true},
	KindStoreUnavailable:     {http.StatusServiceUnavailable, EffectMayHaveRun, true},
	KindInternal:             {http.StatusInternalServerError, EffectMayHaveRun, false},
}

// Kinds returns every error kind with its description.
func Kinds() map[ErrorKind]KindInfo {
	infos := make(map[ErrorKind]KindInfo, len(kindInfos))
	for kind, info := range kindInfos {
		infos[kind] = info
	}
	return infos
}

// Info returns the description of the kind, and that of KindInternal for an unknown kind.
func (k ErrorKind) Info() KindInfo {
	if info, ok := kindInfos[k]; ok {
		return info
	}
	return kindInfos[KindInternal]
}

// Error is an error of one of the kinds, with its effect on the request.
type Error struct {
	Kind    ErrorKind
	Effect  Effect
	Message string
	Cause   error
	// RetryAfter is when the same request may succeed; 0 when that is not known.
	RetryAfter time.Duration
}

// Error returns the kind and the message.
func (e *Error) Error() string {
	return fmt.Sprintf("%s: %s", e.Kind, e.Message)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// Errorf returns an Error with the kind's default effect; a %w operand becomes its cause.
func Errorf(kind ErrorKind, format string, args ...any) *Error {
	wrapped := fmt.Errorf(format, args...)
	return &Error{Kind: kind, Effect: kind.Info().Effect, Message: wrapped.Error(), Cause: errors.Unwrap(wrapped)}
}

// WithEffect returns a copy of the error with another effect.
func (e *Error) WithEffect(effect Effect) *Error {
	c := *e
	c.Effect = effect
	return &c
}

// WithRetryAfter returns a copy of the error with the time after which the same request may succeed.
func (e *Error) WithRetryAfter(d time.Duration) *Error {
	c := *e
	c.RetryAfter = d
	return &c
}

// AsError returns the Error that err is or wraps, or else a KindInternal error that wraps err.
func AsError(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return &Error{Kind: KindInternal, Effect: EffectMayHaveRun, Message: err.Error(), Cause: err}
}

// IsKind reports whether err is or wraps an Error of the kind.
func IsKind(err error, kind ErrorKind) bool {
	var e *Error
	return errors.As(err, &e) && e.Kind == kind
}
