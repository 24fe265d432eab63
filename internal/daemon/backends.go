package daemon

import (
	"time"

	"standpoint/internal/backend"
)

// backendsComponent creates the connections over which attempts are sent to backends.
func backendsComponent(a *assembly) (component, error) {
	_, names, _ := a.requestSettings()
	options := backend.Options{
		DialTimeout:        names.DialTimeout,
		BackendIdleTimeout: names.IdleTimeout,
		MaxIdlePerBackend:  a.limits.MaxIdleConnections(),
		MaxConnections:     a.limits.MaxRequests(),
		OnWritten:          a.counters.CountAttempt,
		Memory:             a.memory,
		Work:               a.work,
		Log:                a.log,
	}
	if a.operator != nil {
		cfg := &a.operator.BatchBackend
		options.Batch = backend.BatchOptions{
			GatherTime:   time.Duration(cfg.GatherDelay),
			MaxLines:     cfg.MaxLines,
			PollInterval: time.Duration(cfg.PollInterval),
			LostTimeout:  time.Duration(cfg.LostTimeout),
		}
	}
	a.backends = backend.New(options)
	reload := func(next deployment) {
		_, names, _ := next.requestSettings()
		limits := next.limits
		a.backends.Adjust(names.DialTimeout, names.IdleTimeout, limits.MaxIdleConnections(), limits.MaxRequests())
	}
	return component{name: "backends", reload: reload}, nil
}
