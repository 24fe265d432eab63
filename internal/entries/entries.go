// Package entries is the actor of the endpoints: it watches the platform's discovery and tells the
// core of every change.
package entries

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"go.uber.org/zap"

	"standpoint"
	"standpoint/internal/node"
)

const (
	// What discovery has counts as told 6 s after it had it and could be reached, whatever call fell silent, failed or was given
	// up meanwhile. From any moment in which discovery can be reached there are at least two calls in that time, even if the
	// first falls silent: a wait and its slack, a rest, a short call and its slack, and a rest again.
	watchWait  = 2 * time.Second        // asked of discovery while all is well
	anewWait   = 500 * time.Millisecond // and behind a call that came to nothing: the answer soon shows that discovery is back
	watchSlack = time.Second            // beyond a wait; without an answer by then the call has fallen silent
	wholeTime  = 1500 * time.Millisecond
	dialTime   = 500 * time.Millisecond
	bodyMost   = 4 << 20
	sizeMost   = 1e6 // of a box, in the list's own unit
	bornMost   = math.MaxInt64 / int64(time.Millisecond)

	restLeast = 50 * time.Millisecond   // behind the first call that came to nothing; doubled each time
	restMost  = 1500 * time.Millisecond // many nodes ask one discovery
	moveMost  = 500 * time.Millisecond  // of a new discovery, which counts as heard 4 s after the move
	busyLeast = 400 * time.Millisecond  // behind one that was refused: others are waiting, and each further call is one more
	busyMost  = 2 * time.Second
)

// Names turns the list's words into the module's indexes.
type Names struct{ Zones, Kinds []string }

type catalog struct {
	Seq   int64 `json:"seq"`
	Whole bool  `json:"whole"`
	Hosts []struct {
		Host   string  `json:"host"`
		Dial   string  `json:"dial"`
		Site   string  `json:"site"`
		Class  string  `json:"class"`
		Block  int     `json:"block"`
		Health string  `json:"health"`
		Share  float64 `json:"share"`
		BornMS int64   `json:"born_ms"`
	} `json:"hosts"`
}

// Decode reads discovery's form of the list. An entry that says what nobody can mean costs itself alone: faults name it,
// and it is taken to drain, for what else is told, other boxes' drains above all, must not wait for it.
func Decode(raw []byte, names Names) (seq int64, l node.List, faults []error, err error) {
	var w catalog
	if err := json.Unmarshal(raw, &w); err != nil {
		return 0, node.List{}, nil, fmt.Errorf("list of endpoints: %w", err)
	}
	l = node.List{Kind: standpoint.ListDelta}
	if w.Whole {
		l.Kind = standpoint.ListFull
	}
	for _, h := range w.Hosts {
		e := node.Endpoint{Address: h.Dial, Engine: standpoint.Engine{Name: h.Host, Cell: h.Block,
			Zone: index(names.Zones, h.Site), Kind: index(names.Kinds, h.Class), Size: h.Share,
			ReadyAt: h.BornMS * int64(time.Millisecond)}}
		if e.State, err = state(h.Health); err == nil && e.State != standpoint.Gone {
			switch {
			case h.BornMS < 0 || h.BornMS > bornMost:
				err = fmt.Errorf("born_ms: %d is no time", h.BornMS)
			case !(h.Share >= 0 && h.Share <= sizeMost):
				err = fmt.Errorf("share: %g is no size", h.Share)
			case h.Dial == "":
				err = errors.New("dial: missing")
			}
		}
		if h.Host == "" {
			faults = append(faults, errors.New("an endpoint without a name"))
			continue
		}
		if err != nil {
			faults = append(faults, fmt.Errorf("endpoint %q: %w", h.Host, err))
			e.State, e.ReadyAt, e.Size = standpoint.Draining, 0, 0
		}
		l.Entries = append(l.Entries, e)
	}
	return w.Seq, l, faults, nil
}

// healths are the words for the module's states.
var healths = []string{standpoint.Ready: "ready", standpoint.Draining: "draining", standpoint.Gone: "gone"}

func state(health string) (standpoint.State, error) {
	if i := index(healths, health); i >= 0 {
		return standpoint.State(i), nil
	}
	return standpoint.Gone, fmt.Errorf("unknown health %q", health)
}

func index(names []string, name string) int {
	for i, n := range names {
		if n == name {
			return i
		}
	}
	return -1
}

// Watcher is the actor. Its mailbox holds one wish to watch, more being the same wish, and the newest address.
type Watcher struct {
	news  func(node.List)
	log   *zap.Logger
	wish  chan struct{}
	moves chan place

	// Pushed, set before Run, is for how long at the most the node rests between two calls where what discovery has counts as
	// told whether this node asks or not; the watch then stands from the first moment on, whatever is wished for. 0: lists
	// are asked for.
	Pushed time.Duration

	wait, slack time.Duration // watchWait and watchSlack, but in tests

	// The actor's alone.
	at    place
	http  *http.Client
	seq   int64 // version of the list held; it says nothing to another discovery
	moved bool  // the list held is another discovery's
	fails int   // calls in a row that came to nothing
	busy  int   // of these, the latest that discovery refused
}

// place is where the list is had, and its words.
type place struct {
	base  string
	names Names
}

// NewWatcher makes the actor; seq is the version of the list that the core holds already.
func NewWatcher(address string, names Names, seq int64, news func(node.List), log *zap.Logger) *Watcher {
	return &Watcher{at: place{listAt(address), names}, http: caller(), seq: seq, news: news, log: log, wait: watchWait, slack: watchSlack,
		wish: make(chan struct{}, 1), moves: make(chan place, 1)}
}

func listAt(address string) string { return "http://" + address + "/catalog/members" }

func caller() *http.Client {
	// Each call has a connection of its own: what comes behind an answer, late or at once, is nobody's, and an answer that
	// belongs to the call before must not be taken for news.
	return &http.Client{Transport: &http.Transport{
		DialContext:        (&net.Dialer{Timeout: dialTime, KeepAlive: -1}).DialContext,
		DisableCompression: true, DisableKeepAlives: true}}
}

// Anew has the first call ask for the whole list, however new the one that is held: the answer does not wait for a change.
func (w *Watcher) Anew() { w.moved = true }

// Watch asks for a standing watch, without waiting; once it stands that changes nothing.
func (w *Watcher) Watch() {
	select {
	case w.wish <- struct{}{}:
	default:
	}
}

// Move changes to another discovery, without waiting. Moves are told one after the other.
func (w *Watcher) Move(address string, names Names) {
	select {
	case <-w.moves: // not begun, and no longer wanted
	default:
	}
	w.moves <- place{listAt(address), names}
}

// Run keeps a watch standing from the first wish, or move, on; where lists are pushed from the start. It never leaves off: the
// core need not ask for it again, and hears nothing of calls that came to nothing.
func (w *Watcher) Run(ctx context.Context) {
	if w.Pushed == 0 {
		select {
		case <-ctx.Done():
			return
		case to := <-w.moves:
			w.move(to)
		case <-w.wish:
		}
	}
	for ctx.Err() == nil {
		w.call(ctx)
	}
}

// call calls once. The next call must follow within 200 ms of each answer, so nothing is done behind one but handing on the
// news. One without an answer has fallen silent: half open, or forgotten by discovery. Like one that failed or was refused it is
// made anew behind a short rest, on another connection.
func (w *Watcher) call(ctx context.Context) {
	call, stop := context.WithCancel(ctx)
	defer stop()
	type answer struct {
		list node.List
		seq  int64
		err  error
	}
	answers := make(chan answer, 1)
	go func(at place, after int64, whole bool, wait time.Duration) {
		seq, l, err := w.ask(call, w.http, at, after, whole, wait)
		answers <- answer{l, seq, err}
	}(w.at, w.seq, w.moved, w.nextWait())
	select {
	case to := <-w.moves:
		stop()
		<-answers
		w.move(to)
	case a := <-answers:
		switch {
		case ctx.Err() != nil:
		case a.err == nil:
			w.seq, w.moved, w.fails, w.busy = a.seq, w.moved && a.list.Kind != standpoint.ListFull, 0, 0
			w.news(a.list)
		default:
			w.moved = w.moved || errors.Is(a.err, errOlder)
			if w.busy++; !errors.Is(a.err, errBusy) {
				w.busy = 0
			}
			w.log.Info("discovery gave no list", zap.Error(a.err))
			w.rest(ctx)
		}
	}
}

// nextWait is for how long the next call has discovery wait for news.
func (w *Watcher) nextWait() time.Duration {
	if w.fails > 0 {
		return min(w.wait, anewWait)
	}
	return w.wait
}

func (w *Watcher) move(to place) {
	w.log.Info("discovery moved", zap.String("to", to.base))
	w.http.CloseIdleConnections()
	w.http = caller()
	w.at, w.moved, w.fails, w.busy = to, true, 0, 0
}

// rest waits before the call behind one that came to nothing. Half of it is drawn, for all nodes of a fleet may wait together.
func (w *Watcher) rest(ctx context.Context) {
	most := min(restMost, restLeast<<min(w.fails, 6))
	switch {
	case w.busy > 0 && w.Pushed > 0:
		most = moveMost
	case w.busy > 0:
		most = min(busyMost, busyLeast<<min(w.busy-1, 6))
	case w.Pushed > 0:
		most = min(most, w.Pushed)
	case w.moved:
		most = min(most, moveMost)
	}
	w.fails++
	w.sleep(ctx, most/2+rand.N(most/2))
}

// sleep waits, but not for a move.
func (w *Watcher) sleep(ctx context.Context, span time.Duration) {
	timer := time.NewTimer(span)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case to := <-w.moves:
		w.move(to)
	}
}

// errOlder is that of a discovery whose versions have begun anew: what it tells as changes is none of the list held.
var errOlder = errors.New("discovery told changes of an older list")

// errBusy is that of a discovery that has too many callers.
var errBusy = errors.New("discovery turned the call away")

// ask calls once: for the whole list, or for what is newer than the version held, within the wait.
func (w *Watcher) ask(ctx context.Context, client *http.Client, at place, after int64, whole bool, wait time.Duration) (int64, node.List, error) {
	target, most := at.base, wholeTime
	if !whole {
		target += "?" + url.Values{"after": {strconv.FormatInt(after, 10)},
			"wait_ms": {strconv.FormatInt(wait.Milliseconds(), 10)}}.Encode()
		most = wait + w.slack
	}
	ctx, cancel := context.WithTimeout(ctx, most)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		return 0, node.List{}, err
	}
	response, err := client.Do(request)
	if err != nil {
		return 0, node.List{}, err
	}
	defer response.Body.Close()
	raw, err := io.ReadAll(io.LimitReader(response.Body, bodyMost))
	if err != nil {
		return 0, node.List{}, err
	}
	if response.StatusCode == http.StatusServiceUnavailable {
		return 0, node.List{}, errBusy
	}
	if response.StatusCode != http.StatusOK {
		return 0, node.List{}, fmt.Errorf("discovery answered %s", response.Status)
	}
	seq, l, faults, err := Decode(raw, at.names)
	if len(faults) > 0 {
		w.log.Warn("endpoints that cannot be used", zap.Errors("faults", faults))
	}
	switch {
	case err == nil && whole && l.Kind != standpoint.ListFull:
		err = errors.New("asked for the whole list, discovery told changes")
	case err == nil && !whole && seq < after && l.Kind == standpoint.ListDelta:
		err = fmt.Errorf("%w: version %d after %d", errOlder, seq, after)
	}
	return seq, l, err
}
