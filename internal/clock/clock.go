// Package clock owns time. A machine's wall clock may be stepped, forward or back, while a program runs and between two
// of its runs; its monotonic clock is not.
//
//   - Within a process an instant is a number, which Now, Of and Time share: nanoseconds that begin at the Unix time of
//     the process's start and advance with the monotonic clock.
//   - What another process of this machine reads, or this program after a restart, is stored as a Stamp.
//   - The wall clock, Wall, is for logs and for times that an API shows.
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

// processStart is the origin of the process's instants.
var processStart = time.Now()

// Now returns the present instant.
func Now() int64 { return Of(time.Now()) }

// Of returns the instant of a time. The time must have a monotonic reading, of this process.
func Of(t time.Time) int64 { return processStart.UnixNano() + int64(t.Sub(processStart)) }

// Time returns the time of an instant, with a monotonic reading.
func Time(instant int64) time.Time {
	return processStart.Add(time.Duration(instant - processStart.UnixNano()))
}

// wallOffset is added to the wall clock by StepWall, in nanoseconds.
var wallOffset atomic.Int64

// Wall returns the time of the machine's wall clock, without a monotonic reading. Durations must not be computed from
// two of them.
func Wall() time.Time { return time.Now().Add(time.Duration(wallOffset.Load())).Round(0) }

// StepWall steps the time that Wall returns, as a step of the machine's clock would, until the returned function is
// called. It is for tests.
func StepWall(by time.Duration) (restore func()) {
	wallOffset.Add(int64(by))
	return func() { wallOffset.Add(-int64(by)) }
}

// Stamp is an instant that other processes of this machine can read, and this program after a restart, until the
// machine reboots. Its zero value stands for no instant.
type Stamp struct {
	Boot      string `json:"boot,omitempty"`      // the ID of the machine's boot
	Monotonic int64  `json:"monotonic,omitempty"` // nanoseconds of the machine's monotonic clock
}

// readBootID returns the ID of the machine's boot; "" if it cannot be read: stamps are then never valid.
var readBootID = sync.OnceValue(func() string {
	raw, err := os.ReadFile("/proc/sys/kernel/random/boot_id")
	if err != nil {
		return ""
	}
	return strings.TrimSpace(string(raw))
})

// monotonicOffset returns what is added to an instant of this process for the reading of the machine's monotonic clock.
// Linux always has that clock, so 0 in its place is never used.
var monotonicOffset = sync.OnceValue(func() int64 {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_MONOTONIC, &now); err != nil {
		return 0
	}
	return now.Nano() - Now()
})

// BootID returns the ID of the machine's boot; "" if it cannot be read.
func BootID() string { return readBootID() }

// StampOf returns the stamp of an instant.
func StampOf(instant int64) Stamp {
	return Stamp{Boot: readBootID(), Monotonic: instant + monotonicOffset()}
}

// Instant returns the instant of a stamp; false if the machine has rebooted since, or is another one.
func (s Stamp) Instant() (int64, bool) {
	if s.Boot == "" || s.Boot != readBootID() {
		return 0, false
	}
	return s.Monotonic - monotonicOffset(), true
}
