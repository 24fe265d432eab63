package edge

import (
	"errors"
	"net"
	"net/http"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"standpoint/internal/figures"
)

const (
	restTime = 2 * time.Second // without an open request a connection keeps its place for so long at least
	// One on which nothing has come at all keeps it for this long only: those who have a request send it at once,
	// and hundreds may connect together to say nothing.
	silentTime = 250 * time.Millisecond
	roomLook   = 20 * time.Millisecond // between two looks for a place while there is none
	// Once clients are sent away a connection that rests for so long is closed. Those kept rest at least as long after the
	// word, so that their clients, who connect anew at once, do not come back before the front has noticed.
	awayRest = 400 * time.Millisecond
	awayLook = 50 * time.Millisecond
)

// Room is the listener's side of the edge connections: it keeps them within their share of the descriptors.
// While places are short the connection that has rested longest gives up its own, so that clients who keep
// connections that they do not use, or say nothing on them, cannot shut others out.
type Room struct {
	net.Listener
	// Figures, if not nil, counts the connections that are closed without an answer. It is set before the room is in use.
	Figures *figures.Figures

	most   int
	closed chan struct{}
	once   sync.Once

	freed chan struct{} // holds one sign that a place has been given up

	mu      sync.Mutex
	places  map[*place]bool
	leaving int           // of these, those asked to go
	away    chan struct{} // closed when clients need not go any longer; nil: they need not
	said    time.Time
	log     *zap.Logger
}

// place is one edge connection. busy: a request is open on it, else it has rested since then.
type place struct {
	net.Conn
	heard         atomic.Bool // something has come on it
	busy, leaving bool
	asked         bool // a whole head has come on it
	cleared       bool // closed because the node stops
	answered      atomic.Bool
	gone          atomic.Bool // its client has ended it
	late          atomic.Bool // its time to be read from is over
	head          head        // of the request that comes
	since         time.Time
}

func (p *place) Read(b []byte) (int, error) {
	n, err := p.Conn.Read(b)
	if n > 0 && !p.heard.Load() {
		p.heard.Store(true)
	}
	p.head.note(b[:n])
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		p.late.Store(true)
	case err != nil && !errors.Is(err, net.ErrClosed):
		p.gone.Store(true)
	}
	return n, err
}

func (p *place) Write(b []byte) (int, error) {
	if !p.answered.Load() {
		p.answered.Store(true)
	}
	return p.Conn.Write(b)
}

// unheard says why a connection was closed by this node with no answer; false: it was not.
func (p *place) unheard(stopping bool) (figures.Unheard, bool) {
	switch {
	case p.answered.Load() || p.gone.Load():
		return 0, false
	case stopping || p.cleared:
		return figures.Stopping, true
	case p.leaving:
		return figures.NoRoom, true
	case p.late.Load():
		return figures.SlowHead, true
	}
	return figures.Unread, true
}

// mayGo tells that the connection has rested for long enough to be closed where places are short.
func (p *place) mayGo(now time.Time) bool {
	rest := restTime
	if !p.heard.Load() {
		rest = silentTime
	}
	return !p.busy && !p.leaving && now.Sub(p.since) >= rest
}

// NewRoom wraps a listener; the server's ConnState must be the room's Note.
func NewRoom(l net.Listener, most int, log *zap.Logger) *Room {
	return &Room{Listener: l, most: most, log: log, closed: make(chan struct{}),
		freed: make(chan struct{}, 1), places: map[*place]bool{}}
}

// SendAway has the server's connections that rest end, until it is told that clients may stay, or the last one of a closed
// room went.
func (r *Room) SendAway(on bool, server *http.Server) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case on && r.away == nil:
		r.away = make(chan struct{})
		go r.sweep(time.Now(), r.away, server)
	case !on && r.away != nil:
		close(r.away)
		r.away = nil
		server.SetKeepAlivesEnabled(true)
	}
}

// sweep closes what rests once the time for it has come. An answer that began before the word could not say that its
// connection ends: without keep-alive that ends with the answer, and does not come to rest at all.
func (r *Room) sweep(from time.Time, end <-chan struct{}, server *http.Server) {
	tick := time.NewTicker(awayLook)
	defer tick.Stop()
	for {
		select {
		case <-end:
			return
		case now := <-tick.C:
			if now.Sub(from) < awayRest {
				continue
			}
			r.mu.Lock()
			select {
			case <-end:
				r.mu.Unlock()
				return
			default:
			}
			server.SetKeepAlivesEnabled(false)
			for p := range r.places {
				if !p.busy && !p.leaving && now.Sub(p.since) >= awayRest {
					r.ask(p, now)
				}
			}
			last := len(r.places) == 0
			r.mu.Unlock()
			select {
			case <-r.closed:
				if last {
					return
				}
			default:
			}
		}
	}
}

// ask has a connection that rests end. It is not closed: a request that the server has begun to read is still answered.
func (r *Room) ask(p *place, now time.Time) {
	p.leaving = true
	r.leaving++
	_ = p.SetReadDeadline(now)
}

// Clear closes the connections on which no request is open. A request that crosses that comes again elsewhere; one that
// came a moment before the process is killed would get no answer.
func (r *Room) Clear() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for p := range r.places {
		if !p.busy {
			p.cleared = true
			_ = p.Conn.Close()
		}
	}
}

// Resize changes how many connections there may be.
func (r *Room) Resize(most int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.most = most
}

// Accept waits for a place, then for a connection.
func (r *Room) Accept() (net.Conn, error) {
	for !r.free(time.Now()) {
		select {
		case <-r.closed:
			return nil, net.ErrClosed
		case <-r.freed:
		case <-time.After(roomLook): // by then others have rested for long enough
		}
	}
	c, err := r.Listener.Accept()
	if err != nil {
		return nil, err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	p := &place{Conn: c, since: time.Now()}
	r.places[p] = true
	return p, nil
}

// Close ends the accepting.
func (r *Room) Close() error {
	r.once.Do(func() { close(r.closed) })
	return r.Listener.Close()
}

// free tells that there is a place. Once the last eighth is being given out it asks the longest rests to end, as
// many as it takes to have that eighth back.
func (r *Room) free(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	short := len(r.places) - r.leaving - (r.most - r.most/8)
	if short >= 0 {
		var rests []*place
		for p := range r.places {
			if p.mayGo(now) {
				rests = append(rests, p)
			}
		}
		slices.SortFunc(rests, func(a, b *place) int { return a.since.Compare(b.since) })
		for _, p := range rests[:min(len(rests), short+1)] {
			r.ask(p, now)
		}
	}
	if len(r.places) < r.most {
		return true
	}
	if now.Sub(r.said) > time.Second {
		r.said = now
		r.tell(now)
	}
	return false
}

// tell says who holds the places while there is none to give.
func (r *Room) tell(now time.Time) {
	var busy, silent, fresh, longest = 0, 0, 0, time.Duration(0)
	for p := range r.places {
		switch {
		case p.busy:
			busy++
			longest = max(longest, now.Sub(p.since))
		case !p.heard.Load():
			silent++
		case !p.asked:
			fresh++
		}
	}
	r.log.Warn("no place for further edge connections", zap.Int("places", len(r.places)), zap.Int("with_request", busy),
		zap.Duration("longest", longest), zap.Int("silent", silent), zap.Int("without_head", fresh),
		zap.Int("asked_to_go", r.leaving))
}

// filling tells that half of the places are given out. Answers then end their connections: those who come by the
// hundred, ask once and stay would otherwise hold all places for as long as a rest may last.
func (r *Room) filling() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.places) >= r.most/2
}

// count counts a connection that ends without an answer.
func (r *Room) count(p *place) {
	stopping := r.away != nil
	select {
	case <-r.closed:
		stopping = true
	default:
	}
	if why, ok := p.unheard(stopping); ok {
		r.Figures.ClosedUnheard(why)
	}
}

// Note follows the connections' states.
func (r *Room) Note(c net.Conn, state http.ConnState) {
	r.mu.Lock()
	defer r.mu.Unlock()
	p, ours := c.(*place)
	if !ours {
		return
	}
	if state == http.StateClosed {
		r.count(p)
	}
	if p.leaving && state != http.StateNew {
		p.leaving = false
		r.leaving--
	}
	switch state {
	case http.StateActive:
		p.busy, p.asked, p.since = true, true, time.Now()
	case http.StateIdle:
		p.busy, p.since = false, time.Now()
		p.head.rests()
	case http.StateClosed, http.StateHijacked:
		delete(r.places, p)
		select {
		case r.freed <- struct{}{}:
		default:
		}
	}
}
