// Package clock provides time that is not affected by steps of the wall clock. The wall clock of a machine may be
// stepped forward or back, while a program runs and between two of its runs; the monotonic clock is never stepped.
//
//   - Within a process an instant is a number of nanoseconds, used by Now, Of and Time. It starts from the Unix time of
//     the process's start and advances with the monotonic clock.
//   - An instant that another process of this machine reads, or this program after a restart, is stored as a Stamp.
//   - The wall clock, returned by Wall, is only for logs and for times that an API shows.
//
// All functions are safe for concurrent use.
package clock

import (
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// processStart is the time that the instants of this process are relative to.
var processStart = time.Now()

// Now returns the present instant.
func Now() int64 { return Of(time.Now()) }

// Of returns the instant of a time. The time must have a monotonic reading of this process.
func Of(t time.Time) int64 { return processStart.UnixNano() + int64(t.Sub(processStart)) }

// Time returns the time of an instant, with a monotonic reading.
func Time(instant int64) time.Time {
	return processStart.Add(time.Duration(instant - processStart.UnixNano()))
}

// wallOffset is added to the wall clock by StepWall, in nanoseconds.
var wallOffset atomic.Int64

// Wall returns the time of the machine's wall clock, without a monotonic reading. Durations must not be computed from
// such times.
func Wall() time.Time { return time.Now().Add(time.Duration(wallOffset.Load())).Round(0) }

// StepWall steps the time that Wall returns, like a step of the machine's clock, until the returned function is called.
// It is for tests.
func StepWall(by time.Duration) (restore func()) {
	wallOffset.Add(int64(by))
	return func() { wallOffset.Add(-int64(by)) }
}

// Stamp is an instant in a form that other processes of this machine, and this program after a restart, can read until
// the machine reboots. Its zero value stands for no instant.
type Stamp struct {
	// Boot is the ID of the machine's boot.
	Boot string `json:"boot,omitempty"`
	// Monotonic is the reading of the machine's monotonic clock, in nanoseconds.
	Monotonic int64 `json:"monotonic,omitempty"`
}

// readBootID returns the ID of the machine's boot, or "" if it cannot be read; stamps are then never valid.
var readBootID = sync.OnceValue(func() string {
	raw, err := os.ReadFile("/proc/sys/kernel/random/boot_id")
	if err != nil {
		return ""
	}
	return strings.TrimSpace(string(raw))
})

// monotonicOffset returns the offset from an instant of this process to the reading of the machine's monotonic clock,
// in nanoseconds. Linux always has that clock, so the 0 for an error is never returned.
var monotonicOffset = sync.OnceValue(func() int64 {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_MONOTONIC, &now); err != nil {
		return 0
	}
	return now.Nano() - Now()
})

// BootID returns the ID of the machine's boot, or "" if it cannot be read.
func BootID() string { return readBootID() }

// StampOf returns the stamp of an instant.
func StampOf(instant int64) Stamp {
	return Stamp{Boot: readBootID(), Monotonic: instant + monotonicOffset()}
}

// Instant returns the instant of a stamp. It returns false if the stamp was made before the machine's last boot or on
// another machine.
func (s Stamp) Instant() (int64, bool) {
	if s.Boot == "" || s.Boot != readBootID() {
		return 0, false
	}
	return s.Monotonic - monotonicOffset(), true
}
