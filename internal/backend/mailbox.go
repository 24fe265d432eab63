package backend

import (
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"standpoint/internal/node"
)

// mailboxSize bounds the messages that wait for one backend.
const mailboxSize = 256

// message is what the goroutine of a backend receives.
type message interface{ message() }

// process is where a backend listens, and when its process started, in the module's time.
type process struct {
	address   string
	startedAt int64
}

type (
	// sendAttempt hands an attempt over.
	sendAttempt struct{ attempt *node.Attempt }
	// processChanged tells that another process is the backend now.
	processChanged struct{ process process }
	// drainStarted tells that the backend drains.
	drainStarted struct{}
	// backendRemoved ends the goroutine.
	backendRemoved struct{}
	// closeIdle has the idle connections closed.
	closeIdle struct{}
	// limitsChanged puts other limits in force, from the next connection on.
	limitsChanged struct {
		dialTimeout time.Duration
		connIdle    time.Duration
		maxIdle     int
	}
)

func (sendAttempt) message()    {}
func (processChanged) message() {}
func (drainStarted) message()   {}
func (backendRemoved) message() {}
func (closeIdle) message()      {}
func (limitsChanged) message()  {}

// member is a backend as the Fleet knows it: its mailbox, and what was last listed of it.
type member struct {
	name    string
	batch   bool // it takes files
	mailbox chan message
	log     *zap.Logger
	process process
	// draining is set, for good, when the backend is to get nothing new. Attempts that were decided on before keep
	// theirs; a backend that comes back gets another one.
	draining *atomic.Bool
}

// post does not block: the core must not wait for a backend. It is false if the mailbox is full.
func (m member) post(what message) bool {
	select {
	case m.mailbox <- what:
		return true
	default:
		m.log.Warn("backend mailbox full", zap.String("server", m.name))
		return false
	}
}

// postReliably posts what, unlike an attempt, may not be lost: if the mailbox is full, a goroutine waits for room in
// it.
func (m member) postReliably(what message) {
	if !m.post(what) {
		go func() { m.mailbox <- what }()
	}
}
