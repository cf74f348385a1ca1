package scheduler

import (
	"time"

	"github.com/rs/zerolog"

	"github.com/jaybarrow/jaybarrow"
)

// MemoryRetry is when a caller may return who was refused because the leader is short of memory: a host with more memory has taken over by
// then, if there is one.
const MemoryRetry = 10 * time.Second

// RefuseForMemory is the answer to every new job while the leader is short of memory.
func RefuseForMemory() jaybarrow.Admission {
	return jaybarrow.Admission{ShortOfMemory: true, RetryAfter: MemoryRetry}
}

// ShortOfMemory reports whether new jobs are refused for want of memory.
func (s *Scheduler) ShortOfMemory() bool { return s.memoryShort.Load() }

// sampleMemory updates memoryShort and logs a change of it. Only announceCongestion calls it.
func (s *Scheduler) sampleMemory() {
	if s.deps.LiveMemory == nil {
		return
	}
	live := s.deps.LiveMemory()
	short := s.memory.Sample(live)
	if short == s.memoryShort.Swap(short) {
		return
	}
	level, message := zerolog.InfoLevel, "memory suffices again; new jobs are accepted"
	if short {
		level, message = zerolog.WarnLevel, "memory is short; new jobs are refused, and a host with more memory may lead"
	}
	s.deps.Log.WithLevel(level).Int64("liveMb", int64(live)>>20).Int64("hostMb", int64(s.deps.Settings.Host.Memory)>>20).Msg(message)
}
