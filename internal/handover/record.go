package handover

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"

	"standpoint/internal/clock"
)

const (
	// recordVersion is the version of the record's format.
	recordVersion = 1
	// maxNames is the maximum number of names in each part of a record.
	maxNames = 8192
	// maxNameBytes is the maximum length of a name, in bytes.
	maxNameBytes = 256
	// maxFileBytes is the maximum size of the file with the record, and of that with the learned state, in bytes.
	maxFileBytes = 8 << 20
)

// Record holds the overrides that operators have set for backends, and the data needed to apply them. Times are
// instants of internal/clock; in the file they are readings of the machine's monotonic clock, in nanoseconds.
type Record struct {
	// Version is the version of the format.
	Version int `json:"version"`
	// Boot is the ID of the boot whose monotonic clock the times are readings of. It is set in the file only.
	Boot string `json:"boot,omitempty"`
	// DisabledAt holds the time at which each disabled backend was disabled, by the backend's name.
	DisabledAt map[string]int64 `json:"down"`
	// EnabledAt holds the time at which each backend that was enabled again was enabled, by the backend's name.
	EnabledAt map[string]int64 `json:"back"`
	// Listed holds the names of all backends that were ever in the endpoint list, the most recently added last.
	Listed []string `json:"seen"`
}

// RecordError is the error for a record that is invalid, of which no part is used.
type RecordError struct {
	// Reason says why the record is invalid.
	Reason string
	// Err is the underlying error; it may be nil.
	Err error
}

// Error implements error.
func (e *RecordError) Error() string {
	if e.Err != nil {
		return fmt.Sprintf("invalid record: %s: %v", e.Reason, e.Err)
	}
	return "invalid record: " + e.Reason
}

// Unwrap implements errors.Unwrap.
func (e *RecordError) Unwrap() error { return e.Err }

// recordError returns a RecordError with a formatted reason.
func recordError(format string, args ...any) error {
	return &RecordError{Reason: fmt.Sprintf(format, args...)}
}

// DecodeRecord decodes and validates a record. Its errors are *RecordError.
func DecodeRecord(raw []byte) (Record, error) {
	if len(raw) > maxFileBytes {
		return Record{}, recordError("size of %d bytes exceeds the maximum of %d", len(raw), maxFileBytes)
	}
	var r Record
	if err := json.Unmarshal(raw, &r); err != nil {
		return Record{}, &RecordError{Reason: "decode JSON", Err: err}
	}
	if err := r.validate(); err != nil {
		return Record{}, err
	}
	return r.withDefaults(), nil
}

// validate returns an error if the record has another version or exceeds a limit.
func (r *Record) validate() error {
	if r.Version != recordVersion {
		return recordError("unsupported version %d, supported is %d", r.Version, recordVersion)
	}
	down := slices.Collect(maps.Keys(r.DisabledAt))
	restored := slices.Collect(maps.Keys(r.EnabledAt))
	for _, names := range [][]string{down, restored, r.Listed} {
		if len(names) > maxNames {
			return recordError("%d names in one part exceed the maximum of %d", len(names), maxNames)
		}
		if slices.ContainsFunc(names, func(name string) bool { return name == "" || len(name) > maxNameBytes }) {
			return recordError("name is empty or longer than %d bytes", maxNameBytes)
		}
	}
	return nil
}

// withDefaults returns the record with non-nil maps and the current version.
func (r Record) withDefaults() Record {
	if r.DisabledAt == nil {
		r.DisabledAt = map[string]int64{}
	}
	if r.EnabledAt == nil {
		r.EnabledAt = map[string]int64{}
	}
	r.Version = recordVersion
	return r
}

// toShared converts the times of a record from instants of this process to readings of the machine's monotonic clock,
// which other processes of the machine can use even if the wall clock is stepped.
func (r Record) toShared() Record {
	monotonic := func(instant int64) int64 { return clock.StampOf(instant).Monotonic }
	r.Boot = clock.BootID()
	r.DisabledAt = convertTimes(r.DisabledAt, monotonic)
	r.EnabledAt = convertTimes(r.EnabledAt, monotonic)
	return r
}

// toLocal converts the times of a record to instants of this process. Times that were written before the machine's last
// boot, or by a build that wrote wall times, become now, so that a backend that was enabled again warms up once more.
func (r Record) toLocal(now int64) Record {
	instant := func(monotonic int64) int64 {
		if local, ok := (clock.Stamp{Boot: r.Boot, Monotonic: monotonic}).Instant(); ok {
			return local
		}
		return now
	}
	r.DisabledAt = convertTimes(r.DisabledAt, instant)
	r.EnabledAt = convertTimes(r.EnabledAt, instant)
	r.Boot = ""
	return r
}

// convertTimes returns a copy of the map with all times converted.
func convertTimes(times map[string]int64, convert func(int64) int64) map[string]int64 {
	converted := make(map[string]int64, len(times))
	for name, at := range times {
		converted[name] = convert(at)
	}
	return converted
}
