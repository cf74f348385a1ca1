package logging

import (
	"io"

	"github.com/rs/zerolog"
)

// Part names a part of the program; log lines carry it in the field "part".
type Part string

// New returns a logger that writes JSON lines at or above the level; an empty level means info.
func New(w io.Writer, level string) (zerolog.Logger, error) {
	parsed, err := zerolog.ParseLevel(level)
	if err != nil {
		return zerolog.Nop(), err
	}
	if parsed == zerolog.NoLevel {
		parsed = zerolog.InfoLevel
	}
	return zerolog.New(zerolog.SyncWriter(w)).Level(parsed).With().Timestamp().Logger(), nil
}

// For returns a logger that adds the part to each line.
func For(log zerolog.Logger, part Part) zerolog.Logger {
	return log.With().Str("part", string(part)).Logger()
}
