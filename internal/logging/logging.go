// Package logging makes the loggers of the programs.
package logging

import (
	"io"

	"github.com/rs/zerolog"
)

// New returns a logger to out. No level, or an unknown one, means info.
func New(out io.Writer, level string) zerolog.Logger {
	l, err := zerolog.ParseLevel(level)
	if err != nil || level == "" {
		l = zerolog.InfoLevel
	}
	zerolog.TimeFieldFormat = zerolog.TimeFormatUnixMicro
	return zerolog.New(out).Level(l).With().Timestamp().Logger()
}
