// Package service pauses answers where the model calls a tool, and resumes them at any node once the tool has
// answered. What may happen to a session is decided in package session, by the store's leader. Here is what a node
// does about it: it inspects answers as they pass (node.Hook), ends the decoding at a call, records the session and
// gives its client a resume key; and it takes keys and results, claims the session, and rebuilds its prompt.
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
	// DecodeTimeout is the duration of a claim: what follows a resume must have been decoded by then.
	DecodeTimeout time.Duration
	// ResumeRate is how many sessions a second this node resumes, at a rate factor of 1.
	ResumeRate           float64
	MaxConcurrentResumes int // resumed requests in flight
	// Slot and Incarnation identify this node; Predecessors are earlier incarnations of the slot that are over.
	Slot         string
	Incarnation  uint64
	Predecessors []uint64
	ClockError   time.Duration // by which two nodes' clocks may differ
	Now          func() int64  // Unix nanoseconds
	// RateFactor slows resumes down, as while the fleet heals: 1 is the usual rate.
	RateFactor func() float64
	// CallLeader has the store's leader carry out a method, and decodes its result into out.
	CallLeader func(ctx context.Context, method string, in, out any) error
	// ReserveSession takes one of the fleet's slots for paused sessions for a tenant, until release is called; ok is
	// false where none is free. A nil ReserveSession bounds nothing.
	ReserveSession func(tenant int, timeout time.Duration) (release func(), ok bool)
	Store          store.Store
	Invariants     *invariant.Monitor
	Log            *zap.Logger
	// BackendStart returns when a backend was started, by which its cache is known to be the one that held a session.
	BackendStart func(backend string) int64
}

// methodSession is the method that the leader carries out: a session.Command to a reply.
const methodSession = "session"

// Service pauses and resumes sessions at one node. Its methods may be called concurrently.
type Service struct {
	Options
	registry     *registry
	owner        session.Owner
	compressor   *zstd.Encoder
	decompressor *zstd.Decoder
	inFlight     atomic.Int64 // resumed requests

	mu           sync.Mutex        // guards the fields below
	resumeTokens float64           // resumes that may be admitted now
	tokensAt     int64             // Unix nanoseconds: when resumeTokens was brought up to date
	reservations map[string]func() // by session ID: releases the slot of a session that was paused here

	// Counts since the start of this process.
	Paused     atomic.Uint64
	Resumed    atomic.Uint64
	Rejected   atomic.Uint64 // resumes that may be tried again
	Unrecorded atomic.Uint64 // pauses that could not be recorded: their clients got no key
}

// New returns a service. f, if not nil, has it carry out commands where this node leads.
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

// Run ends and forgets sessions in time while this node leads, and releases the slots of sessions that have been
// resumed, until ctx ends.
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

// releaseReservations releases the slots of sessions that were paused here and are not paused any more.
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

// Status describes a node's sessions.
type Status struct {
	Paused     uint64 `json:"paused"`
	Resumed    uint64 `json:"resumed"`
	Rejected   uint64 `json:"refused"` // resumes that may be tried again
	Unrecorded uint64 `json:"unkept"`  // pauses that could not be recorded: their clients got no key
	InFlight   int64  `json:"in_hand"` // resumed requests
	PausedHere int    `json:"here"`    // sessions for which this node holds a slot
	Records    int    `json:"records"` // paused or claimed sessions, as of this node's latest leadership
}

// Status returns the node's counts.
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
