package backend

import (
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"standpoint/internal/node"
)

// mailboxSize is the maximum number of messages queued for one backend.
const mailboxSize = 256

// message is a message to the goroutine of a backend.
type message interface{ message() }

// process identifies the process behind a backend's name.
type process struct {
	address   string
	startedAt int64 // the StartedAt of its endpoint, in nanoseconds of the decision module's clock
}

type (
	// sendAttempt starts an attempt.
	sendAttempt struct{ attempt *node.Attempt }
	// processChanged announces that another process now serves under the backend's name.
	processChanged struct{ process process }
	// drainStarted announces that the backend is draining.
	drainStarted struct{}
	// backendRemoved ends the backend's goroutine.
	backendRemoved struct{}
	// closeIdle closes the idle connections.
	closeIdle struct{}
	// limitsChanged sets the limits for connections that are opened from then on.
	limitsChanged struct {
		dialTimeout        time.Duration
		backendIdleTimeout time.Duration
		maxIdlePerBackend  int
	}
)

func (sendAttempt) message()    {}
func (processChanged) message() {}
func (drainStarted) message()   {}
func (backendRemoved) message() {}
func (closeIdle) message()      {}
func (limitsChanged) message()  {}

// backendHandle holds the mailbox of a backend and its state in the latest endpoint list.
type backendHandle struct {
	name    string
	batch   bool // whether it is a batch backend
	mailbox chan message
	log     *zap.Logger
	process process
	// draining is set when the backend must not get new attempts, and is never cleared. A backend that becomes ready
	// again gets a new flag, so that attempts decided on before that still see theirs set.
	draining *atomic.Bool
	// listedDraining reports whether the latest endpoint list says that the backend drains.
	listedDraining bool
}

// post posts a message without blocking, since the core must not wait for a backend. It returns false if the mailbox is
// full.
func (h backendHandle) post(msg message) bool {
	select {
	case h.mailbox <- msg:
		return true
	default:
		h.log.Warn("backend mailbox full", zap.String("server", h.name))
		return false
	}
}

// postReliably posts a message that, unlike an attempt, must not be dropped: if the mailbox is full, a goroutine waits
// until it has space.
func (h backendHandle) postReliably(msg message) {
	if !h.post(msg) {
		go func() { h.mailbox <- msg }()
	}
}
