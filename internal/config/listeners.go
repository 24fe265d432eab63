package config

import (
	"strings"

	"go.uber.org/zap/zapcore"
)

// Formats of log lines.
const (
	LogJSON    = "json"
	LogConsole = "console"
)

// Log is the section [log]: the level and the format of the log.
type Log struct {
	Level  string `toml:"level"` // minimum level: debug, info, warn or error
	Format string `toml:"form"`  // LogJSON or LogConsole
}

func (l *Log) setDefaults() {
	setDefault(&l.Level, zapcore.InfoLevel.String())
	setDefault(&l.Format, LogJSON)
}

func (l *Log) validate() error {
	if _, err := zapcore.ParseLevel(l.Level); err != nil {
		return keyError("log.level", "%q is not one of \"debug\", \"info\", \"warn\", \"error\"", l.Level)
	}
	if l.Format != LogJSON && l.Format != LogConsole {
		return keyError("log.form", "%q is not one of %q, %q", l.Format, LogJSON, LogConsole)
	}
	return nil
}

// UnixPrefix precedes the path in the address of a unix socket.
const UnixPrefix = "unix:"

// Control is the section [control]: the listener of the control interface.
type Control struct {
	Listen    string `toml:"listen"`     // loopback address, or UnixPrefix and a path; "" for none
	TokenFile string `toml:"token_file"` // path of the file with the token; required for a TCP listener
}

func (c *Control) validate() error {
	if c.Listen == "" {
		return nil
	}
	if path, ok := strings.CutPrefix(c.Listen, UnixPrefix); ok {
		if path == "" {
			return keyError("control.listen", "\"unix:\" has no path")
		}
		return nil
	}
	if err := validateLoopback("control.listen", c.Listen); err != nil {
		return err
	}
	if c.TokenFile == "" {
		return keyError("control.token_file", "missing; required for a TCP listener")
	}
	return nil
}

// Metrics is the section [metrics]: the listener for Prometheus.
type Metrics struct {
	Listen string `toml:"listen"` // loopback address of GET /metrics, host:port; "" for none
}

func (m *Metrics) validate() error { return validateOptionalLoopback("metrics.listen", m.Listen) }
