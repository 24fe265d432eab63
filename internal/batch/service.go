// Package batch serves work that comes as files, by the public batch API: /v1/files and /v1/batches. Each line of a
// file is a request like any other, under the same rules.
//
// Files, batches and lines are kept in the store. Any member serves reads; the member that leads the store takes
// writes and runs the batches.
package batch

import (
	"sync"
	"time"

	"go.uber.org/zap"

	"standpoint/internal/node"
	"standpoint/internal/store"
)

// maxUploads is how many uploads may be received at once; each is held in memory as a whole.
const maxUploads = 4

// RequestFields are the keys of a line's metadata that state what a request needs, or the defaults for what is not
// stated.
type RequestFields struct {
	Class     string
	Tenant    string
	Session   string
	Prefix    string
	MaxTokens float64 // of the defaults only
}

// Options configure a Service.
type Options struct {
	Core    *node.Core
	Store   store.Store
	Log     *zap.Logger
	Classes []string
	Tenants []string // none: every name is accepted
	// Fields are the metadata's keys, Defaults what holds where a line's metadata lacks one.
	Fields   RequestFields
	Defaults RequestFields
	// MaxConcurrentLines bounds the lines in flight, of all batches together.
	MaxConcurrentLines int
	LineTimeout        time.Duration // of one attempt of a line
	MaxAttempts        int           // of a line that fails; rejections do not count
	MaxFileBytes       int           // of an input file
	MaxTotalFileBytes  int           // of all files together; no further upload is accepted beyond it
	// MemberAddresses are where the store's members serve the API, by their ID. Writes are redirected to the leader's.
	MemberAddresses map[string]string
}

// Service is the batch API of one member. Its methods may be called concurrently.
type Service struct {
	Options
	classes     map[string]int
	tenants     map[string]int
	wake        chan struct{} // notified of new batches
	uploadSlots chan struct{} // holds an element for each upload that is being received

	mu      sync.Mutex               // guards the fields below
	changes map[string]chan struct{} // by batch ID: notified when a client changes the batch
	writing map[string]bool          // files whose content this member is writing
}

// New returns a service. Run runs its batches.
func New(o Options) *Service {
	return &Service{
		Options:     o,
		classes:     indexes(o.Classes),
		tenants:     indexes(o.Tenants),
		wake:        make(chan struct{}, 1),
		uploadSlots: make(chan struct{}, maxUploads),
		changes:     map[string]chan struct{}{},
		writing:     map[string]bool{},
	}
}

func indexes(names []string) map[string]int {
	byName := map[string]int{}
	for i, name := range names {
		byName[name] = i
	}
	return byName
}

// changed returns a channel that is notified when a client changes a batch.
func (s *Service) changed(id string) chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.changes[id]
	if c == nil {
		c = make(chan struct{}, 1)
		s.changes[id] = c
	}
	return c
}

// notify wakes the receiver of a channel with a buffer of one. Notifications that it has not received yet become one.
func notify(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
