package handover

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"

	"standpoint/internal/clock"
)

const (
	recordVersion = 1
	maxNames      = 8192 // of each kind in a record
	maxNameBytes  = 256
	maxFileBytes  = 8 << 20
)

// Record holds the overrides that operators have set, and what is needed to go by them. Times are instants of
// internal/clock; in the file they are readings of the machine's monotonic clock.
type Record struct {
	Version    int              `json:"version"`
	Boot       string           `json:"boot,omitempty"` // in the file only: the boot whose monotonic clock was read
	DownSince  map[string]int64 `json:"down"`           // backends marked down, by name
	RestoredAt map[string]int64 `json:"back"`           // backends marked up again, by name
	Listed     []string         `json:"seen"`           // names that were ever listed, the latest last
}

// RecordError reports a record that cannot be used. No part of it is used then.
type RecordError struct {
	Reason string
	Err    error // the cause, or nil
}

// Error implements error.
func (e *RecordError) Error() string {
	if e.Err != nil {
		return fmt.Sprintf("the record %s: %v", e.Reason, e.Err)
	}
	return "the record " + e.Reason
}

// Unwrap implements errors.Unwrap.
func (e *RecordError) Unwrap() error { return e.Err }

func recordError(format string, args ...any) error {
	return &RecordError{Reason: fmt.Sprintf(format, args...)}
}

// DecodeRecord decodes and validates a record. Its errors are *RecordError.
func DecodeRecord(raw []byte) (Record, error) {
	if len(raw) > maxFileBytes {
		return Record{}, recordError("has %d bytes, %d at most", len(raw), maxFileBytes)
	}
	var r Record
	if err := json.Unmarshal(raw, &r); err != nil {
		return Record{}, &RecordError{Reason: "cannot be read", Err: err}
	}
	if err := r.validate(); err != nil {
		return Record{}, err
	}
	return r.withDefaults(), nil
}

func (r *Record) validate() error {
	if r.Version != recordVersion {
		return recordError("is of version %d, this program knows %d", r.Version, recordVersion)
	}
	down := slices.Collect(maps.Keys(r.DownSince))
	restored := slices.Collect(maps.Keys(r.RestoredAt))
	for _, names := range [][]string{down, restored, r.Listed} {
		if len(names) > maxNames {
			return recordError("has %d names of a kind, %d at most", len(names), maxNames)
		}
		if slices.ContainsFunc(names, func(name string) bool { return name == "" || len(name) > maxNameBytes }) {
			return recordError("has a name that is empty, or longer than %d bytes", maxNameBytes)
		}
	}
	return nil
}

// withDefaults returns the record with maps that can be written to, and the present version.
func (r Record) withDefaults() Record {
	if r.DownSince == nil {
		r.DownSince = map[string]int64{}
	}
	if r.RestoredAt == nil {
		r.RestoredAt = map[string]int64{}
	}
	r.Version = recordVersion
	return r
}

// toShared converts a record from this process's instants to the machine's monotonic clock, which other processes of
// the machine understand even if the wall clock is stepped meanwhile.
func (r Record) toShared() Record {
	monotonic := func(instant int64) int64 { return clock.StampOf(instant).Monotonic }
	r.Boot = clock.BootID()
	r.DownSince = convertTimes(r.DownSince, monotonic)
	r.RestoredAt = convertTimes(r.RestoredAt, monotonic)
	return r
}

// toLocal converts a record to this process's instants. Times that were written before the machine was booted, or by a
// build that wrote wall times, become now: a backend that was marked up warms up once more.
func (r Record) toLocal(now int64) Record {
	instant := func(monotonic int64) int64 {
		if at, ok := (clock.Stamp{Boot: r.Boot, Monotonic: monotonic}).Instant(); ok {
			return at
		}
		return now
	}
	r.DownSince = convertTimes(r.DownSince, instant)
	r.RestoredAt = convertTimes(r.RestoredAt, instant)
	r.Boot = ""
	return r
}

func convertTimes(times map[string]int64, convert func(int64) int64) map[string]int64 {
	converted := make(map[string]int64, len(times))
	for name, at := range times {
		converted[name] = convert(at)
	}
	return converted
}
