package config

import (
	"strings"

	"go.uber.org/zap/zapcore"
)

// Forms of log lines.
const (
	LogJSON    = "json"
	LogConsole = "console"
)

// Log is the section [log].
type Log struct {
	Level  string `toml:"level"` // debug, info, warn or error
	Format string `toml:"form"`  // LogJSON or LogConsole
}

func (l *Log) setDefaults() {
	setDefault(&l.Level, zapcore.InfoLevel.String())
	setDefault(&l.Format, LogJSON)
}

func (l *Log) validate() error {
	if _, err := zapcore.ParseLevel(l.Level); err != nil {
		return keyError("log.level", "%q is none of debug, info, warn and error", l.Level)
	}
	if l.Format != LogJSON && l.Format != LogConsole {
		return keyError("log.form", "%q is neither %q nor %q", l.Format, LogJSON, LogConsole)
	}
	return nil
}

// UnixPrefix begins the address of a unix socket, in place of host:port.
const UnixPrefix = "unix:"

// Control is the section [control]: the listener of the control interface.
type Control struct {
	Listen    string `toml:"listen"` // a loopback address, or UnixPrefix and a path; "" for none
	TokenFile string `toml:"token_file"`
}

func (c *Control) validate() error {
	if c.Listen == "" {
		return nil
	}
	if path, ok := strings.CutPrefix(c.Listen, UnixPrefix); ok {
		if path == "" {
			return keyError("control.listen", "the path behind unix: is missing")
		}
		return nil
	}
	if err := validateLoopback("control.listen", c.Listen); err != nil {
		return err
	}
	if c.TokenFile == "" {
		return keyError("control.token_file", "missing; a TCP listener needs a token")
	}
	return nil
}

// Metrics is the section [metrics].
type Metrics struct {
	Listen string `toml:"listen"` // a loopback address for GET /metrics; "" for none
}

func (m *Metrics) validate() error { return validateOptionalLoopback("metrics.listen", m.Listen) }
