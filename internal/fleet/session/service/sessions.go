// Package sessions has answers pause where the model calls a tool, and go on at any node once the tool has answered. What may
// happen to a session is decided in internal/fleet/session, by the store's leader; here is what a node does about it: it looks
// at answers as they pass (node.Hook), ends the decoding at a call, puts the session on record and gives its client a key; and
// it takes keys and results, claims the session, and builds its prompt anew.
package service

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
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

const (
	maxBodyBytes       = 256 << 10 // of a prompt that is built anew, as of any
	maxTextBytes       = 128 << 10 // of what was produced before a call
	maxCalls           = 16        // in one answer
	maxCallIDBytes     = 128       // of a call
	maxRecordBytes     = 512 << 10
	recordTimeout      = 2 * time.Second // for putting a session on record, while its client waits
	retryDelay         = 80 * time.Millisecond
	defaultRetryAfter  = 500 * time.Millisecond // when to come again after a refusal that will not last
	charactersPerToken = 4
)

// ToolAction is what a call of a tool does.
type ToolAction uint8

// What a call may do.
const (
	PauseSession ToolAction = iota // the decoding ends, the session waits for the result
	PassThrough                    // nothing: the server goes on, and the client sees the call
	RejectCall                     // the answer ends there
)

// Tool is a tool as the operator's file has it.
type Tool struct {
	Name           string
	Action         ToolAction
	ResultTimeout  time.Duration // for its result, at the longest
	MaxResultBytes int           // bytes of its result, at the most
	Class          int           // by whose rules the session goes on; -1: by its own
}

// Options are what the part is made of.
type Options struct {
	Tools                []Tool
	Limits               session.Limits
	DecodeTimeout        time.Duration // that a claim lasts: what follows must have been decoded by then
	ResumeRate           float64       // a second, at this node; in a fleet that heals fewer
	MaxConcurrentResumes int           // resumed requests at once
	Slot                 string
	Incarnation          uint64
	Predecessors         []uint64 // lives of this node that are over
	ClockError           time.Duration
	Now                  func() int64
	RateFactor           func() float64
	CallLeader           func(ctx context.Context, what string, in, out any) error
	ReserveSession       func(tenant int, wait time.Duration) (free func(), ok bool) // of the fleet's budgets of paused sessions; nil: there are none
	Store                store.Store
	Invariants           *invariant.Monitor
	Log                  *zap.Logger
	BackendStart         func(server string) int64
}

// Service is the part.
type Service struct {
	Options
	registry *registry
	owner    session.Owner
	pack     *zstd.Encoder
	unpack   *zstd.Decoder

	inFlight     atomic.Int64
	mu           sync.Mutex
	tokens       float64 // of the resumes that may be taken on now
	at           int64
	reservations map[string]func() // places of sessions that were paused here, by id

	// Counts of this process.
	Paused, Resumed, Rejected, Unrecorded atomic.Uint64
}

// New makes the part. f carries its operations to the leader.
func New(o Options, f *fleet.Fleet) (*Service, error) {
	s := &Service{Options: o, owner: session.Owner{Slot: o.Slot, Incarnation: o.Incarnation}, reservations: map[string]func(){}}
	s.registry = newRegistry(o.Store, o.Limits, o.ClockError, o.Now, o.Invariants, o.Log)
	var err error
	if s.pack, err = zstd.NewWriter(nil, zstd.WithEncoderLevel(zstd.SpeedFastest), zstd.WithEncoderConcurrency(1)); err != nil {
		return nil, err
	}
	if s.unpack, err = zstd.NewReader(nil, zstd.WithDecoderMaxMemory(4<<20), zstd.WithDecoderConcurrency(1)); err != nil {
		return nil, err
	}
	if f != nil {
		f.HandleOnLeader("session", s.registry.handle)
	}
	return s, nil
}

// Run sweeps while this node leads, and gives back the places of sessions that others went on with.
func (s *Service) Run(ctx context.Context) {
	tick := time.NewTicker(sweepInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		s.registry.sweep(ctx)
		s.mu.Lock()
		for id, free := range s.reservations {
			if r, _, err := read(s.Store, id); err == nil && (r == nil || r.State != session.Paused) {
				free()
				delete(s.reservations, id)
			}
		}
		s.mu.Unlock()
	}
}

// execute has the leader carry an operation out.
func (s *Service) execute(ctx context.Context, o session.Command) (*session.Record, error) {
	o.Owner = s.owner
	var r reply
	if err := s.CallLeader(ctx, "session", o, &r); err != nil {
		return nil, err
	}
	if r.Code == "" {
		return r.Record, nil
	}
	if f, ok := errorsByCode[r.Code]; ok {
		return nil, fmt.Errorf("%w%s", f, bytes.TrimPrefix([]byte(r.Text), []byte(f.Error())))
	}
	return nil, errors.New(r.Text)
}

// executeWithRetry has an operation carried out as long as ctx lasts: the leader may be another in a moment, and an operation that is told
// twice is the same one.
func (s *Service) executeWithRetry(ctx context.Context, o session.Command) (*session.Record, error) {
	for {
		r, err := s.execute(ctx, o)
		if err == nil || errorCode(err) != "" {
			return r, err
		}
		select {
		case <-ctx.Done():
			return nil, err
		case <-time.After(retryDelay):
		}
	}
}

// continuation is what a session needs to go on, as it stands on record.
type continuation struct {
	Body           json.RawMessage `json:"body"` // the request's, with all messages up to the call
	Class          int             `json:"class"`
	Tenant         int             `json:"tenant"`
	Session        uint64          `json:"session"`
	Prefix         uint64          `json:"prefix"`
	PrefixTokens   float64         `json:"shared"` // tokens of the shared beginning
	MaxTokens      float64         `json:"most"`   // tokens that the answer may have
	Backend        string          `json:"server"` // that has decoded it
	BackendStart   int64           `json:"start"`
	PromptTokens   float64         `json:"prompt"`   // tokens that it has read and made
	ProducedTokens float64         `json:"produced"` // tokens made in all parts, each charged by the part that made it
	Parts          int             `json:"parts"`
	MaxResultBytes int             `json:"result"` // bytes that the results may have
}

func (s *Service) encode(k continuation) ([]byte, error) {
	raw, err := json.Marshal(k)
	if err != nil {
		return nil, err
	}
	return s.pack.EncodeAll(raw, nil), nil
}

func (s *Service) decode(raw []byte) (continuation, error) {
	var k continuation
	plain, err := s.unpack.DecodeAll(raw, nil)
	if err == nil {
		err = json.Unmarshal(plain, &k)
	}
	return k, err
}

// tool is what a call of a tool does; nil: it is none that the operator's file names.
func (s *Service) tool(name string) *Tool {
	i := slices.IndexFunc(s.Tools, func(t Tool) bool { return t.Name == name })
	if i < 0 {
		return nil
	}
	return &s.Tools[i]
}

// InspectsResponse tells whether a request's answer is looked at: it names tools that this part knows.
func (s *Service) InspectsResponse(body []byte) bool {
	return len(s.Tools) > 0 && bytes.Contains(body, []byte(`"tools"`))
}

// newID names a session. A key is worth as much as what it resumes: it cannot be guessed.
func newID() string {
	b := make([]byte, 16)
	_, _ = rand.Read(b) // never fails
	return hex.EncodeToString(b)
}

// RequestError is an answer to a request about a session: a status, a text, and when to come again; 0: never with this key.
type RequestError struct {
	Status     int
	Message    string
	RetryAfter time.Duration
}

// Error implements error.
func (f *RequestError) Error() string { return f.Message }

// requestError is what a client is told of an error.
func (s *Service) requestError(err error) *RequestError {
	status, wait := 503, defaultRetryAfter
	switch {
	case errors.Is(err, session.ErrMalformedKey), errors.Is(err, session.ErrResultsMismatch):
		status, wait = 400, 0
	case errors.Is(err, session.ErrUnknownKey):
		status, wait = 404, 0
	case errors.Is(err, session.ErrKeyUsed):
		status, wait = 409, 0
	case errors.Is(err, session.ErrExpired), errors.Is(err, session.ErrEnded):
		status, wait = 410, 0
	case errors.Is(err, session.ErrTooLarge):
		status, wait = 413, 0
	case errors.Is(err, session.ErrClaimed):
		status = 409
	}
	return &RequestError{Status: status, Message: err.Error(), RetryAfter: wait}
}

// Status is what the part shows of itself.
type Status struct {
	Paused     uint64 `json:"paused"`
	Resumed    uint64 `json:"resumed"`
	Rejected   uint64 `json:"refused"` // resumes, for now
	Unrecorded uint64 `json:"unkept"`  // calls that could not be put on record: their clients got no key
	InFlight   int64  `json:"in_hand"`
	PausedHere int    `json:"here"`    // paused here, and places held for
	Records    int    `json:"records"` // as the leader has them; elsewhere as of this node's last leadership
}

// Status tells how the part stands.
func (s *Service) Status() Status {
	s.mu.Lock()
	here := len(s.reservations)
	s.mu.Unlock()
	return Status{s.Paused.Load(), s.Resumed.Load(), s.Rejected.Load(), s.Unrecorded.Load(), s.inFlight.Load(), here, s.registry.pausedCount()}
}

var _ node.Hook = (*hook)(nil)

func tokensOf(chars int) float64 {
	return float64((chars + charactersPerToken - 1) / charactersPerToken)
}
