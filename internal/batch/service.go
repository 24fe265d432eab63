// Package batch implements the public batch API, /v1/files and /v1/batches, for requests that are submitted as files.
// Each line of a file is scheduled under the same rules as any other request.
//
// Files, batches and lines are persisted in the store. Any member serves reads; the member that leads the store
// accepts writes and runs the batches.
package batch

import (
	"sync"
	"time"

	"go.uber.org/zap"

	"standpoint/internal/node"
	"standpoint/internal/store"
)

// maxUploads is the maximum number of concurrent uploads. Each is buffered in memory completely.
const maxUploads = 4

// RequestFields are either the keys of a line's metadata that hold a request's properties, or the default values of
// these properties.
type RequestFields struct {
	Class     string
	Tenant    string
	Session   string
	Prefix    string
	MaxTokens float64 // maximum number of output tokens; used in the defaults only
}

// Options configure a Service.
type Options struct {
	Core      *node.Core
	Store     store.Store
	Recoverer SubmissionRecoverer
	Log       *zap.Logger
	Classes   []string
	Tenants   []string // if empty, every tenant name is accepted
	// Fields are the keys of a line's metadata, Defaults the values for keys that the metadata lacks.
	Fields   RequestFields
	Defaults RequestFields
	// MaxConcurrentLines is the maximum number of lines in flight, over all batches.
	MaxConcurrentLines int
	LineTimeout        time.Duration // timeout of one attempt of a line
	MaxAttempts        int           // maximum number of attempts of a line that fails; rejections do not count
	MaxFileBytes       int           // maximum size of an input file
	MaxTotalFileBytes  int           // maximum size of all files together, beyond which uploads are rejected
	// MemberAddresses are the addresses at which the store's members serve the API, by member ID. Writes are redirected
	// to the leader's address.
	MemberAddresses map[string]string
}

// Service is the batch API of one member. Its methods are safe for concurrent use.
type Service struct {
	Options
	classes     map[string]int // class indexes by name
	tenants     map[string]int // tenant indexes by name
	wake        chan struct{}  // notified of new batches
	uploadSlots chan struct{}  // holds an element for each upload in progress

	mu                  sync.Mutex               // guards the fields below
	changeNotifications map[string]chan struct{} // by batch ID: notified when a client changes the batch
	filesBeingWritten   map[string]bool          // files whose content this member is writing
}

// New returns a service. Its batches are run by Run.
func New(o Options) *Service {
	return &Service{
		Options:             o,
		classes:             indexByName(o.Classes),
		tenants:             indexByName(o.Tenants),
		wake:                make(chan struct{}, 1),
		uploadSlots:         make(chan struct{}, maxUploads),
		changeNotifications: map[string]chan struct{}{},
		filesBeingWritten:   map[string]bool{},
	}
}

// indexByName returns the index of each name.
func indexByName(names []string) map[string]int {
	byName := map[string]int{}
	for i, name := range names {
		byName[name] = i
	}
	return byName
}

// changeNotification returns the channel that is notified when a client changes a batch.
func (s *Service) changeNotification(id string) chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.changeNotifications[id]
	if c == nil {
		c = make(chan struct{}, 1)
		s.changeNotifications[id] = c
	}
	return c
}

// notify wakes the receiver of a channel with a buffer of one. Notifications that are not received yet are merged into
// one.
func notify(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
