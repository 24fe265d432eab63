package backend

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"standpoint"
	"standpoint/internal/node"
)

// Options are the limits under which backends are reached.
type Options struct {
	DialTimeout time.Duration
	ConnIdle    time.Duration // the server closes a connection left idle for this long
	MaxIdle     int           // connections kept to one backend between requests
	MaxLinks    int           // connections to all, from which on those that rest are closed; 0: no bound
	Batch       BatchOptions  // for the backends that take files
	// Dial, if not nil, opens connections to servers that stream, in place of a plain dialer: tests hold them back by it.
	Dial  func(ctx context.Context, network, address string) (net.Conn, error)
	Wrote func() // an attempt is written whole; nil: nobody counts
	Log   *zap.Logger

	opens func() (closed func()) // the fleet's: a connection is about to be opened
}

// Fleet holds the actors of the backends. Its methods are the core's, but for Adjust.
type Fleet struct {
	mu sync.Mutex
	Options
	servers map[string]actor
	live    *live
	links   atomic.Int64 // connections to servers that are open, or being opened
}

// New makes an empty fleet.
func New(o Options) *Fleet {
	f := &Fleet{Options: o, servers: map[string]actor{}, live: &live{all: map[*connection]bool{}}}
	f.opens = f.open
	return f
}

// open counts a connection that is about to be opened, until closed is called. Where there are many, those that rest are closed:
// their descriptors are for clients, discovery and the servers that are needed now.
func (f *Fleet) open() (closed func()) {
	n := f.links.Add(1)
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.MaxLinks > 0 && n > int64(f.MaxLinks) {
		for _, s := range f.servers {
			s.tell(shed{}) // where the mailbox is full the next connection says so again
		}
	}
	return sync.OnceFunc(func() { f.links.Add(-1) })
}

// Connections is how many connections to servers are open, or being opened.
func (f *Fleet) Connections() int { return int(f.links.Load()) }

// Update takes in news of the endpoints: new servers get an actor, moved ones hear of it, those gone
// are let go of; attempts that are out at them run on.
func (f *Fleet) Update(l node.EndpointList) {
	if l.Kind == standpoint.ListLost {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	listed := map[string]bool{}
	for _, e := range l.Endpoints {
		listed[e.Name] = e.State != standpoint.Gone
		s, known := f.servers[e.Name]
		if !known {
			if e.State != standpoint.Gone {
				f.servers[e.Name] = f.start(e)
			}
			continue
		}
		if e.State != standpoint.Gone && e.Batch != s.batch { // another kind of server under the same name
			s.gate.Store(true)
			s.must(gone{})
			f.servers[e.Name] = f.start(e)
			continue
		}
		if at := (moved{e.Address, e.ReadyAt}); e.Address != "" && at != s.at {
			s.must(at)
			s.gate.Store(true) // what is on its way is the process's before
			s.at, s.gate = at, new(atomic.Bool)
		}
		if e.State == standpoint.Ready && s.gate.Load() { // back, for what is decided on from now on
			s.gate = new(atomic.Bool)
		}
		if e.State != standpoint.Ready {
			s.gate.Store(true)
		}
		if e.State == standpoint.Draining {
			s.must(draining{})
		}
		f.servers[e.Name] = s
	}
	for name, s := range f.servers {
		if on, ok := listed[name]; ok && !on || !ok && l.Kind == standpoint.ListFull {
			s.gate.Store(true)
			s.must(gone{})
			delete(f.servers, name)
		}
	}
}

func (f *Fleet) start(e node.Endpoint) actor {
	a := actor{name: e.Name, batch: e.Batch, mail: make(chan any, mailboxSize), log: f.Log, at: moved{e.Address, e.ReadyAt}, gate: new(atomic.Bool)}
	a.gate.Store(e.State != standpoint.Ready)
	if e.Batch {
		s := &batchServer{Options: f.Options, actor: a, client: &http.Client{Transport: transport(f.Options, &keep{})},
			out: map[*parcel]bool{}, ended: make(chan *parcel)}
		go s.run(e.Address)
	} else {
		go (&server{f.Options, a, &keep{}, f.live}).run(a.at)
	}
	return a
}

// Adjust changes the limits under which servers are reached, from their next connections on.
func (f *Fleet) Adjust(dial, idle time.Duration, maxIdle, maxLinks int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.DialTimeout, f.ConnIdle, f.MaxIdle, f.MaxLinks = dial, idle, maxIdle, maxLinks
	for _, s := range f.servers {
		s.must(limits{dial, idle, maxIdle})
	}
}

// Send hands an attempt to its server's actor, without waiting.
func (f *Fleet) Send(a *node.Attempt) bool {
	f.mu.Lock()
	s, known := f.servers[a.Backend]
	f.mu.Unlock()
	if !known {
		return false
	}
	a.BackendDraining = s.gate.Load
	return s.tell(a)
}

// actor is the mailbox of one backend.
type actor struct {
	name  string
	batch bool // takes files
	mail  chan any
	log   *zap.Logger
	at    moved
	gate  *atomic.Bool // shut, for good, to attempts that were decided on before its server was told to leave
}

type (
	// moved says where the server is, and when its process started.
	moved struct {
		address string
		start   int64
	}
	draining struct{}
	gone     struct{}
	shed     struct{} // connections that rest are to be closed
	limits   struct {
		dial, idle time.Duration
		maxIdle    int
	}
)

// tell never waits: the core must not stand behind a backend.
func (a actor) tell(m any) bool {
	select {
	case a.mail <- m:
		return true
	default:
		a.log.Warn("backend's mailbox is full", zap.String("server", a.name))
		return false
	}
}

// must tells what may not be lost, as an attempt may: where the mailbox is full it comes when there is room.
func (a actor) must(m any) {
	if !a.tell(m) {
		go func() { a.mail <- m }()
	}
}
