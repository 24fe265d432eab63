package edge

import (
	"context"
	"errors"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"standpoint/internal/metrics"
	"standpoint/internal/transient"
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
	// While the node ends, between two looks for connections that have come to rest.
	leaveLook = 10 * time.Millisecond
	clearTime = 30 * time.Millisecond // for the rest of a request that comes as connections are cleared
)

// ConnectionTracker is the listener's side of the client connections: it keeps them within their share of the descriptors.
// While places are short the connection that has rested longest gives up its own, so that clients who keep
// connections that they do not use, or say nothing on them, cannot shut others out.
type ConnectionTracker struct {
	net.Listener
	// Metrics, if not nil, counts the connections that are closed without an answer. It is set before the room is in use.
	Metrics *metrics.Counters

	most   int
	closed chan struct{}
	once   sync.Once

	lingers atomic.Int32 // connections that end slowly
	ahead   atomic.Int64 // bytes read behind open requests

	freed chan struct{} // holds one sign that a place has been given up

	mu      sync.Mutex
	conns   map[*clientConn]bool
	leaving int           // of these, those asked to go
	away    chan struct{} // closed when clients need not go any longer; nil: they need not
	ending  bool          // connections end with their answers
	said    time.Time
	log     *zap.Logger
}

// NewConnectionTracker wraps a listener, and accepts on while accepts fail for a moment; the server's ConnState must be the room's Note.
func NewConnectionTracker(l net.Listener, most int, log *zap.Logger) *ConnectionTracker {
	return &ConnectionTracker{Listener: transient.NewListener(l, log), most: most, log: log, closed: make(chan struct{}),
		freed: make(chan struct{}, 1), conns: map[*clientConn]bool{}}
}

// SetDraining has the connections that rest end, until it is told that clients may stay, or the last one of a closed room went.
func (r *ConnectionTracker) SetDraining(on bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case on && r.away == nil:
		r.away = make(chan struct{})
		go r.sweep(time.Now(), r.away)
	case !on && r.away != nil:
		close(r.away)
		r.away, r.ending = nil, false
	}
}

// sweep ends what rests once the time for it has come. An answer that began before the word could not say that its connection
// ends: from then on that ends with the answer.
func (r *ConnectionTracker) sweep(from time.Time, stop <-chan struct{}) {
	tick := time.NewTicker(awayLook)
	defer tick.Stop()
	for {
		select {
		case <-stop:
			return
		case now := <-tick.C:
			if now.Sub(from) < awayRest {
				continue
			}
			if r.endRests(now, awayRest, stop) == 0 && r.isClosed() {
				return
			}
		}
	}
}

// endRests ends the connections that have rested for so long, and tells how many there are.
func (r *ConnectionTracker) endRests(now time.Time, rest time.Duration, stop <-chan struct{}) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	select {
	case <-stop:
		return len(r.conns)
	default:
	}
	r.ending = true
	for p := range r.conns {
		if !p.busy && !p.leaving && (p.asked || r.away != nil) && now.Sub(p.since) >= rest {
			r.ask(p, now)
		}
	}
	return len(r.conns)
}

// Drain closes the room, and has every connection end on which no request is open, until none is left or ctx ends. What has come of
// a request is read on and answered. One on which nothing has come at all may stay until it is shut out: its client may be about to
// send.
func (r *ConnectionTracker) Drain(ctx context.Context) error {
	if err := r.Close(); err != nil && !errors.Is(err, net.ErrClosed) {
		return err
	}
	tick := time.NewTicker(leaveLook)
	defer tick.Stop()
	for r.endRests(time.Now(), 0, nil) > 0 || r.lingers.Load() > 0 {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
		}
	}
	return nil
}

func (r *ConnectionTracker) isClosed() bool {
	select {
	case <-r.closed:
		return true
	default:
		return false
	}
}

// ask has a connection that rests end, unless something of a request has come. It is not closed: the server does so once it has
// found that nothing comes any more.
func (r *ConnectionTracker) ask(p *clientConn, now time.Time) {
	if p.end(now) {
		p.leaving = true
		r.leaving++
	}
}

// CloseIdle ends the connections on which no request is open. A request that crosses that comes again elsewhere; one that came a moment
// before the process is killed would get no answer. One of which something has come is given a moment to be whole.
func (r *ConnectionTracker) CloseIdle() {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	for p := range r.conns {
		switch {
		case p.busy:
		case p.end(now):
			p.cleared = true
		default:
			p.cleared = true
			_ = p.Conn.SetReadDeadline(now.Add(clearTime))
		}
	}
}

// linger takes one of the few places for connections that end slowly, where a request has been open until now; lingered gives it back.
func (r *ConnectionTracker) linger(p *clientConn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !p.busy || r.lingers.Load() >= lingerMost {
		return false
	}
	r.lingers.Add(1)
	return true
}

func (r *ConnectionTracker) lingered() { r.lingers.Add(-1) }

// Resize changes how many connections there may be.
func (r *ConnectionTracker) Resize(most int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.most = most
}

// Accept waits for a place, then for a connection.
func (r *ConnectionTracker) Accept() (net.Conn, error) {
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
	p := &clientConn{Conn: c, room: r, since: time.Now()}
	r.conns[p] = true
	return p, nil
}

// Close ends the accepting.
func (r *ConnectionTracker) Close() error {
	r.once.Do(func() { close(r.closed) })
	return r.Listener.Close()
}

// free tells that there is a place. Once the last eighth is being given out it asks the longest rests to end, as
// many as it takes to have that eighth back.
func (r *ConnectionTracker) free(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	short := len(r.conns) - r.leaving - (r.most - r.most/8)
	if short >= 0 {
		var rests []*clientConn
		for p := range r.conns {
			if p.mayGo(now) {
				rests = append(rests, p)
			}
		}
		slices.SortFunc(rests, func(a, b *clientConn) int { return a.since.Compare(b.since) })
		for _, p := range rests[:min(len(rests), short+1)] {
			r.ask(p, now)
		}
	}
	if len(r.conns) < r.most {
		return true
	}
	if now.Sub(r.said) > time.Second {
		r.said = now
		r.tell(now)
	}
	return false
}

// tell says who holds the places while there is none to give.
func (r *ConnectionTracker) tell(now time.Time) {
	var busy, silent, fresh, longest = 0, 0, 0, time.Duration(0)
	for p := range r.conns {
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
	r.log.Warn("no place for further client connections", zap.Int("places", len(r.conns)), zap.Int("with_request", busy),
		zap.Duration("longest", longest), zap.Int("silent", silent), zap.Int("without_head", fresh),
		zap.Int("asked_to_go", r.leaving))
}

// filling tells that half of the places are given out. Answers then end their connections: those who come by the
// hundred, ask once and stay would otherwise hold all places for as long as a rest may last.
func (r *ConnectionTracker) filling() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.conns) >= r.most/2
}

// count counts a connection that ends without an answer.
func (r *ConnectionTracker) count(p *clientConn) {
	if why, ok := p.unheard(r.away != nil || r.isClosed()); ok {
		r.Metrics.CountSilentClose(why)
	}
}

// ConnState follows the connections' states.
func (r *ConnectionTracker) ConnState(c net.Conn, state http.ConnState) {
	r.mu.Lock()
	defer r.mu.Unlock()
	p, ours := c.(*clientConn)
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
		p.rests()
		if r.ending {
			r.ask(p, p.since)
		}
	case http.StateClosed, http.StateHijacked:
		delete(r.conns, p)
		select {
		case r.freed <- struct{}{}:
		default:
		}
	}
}

// Pipelined is how many clients have sent something behind their open requests.
func (r *ConnectionTracker) Pipelined() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for p := range r.conns {
		if p.saidMore() {
			n++
		}
	}
	return n
}
