// Package sessions has answers pause where the model calls a tool, and go on at any node once the tool has answered. What may
// happen to a session is decided in internal/fleet/session, by the store's leader; here is what a node does about it: it looks
// at answers as they pass (node.Hook), ends the decoding at a call, puts the session on record and gives its client a key; and
// it takes keys and results, claims the session, and builds its prompt anew.
package sessions

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
	bodyMost   = 256 << 10 // of a prompt that is built anew, as of any
	textMost   = 128 << 10 // of what was produced before a call
	callsMost  = 16        // in one answer
	idMost     = 128       // of a call
	recordMost = 512 << 10
	recordTime = 2 * time.Second // for putting a session on record, while its client waits
	tryAgain   = 80 * time.Millisecond
	freshWait  = 500 * time.Millisecond // when to come again after a refusal that will not last
	tokenChars = 4
)

// Does is what a call of a tool does.
type Does uint8

// What a call may do.
const (
	PauseIt  Does = iota // the decoding ends, the session waits for the result
	KeepOn               // nothing: the server goes on, and the client sees the call
	RefuseIt             // the answer ends there
)

// Tool is a tool as the operator's file has it.
type Tool struct {
	Name   string
	Does   Does
	Wait   time.Duration // for its result, at the longest
	Result int           // bytes of its result, at the most
	Class  int           // by whose rules the session goes on; -1: by its own
}

// Options are what the part is made of.
type Options struct {
	Tools   []Tool
	Limits  session.Limits
	Decode  time.Duration // that a claim lasts: what follows must have been decoded by then
	Resumes float64       // a second, at this node; in a fleet that heals fewer
	InHand  int           // resumed requests at once
	Seat    string
	Life    uint64
	Before  []uint64 // lives of this node that are over
	Error   time.Duration
	Now     func() int64
	Pace    func() float64
	Call    func(ctx context.Context, what string, in, out any) error
	Place   func(tenant int, wait time.Duration) (free func(), ok bool) // of the fleet's budgets of paused sessions; nil: there are none
	Keys    store.Store
	Guard   *invariant.Guard
	Log     *zap.Logger
	StartOf func(server string) int64
}

// Sessions is the part.
type Sessions struct {
	Options
	registry *registry
	owner    session.Owner
	pack     *zstd.Encoder
	unpack   *zstd.Decoder

	inHand atomic.Int64
	mu     sync.Mutex
	tokens float64 // of the resumes that may be taken on now
	at     int64
	held   map[string]func() // places of sessions that were paused here, by id

	// Counts of this process.
	Paused, Resumed, Refused, Unkept atomic.Uint64
}

// New makes the part. f carries its operations to the leader.
func New(o Options, f *fleet.Fleet) (*Sessions, error) {
	s := &Sessions{Options: o, owner: session.Owner{Seat: o.Seat, Life: o.Life}, held: map[string]func(){}}
	s.registry = newRegistry(o.Keys, o.Limits, o.Error, o.Now, o.Guard, o.Log)
	var err error
	if s.pack, err = zstd.NewWriter(nil, zstd.WithEncoderLevel(zstd.SpeedFastest), zstd.WithEncoderConcurrency(1)); err != nil {
		return nil, err
	}
	if s.unpack, err = zstd.NewReader(nil, zstd.WithDecoderMaxMemory(4<<20), zstd.WithDecoderConcurrency(1)); err != nil {
		return nil, err
	}
	if f != nil {
		f.Does("session", s.registry.do)
	}
	return s, nil
}

// Run sweeps while this node leads, and gives back the places of sessions that others went on with.
func (s *Sessions) Run(ctx context.Context) {
	tick := time.NewTicker(sweepEvery)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		s.registry.sweep(ctx)
		s.mu.Lock()
		for id, free := range s.held {
			if r, _, err := read(s.Keys, id); err == nil && (r == nil || r.State != session.Paused) {
				free()
				delete(s.held, id)
			}
		}
		s.mu.Unlock()
	}
}

// op has the leader carry an operation out.
func (s *Sessions) op(ctx context.Context, o session.Op) (*session.Record, error) {
	o.By = s.owner
	var r reply
	if err := s.Call(ctx, "session", o, &r); err != nil {
		return nil, err
	}
	if r.Fault == "" {
		return r.Record, nil
	}
	if f, ok := faults[r.Fault]; ok {
		return nil, fmt.Errorf("%w%s", f, bytes.TrimPrefix([]byte(r.Text), []byte(f.Error())))
	}
	return nil, errors.New(r.Text)
}

// must has an operation carried out as long as ctx lasts: the leader may be another in a moment, and an operation that is told
// twice is the same one.
func (s *Sessions) must(ctx context.Context, o session.Op) (*session.Record, error) {
	for {
		r, err := s.op(ctx, o)
		if err == nil || faultOf(err) != "" {
			return r, err
		}
		select {
		case <-ctx.Done():
			return nil, err
		case <-time.After(tryAgain):
		}
	}
}

// kept is what a session needs to go on, as it stands on record.
type kept struct {
	Body     json.RawMessage `json:"body"` // the request's, with all messages up to the call
	Class    int             `json:"class"`
	Tenant   int             `json:"tenant"`
	Session  uint64          `json:"session"`
	Prefix   uint64          `json:"prefix"`
	Shared   float64         `json:"shared"` // tokens of the shared beginning
	Most     float64         `json:"most"`   // tokens that the answer may have
	Server   string          `json:"server"` // that has decoded it
	Start    int64           `json:"start"`
	Prompt   float64         `json:"prompt"`   // tokens that it has read and made
	Produced float64         `json:"produced"` // tokens made in all parts, each charged by the part that made it
	Parts    int             `json:"parts"`
	Result   int             `json:"result"` // bytes that the results may have
}

func (s *Sessions) encode(k kept) ([]byte, error) {
	raw, err := json.Marshal(k)
	if err != nil {
		return nil, err
	}
	return s.pack.EncodeAll(raw, nil), nil
}

func (s *Sessions) decode(raw []byte) (kept, error) {
	var k kept
	plain, err := s.unpack.DecodeAll(raw, nil)
	if err == nil {
		err = json.Unmarshal(plain, &k)
	}
	return k, err
}

// tool is what a call of a tool does; nil: it is none that the operator's file names.
func (s *Sessions) tool(name string) *Tool {
	i := slices.IndexFunc(s.Tools, func(t Tool) bool { return t.Name == name })
	if i < 0 {
		return nil
	}
	return &s.Tools[i]
}

// Looks tells whether a request's answer is looked at: it names tools that this part knows.
func (s *Sessions) Looks(body []byte) bool {
	return len(s.Tools) > 0 && bytes.Contains(body, []byte(`"tools"`))
}

// newID names a session. A key is worth as much as what it resumes: it cannot be guessed.
func newID() string {
	b := make([]byte, 16)
	_, _ = rand.Read(b) // never fails
	return hex.EncodeToString(b)
}

// Fault is an answer to a request about a session: a status, a text, and when to come again; 0: never with this key.
type Fault struct {
	Status int
	Text   string
	Wait   time.Duration
}

// Error implements error.
func (f *Fault) Error() string { return f.Text }

// fault is what a client is told of an error.
func (s *Sessions) fault(err error) *Fault {
	status, wait := 503, freshWait
	switch {
	case errors.Is(err, session.ErrKey), errors.Is(err, session.ErrResults):
		status, wait = 400, 0
	case errors.Is(err, session.ErrUnknown):
		status, wait = 404, 0
	case errors.Is(err, session.ErrUsed):
		status, wait = 409, 0
	case errors.Is(err, session.ErrExpired), errors.Is(err, session.ErrOver):
		status, wait = 410, 0
	case errors.Is(err, session.ErrTooLarge):
		status, wait = 413, 0
	case errors.Is(err, session.ErrClaimed):
		status = 409
	}
	return &Fault{Status: status, Text: err.Error(), Wait: wait}
}

// Status is what the part shows of itself.
type Status struct {
	Paused  uint64 `json:"paused"`
	Resumed uint64 `json:"resumed"`
	Refused uint64 `json:"refused"` // resumes, for now
	Unkept  uint64 `json:"unkept"`  // calls that could not be put on record: their clients got no key
	InHand  int64  `json:"in_hand"`
	Here    int    `json:"here"`    // paused here, and places held for
	Records int    `json:"records"` // as the leader has them; elsewhere as of this node's last leadership
}

// Status tells how the part stands.
func (s *Sessions) Status() Status {
	s.mu.Lock()
	here := len(s.held)
	s.mu.Unlock()
	return Status{s.Paused.Load(), s.Resumed.Load(), s.Refused.Load(), s.Unkept.Load(), s.inHand.Load(), here, s.registry.counts()}
}

var _ node.Hook = (*hook)(nil)

func tokensOf(chars int) float64 { return float64((chars + tokenChars - 1) / tokenChars) }
