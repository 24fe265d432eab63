// Package service pauses sessions when the model calls a tool, and resumes them at any node once the tool's result is
// there. The leader of the store decides which changes of a session are valid, with the state machine of package
// session. This package implements the node's part: it inspects responses as they are forwarded (node.Hook), stops the
// decoding at a tool call, records the session and sends its client a resume key. To resume a session it takes the key
// and the results from the client, claims the session and rebuilds its prompt.
package service

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/klauspost/compress/zstd"
	"go.uber.org/zap"

	"standpoint/internal/fleet"
	"standpoint/internal/fleet/invariant"
	"standpoint/internal/fleet/session"
	"standpoint/internal/node"
	"standpoint/internal/store"
)

// Options configure a Service.
type Options struct {
	Tools  []Tool
	Limits session.Limits
	// DecodeTimeout is the duration of a claim. A resumed response that is not complete shortly before the claim ends
	// is aborted.
	DecodeTimeout time.Duration
	// ResumeRate is how many sessions per second this node resumes, at a rate factor of 1.
	ResumeRate           float64
	MaxConcurrentResumes int // maximum number of resumed requests in flight
	// Slot and Incarnation identify this node. Predecessors are earlier incarnations of the slot that have ended.
	Slot         string
	Incarnation  uint64
	Predecessors []uint64
	ClockError   time.Duration // maximum error of a node's clock
	Now          func() int64  // current time in Unix nanoseconds
	// RateFactor returns the factor that ResumeRate is multiplied by. It is 1 in normal operation, and lower while the
	// fleet recovers from a partition.
	RateFactor func() float64
	// CallLeader calls a method at the leader of the store and decodes its result into out.
	CallLeader func(ctx context.Context, method string, in, out any) error
	// ReserveSession reserves one of the fleet's slots for paused sessions for a tenant until release is called; ok is
	// false if no slot is free. If ReserveSession is nil, no slot is needed.
	ReserveSession func(tenant int, timeout time.Duration) (release func(), ok bool)
	Store          store.Store
	Invariants     *invariant.Monitor
	Log            *zap.Logger
	// BackendStart returns the time at which a backend was started, in Unix nanoseconds, or 0 if it is not known. A
	// restarted backend no longer has a session's prompt in its cache.
	BackendStart func(backend string) int64
}

// methodSession is the method that nodes call at the leader, with a session.Command. Its result is a reply.
const methodSession = "session"

// Service pauses and resumes sessions at one node. Its methods are safe for concurrent use.
type Service struct {
	Options
	registry     *registry
	owner        session.Owner
	compressor   *zstd.Encoder
	decompressor *zstd.Decoder
	inFlight     atomic.Int64 // resumed requests in flight

	mu           sync.Mutex        // guards the fields below
	resumeTokens float64           // token bucket: resumes that may be admitted now
	tokensAt     int64             // time of the last update of resumeTokens, in Unix nanoseconds
	reservations map[string]func() // functions that release the slots of sessions paused here, by session ID

	// Counters since the start of this process.
	Paused     atomic.Uint64
	Resumed    atomic.Uint64
	Rejected   atomic.Uint64 // resumes rejected by the rate limit or because the claim was not granted
	Unrecorded atomic.Uint64 // pauses that could not be recorded, so that the client got no resume key
}

// New returns a service. If f is not nil, the service registers with it to handle commands while this node leads.
func New(o Options, f *fleet.Fleet) (*Service, error) {
	s := &Service{
		Options:      o,
		owner:        session.Owner{Slot: o.Slot, Incarnation: o.Incarnation},
		reservations: map[string]func(){},
		registry:     newRegistry(&o),
	}
	var err error
	s.compressor, err = zstd.NewWriter(nil, zstd.WithEncoderLevel(zstd.SpeedFastest), zstd.WithEncoderConcurrency(1))
	if err != nil {
		return nil, err
	}
	s.decompressor, err = zstd.NewReader(nil,
		zstd.WithDecoderMaxMemory(maxDecodedBytes), zstd.WithDecoderConcurrency(1))
	if err != nil {
		return nil, err
	}
	if f != nil {
		f.HandleOnLeader(methodSession, s.registry.handle)
	}
	return s, nil
}

// Run expires and deletes due sessions while this node leads, and releases the slots of sessions that are no longer
// paused, until ctx ends.
func (s *Service) Run(ctx context.Context) {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		s.registry.sweep(ctx)
		s.releaseReservations()
	}
}

// releaseReservations releases the slots of sessions that were paused here and are no longer paused.
func (s *Service) releaseReservations() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, release := range s.reservations {
		if record, _, err := readRecord(s.Store, id); err == nil && (record == nil || record.State != session.Paused) {
			release()
			delete(s.reservations, id)
		}
	}
}

// Status holds a node's session counters.
type Status struct {
	Paused     uint64 `json:"paused"`
	Resumed    uint64 `json:"resumed"`
	Rejected   uint64 `json:"refused"` // resumes rejected by the rate limit or because the claim was not granted
	Unrecorded uint64 `json:"unkept"`  // pauses that could not be recorded, so that the client got no resume key
	InFlight   int64  `json:"in_hand"` // resumed requests in flight
	PausedHere int    `json:"here"`    // paused sessions for which this node holds a slot
	Records    int    `json:"records"` // paused or claimed sessions, as of the last time that this node led
}

// Status returns the node's session counters.
func (s *Service) Status() Status {
	s.mu.Lock()
	pausedHere := len(s.reservations)
	s.mu.Unlock()
	return Status{
		Paused:     s.Paused.Load(),
		Resumed:    s.Resumed.Load(),
		Rejected:   s.Rejected.Load(),
		Unrecorded: s.Unrecorded.Load(),
		InFlight:   s.inFlight.Load(),
		PausedHere: pausedHere,
		Records:    s.registry.pausedCount(),
	}
}

var _ node.Hook = (*hook)(nil)
