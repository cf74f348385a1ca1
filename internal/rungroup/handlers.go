package rungroup

import (
	"time"

	"github.com/rs/zerolog"
)

const (
	// exitDelay is the time between a fault and the end of the process, in which a term that was resigned revokes its lease.
	exitDelay = 100 * time.Millisecond
	// flushTimeout bounds the wait for the queued log lines, since nobody may be reading them.
	flushTimeout = time.Second
)

// EndProcess returns a Handler that logs the fault, waits until flush has written the queued log lines, at most a second, and calls
// exit, so that the supervisor of the process starts it again.
func EndProcess(log zerolog.Logger, flush, exit func()) Handler {
	return func(f Fault) {
		logFault(log, f, "a part of the process has failed; the process ends")
		time.Sleep(exitDelay)
		flushed := make(chan struct{})
		go func() {
			defer close(flushed)
			flush()
		}()
		select {
		case <-flushed:
		case <-time.After(flushTimeout):
		}
		exit()
	}
}

// EndTerm returns a Handler that logs the fault and resigns the term.
func EndTerm(log zerolog.Logger, resign func(reason string)) Handler {
	return func(f Fault) {
		logFault(log, f, "a part of the term has failed; the term ends")
		resign(string(f.Part) + ": " + f.Cause.Error())
	}
}

func logFault(log zerolog.Logger, f Fault, message string) {
	log.Error().Str("failed", string(f.Part)).Str("fault", f.Cause.Error()).Str("stack", f.Stack).Msg(message)
}
