package endpoints

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"standpoint"
	"standpoint/internal/node"
	"standpoint/internal/transient"
)

const (
	// What discovery has counts as told 6 s after it had it and could be reached, whatever call fell silent, failed or was given
	// up meanwhile. A watch goes on as long as each call follows the answer before it, and costs discovery next to nothing then. To
	// open one anew is work, for which the calls of all nodes stand in line. So a silent watch is found out soon, and the call that
	// opens it anew keeps its place in the line: 1 s, a rest of 50 ms, 3.1 s, a rest of 100 ms, and there are 1.7 s for others, of
	// which each is waited for for 1.1 s alone: the one before still stands there. Three in a row may fall silent: 5.7 s with rests.
	watchWait  = 500 * time.Millisecond  // asked of discovery while all is well
	watchSlack = 500 * time.Millisecond  // beyond that; without an answer by then the watch has fallen silent
	openWait   = 100 * time.Millisecond  // of the call that opens a watch: its answer soon shows that it stands
	openSlack  = 3 * time.Second         // in the line, where discovery itself may have calls stand for 3 s
	againTime  = 1100 * time.Millisecond // of further calls, while the one before is still listened to
	wholeTime  = 3100 * time.Millisecond // of a call for the whole list, which stands in the same line
	anewTime   = 1500 * time.Millisecond // likewise of a process that takes over, which is one of a fleet and has 4 s for it
	lateMost   = 5 * time.Second         // beyond all that, for which an answer is still taken: discovery may be slow, or this node be
	callsMost  = 4                       // calls that are out at once
	dialTime   = 500 * time.Millisecond
	bodyMost   = 4 << 20

	restLeast = 50 * time.Millisecond   // behind the first call that came to nothing; doubled each time
	maxPause  = 1500 * time.Millisecond // many nodes ask one discovery
	moveMost  = 500 * time.Millisecond  // of a new discovery, which counts as heard 4 s after the move

	// Behind a call that was refused: the line is full, and each further call is one more to turn away, which takes the time of those
	// that stand in it. Four refusals in a row take 5.6 s; the more nodes there are, the longer each rests, up to where the line runs dry.
	busyLeast = 1400 * time.Millisecond
	busyEach  = 10 * time.Millisecond // for each node
	busyMost  = 2500 * time.Millisecond
)

// Watcher is the actor. Its mailbox holds one wish to watch, more being the same wish, and the newest address.
type Watcher struct {
	news             func(node.EndpointList)
	log              *zap.Logger
	wish             chan struct{}
	discoveryChanges chan place

	// MaxPushedPause, set before Run, is for how long at the most the node rests between two calls where what discovery has counts as
	// told whether this node asks or not; the watch then stands from the first moment on, whatever is wished for. 0: lists
	// are asked for.
	MaxPushedPause time.Duration

	// Nodes, set before Run, is how many nodes ask this discovery; 0: nobody knows.
	Nodes int

	wait, slack time.Duration      // watchWait and watchSlack, but in tests
	dial        transient.DialFunc // opens connections to discovery

	failing atomic.Bool // the last call that is over was refused, or found nobody

	// The actor's alone.
	at      place
	http    *http.Client
	order   *merger
	heard   bool       // something, since the start
	stands  bool       // the watch: the call before was answered a moment ago
	anew    bool       // the whole list is asked for, though the one that is held is this discovery's
	silent  int        // calls in a row that were to open a watch, and fell silent
	fails   int        // calls in a row that came to nothing
	busy    int        // of these, the latest that discovery refused
	calls   []*call    // those that are out, the latest last
	replies chan reply // of theirs
}

// place is where the list is had, and its words.
type place struct {
	base  string
	names Names
}

// call is one call to discovery. It may be out for longer than it is waited for: whatever discovery writes counts as told, on a call
// that this node has given up too.
type call struct {
	at     place
	client *http.Client
	line   int
	after  int64
	whole  bool
	opens  bool // a watch, which does not stand yet
	wait   time.Duration
	cancel context.CancelFunc
}

// reply is what a call came to.
type reply struct {
	call *call
	list node.EndpointList
	seq  int64
	err  error
}

// NewWatcher makes the actor; seq is the version of the list that the core holds already.
func NewWatcher(address string, names Names, seq int64, news func(node.EndpointList), log *zap.Logger) *Watcher {
	dial := transient.DialFunc((&net.Dialer{Timeout: dialTime, KeepAlive: -1}).DialContext)
	return &Watcher{at: place{listAt(address), names}, dial: dial, http: caller(dial), order: newMerger(seq), news: news, log: log, wait: watchWait,
		slack: watchSlack, wish: make(chan struct{}, 1), discoveryChanges: make(chan place, 1), replies: make(chan reply, callsMost)}
}

func listAt(address string) string { return "http://" + address + "/catalog/members" }

func caller(dial transient.DialFunc) *http.Client {
	// Each call has a connection of its own: what comes behind an answer, late or at once, is nobody's, and an answer that
	// belongs to the call before must not be taken for news.
	return &http.Client{Transport: &http.Transport{
		DialContext:        transient.Dial(dial),
		DisableCompression: true, DisableKeepAlives: true}}
}

// Restore tells the list that the version of NewWatcher stands for. It is called before Run.
func (w *Watcher) Restore(l node.EndpointList) { w.order.restore(l, time.Now()) }

// Failing tells that discovery turns calls away or cannot be reached: nothing is waited for in its line.
func (w *Watcher) Failing() bool { return w.failing.Load() }

// RequestFullList has the first call ask for the whole list, however new the one that is held: the answer does not wait for a change.
func (w *Watcher) RequestFullList() { w.anew = true }

// Watch asks for a standing watch, without waiting; once it stands that changes nothing.
func (w *Watcher) Watch() {
	select {
	case w.wish <- struct{}{}:
	default:
	}
}

// SetDiscovery changes to another discovery, without waiting. Moves are told one after the other.
func (w *Watcher) SetDiscovery(address string, names Names) {
	select {
	case <-w.discoveryChanges: // not begun, and no longer wanted
	default:
	}
	w.discoveryChanges <- place{listAt(address), names}
}

// Run keeps a watch standing from the first wish, or move, on; where lists are pushed from the start. It never leaves off: the
// core need not ask for it again, and hears nothing of calls that came to nothing.
func (w *Watcher) Run(ctx context.Context) {
	if w.MaxPushedPause == 0 {
		select {
		case <-ctx.Done():
			return
		case to := <-w.discoveryChanges:
			w.move(to)
		case <-w.wish:
		}
	}
	for ctx.Err() == nil {
		w.await(ctx, w.call(ctx))
	}
}

// call makes a call. The next must follow within 200 ms of each answer, so nothing is done behind one but handing on the news.
func (w *Watcher) call(ctx context.Context) *call {
	c := &call{at: w.at, client: w.http, line: w.order.epoch, after: w.order.version, opens: !w.stands, wait: w.wait,
		whole: w.anew || w.order.awaitingFull || w.order.refetchDue(time.Now())}
	if c.opens {
		c.wait = min(w.wait, openWait)
	}
	w.launch(ctx, c)
	return c
}

// launch has a call go out. Its answer is a reply.
func (w *Watcher) launch(ctx context.Context, c *call) {
	w.limit(callsMost - 1)
	out, cancel := context.WithTimeout(ctx, w.patience(c)+lateMost)
	c.cancel = cancel
	w.calls = append(w.calls, c)
	go func() {
		defer cancel()
		r := w.ask(out, c)
		select {
		case w.replies <- r:
		case <-ctx.Done():
		}
	}()
}

// goOn has a watch at the discovery that was left go on, for as long as it is answered and the new one has told nothing: else
// this node would hear of no departure while it stands in the new one's line.
func (w *Watcher) goOn(ctx context.Context, r reply) {
	if r.call.line < w.order.epoch && w.order.awaitingFull && !r.call.whole {
		w.launch(ctx, &call{at: r.call.at, client: r.call.client, line: r.call.line, after: r.seq, wait: w.wait})
	}
}

// limit lets go of the oldest calls beyond so many.
func (w *Watcher) limit(most int) {
	for len(w.calls) > most {
		w.calls[0].cancel()
		w.calls = w.calls[1:]
	}
}

// await waits for a call's answer, and takes in what the calls before it may still bring. One without an answer has fallen silent:
// half open, or forgotten by discovery. Like one that failed or was refused it is made anew behind a short rest, on another
// connection.
func (w *Watcher) await(ctx context.Context, c *call) {
	patience := time.NewTimer(w.patience(c))
	defer patience.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case to := <-w.discoveryChanges:
			w.move(to)
			return
		case r := <-w.replies:
			heard := w.take(ctx, r)
			if r.call != c {
				if heard && c.opens { // the watch stands without it
					c.cancel()
					return
				}
				continue
			}
			if !heard {
				w.rest(ctx, cmp.Or(r.err, errOlder))
			}
			return
		case <-patience.C:
			if c.opens || c.whole {
				w.silent++
			}
			w.rest(ctx, errSilent)
			return
		}
	}
}

// take takes in what a call came to, and tells whether the list that is held is discovery's now.
func (w *Watcher) take(ctx context.Context, r reply) (heard bool) {
	w.calls = slices.DeleteFunc(w.calls, func(c *call) bool { return c == r.call })
	if r.err != nil {
		return false
	}
	w.goOn(ctx, r)
	l, told := w.order.merge(response{r.call.line, r.call.after, r.seq, r.list}, time.Now())
	if told {
		w.news(l)
	}
	whole := r.list.Kind == standpoint.ListFull
	if heard = !w.order.awaitingFull && r.call.line <= w.order.epoch && (whole || !r.call.whole); !heard {
		return false
	}
	w.anew = w.anew && !whole
	w.heard, w.stands, w.silent, w.fails, w.busy = true, true, 0, 0, 0
	w.failing.Store(false)
	return true
}

// patience is for how long a call is waited for.
func (w *Watcher) patience(c *call) time.Duration {
	switch {
	case !c.whole && !c.opens:
		return c.wait + w.slack
	case w.silent > 0:
		return againTime
	case c.whole && w.anew:
		return anewTime
	case c.whole:
		return wholeTime
	}
	return c.wait + openSlack
}

// move changes to another discovery. The calls that are out at the one before end by themselves, and a watch there goes on until the new
// one has told its list: what they bring counts as told.
func (w *Watcher) move(to place) {
	w.log.Info("discovery moved", zap.String("to", to.base))
	w.http = caller(w.dial)
	w.order.beginEpoch()
	w.at, w.stands, w.silent, w.fails, w.busy = to, false, 0, 0, 0
}

// rest waits before the call behind one that came to nothing. A quarter of it is drawn, for all nodes of a fleet may wait together.
func (w *Watcher) rest(ctx context.Context, why error) {
	w.log.Info("discovery gave no list", zap.Error(why))
	if w.busy++; !errors.Is(why, errBusy) {
		w.busy = 0
	}
	most := min(maxPause, restLeast<<min(w.fails, 6))
	switch {
	case w.busy > 0 && w.MaxPushedPause > 0:
		most = moveMost
	case w.busy > 0:
		most = w.busyRest()
	case w.MaxPushedPause > 0:
		most = min(most, w.MaxPushedPause)
	case w.order.awaitingFull:
		most = min(most, moveMost)
	}
	w.fails++
	w.stands = false
	w.failing.Store(!errors.Is(why, errSilent))
	w.sleep(ctx, most*3/4+rand.N(most/4))
}

// busyRest is for how long the node rests at the most behind a refusal. One that has heard nothing since its start is not held back for
// the others.
func (w *Watcher) busyRest() time.Duration {
	if !w.heard {
		return busyLeast
	}
	return min(busyMost, max(busyLeast, time.Duration(w.Nodes)*busyEach))
}

// sleep waits, but not for a move, nor behind an answer that comes late.
func (w *Watcher) sleep(ctx context.Context, span time.Duration) {
	timer := time.NewTimer(span)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
			return
		case to := <-w.discoveryChanges:
			w.move(to)
			return
		case r := <-w.replies:
			if w.take(ctx, r) {
				return
			}
		}
	}
}

var (
	// errBusy is that of a discovery that has too many callers.
	errBusy   = errors.New("discovery turned the call away")
	errSilent = errors.New("discovery has fallen silent")
	errOlder  = errors.New("discovery told changes of an older list, or in place of the whole one")
)

// ask carries a call: for the whole list, or for what is newer than the version held, within the wait.
func (w *Watcher) ask(ctx context.Context, c *call) reply {
	target := c.at.base
	if !c.whole {
		target += "?" + url.Values{"after": {strconv.FormatInt(c.after, 10)},
			"wait_ms": {strconv.FormatInt(c.wait.Milliseconds(), 10)}}.Encode()
	}
	raw, err := fetch(ctx, c.client, target)
	if err != nil {
		return reply{call: c, err: err}
	}
	seq, l, faults, err := Decode(raw, c.at.names)
	if len(faults) > 0 {
		w.log.Warn("endpoints that cannot be used", zap.Errors("faults", faults))
	}
	return reply{c, l, seq, err}
}

// fetch gets a body.
func fetch(ctx context.Context, client *http.Client, target string) ([]byte, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		return nil, err
	}
	response, err := client.Do(request)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	raw, err := io.ReadAll(io.LimitReader(response.Body, bodyMost))
	switch {
	case err != nil:
		return nil, err
	case response.StatusCode == http.StatusServiceUnavailable:
		return nil, errBusy
	case response.StatusCode != http.StatusOK:
		return nil, fmt.Errorf("discovery answered %s", response.Status)
	}
	return raw, nil
}
