package endpoints

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

	"standpoint"
	"standpoint/internal/node"
	"standpoint/internal/transient"
)

// Watcher keeps the endpoint list up to date by long polls of the platform's discovery, and notifies of each change.
// Its methods may be called from any goroutine where their comments do not say otherwise.
type Watcher struct {
	// MaxPushedPause, set before Run, bounds the pause after a failed poll if discovery pushes its lists: a list
	// binds the node from the moment at which discovery has it. The watch then begins without a call of Watch. 0 if
	// discovery does not push.
	MaxPushedPause time.Duration

	// Nodes, set before Run, is how many nodes poll this discovery; 0 if that is not known.
	Nodes int

	notify func(node.EndpointList) // called by Run's goroutine alone
	log    *zap.Logger

	watchRequests    chan struct{} // of capacity 1: further requests are the same one
	discoveryChanges chan address  // of capacity 1: the latest address

	watchWait  time.Duration      // the constant, but in tests
	watchSlack time.Duration      // likewise
	dial       transient.DialFunc // opens connections to discovery

	failing atomic.Bool // the last poll that ended was rejected, or did not reach discovery

	// Below is Run's goroutine's alone.

	address       address
	client        *http.Client
	merger        *merger
	contacted     bool // a list has come since the start
	established   bool // the watch: the poll before was answered a moment ago
	fullRequested bool // the full list is wanted, although the node has one of this discovery
	timeouts      int  // polls in a row that were to open a watch, or to fetch the full list, and timed out
	failures      int  // polls in a row that failed or timed out
	rejections    int  // of these, the latest in a row that discovery rejected

	inFlight []*poll // the latest last
	results  chan pollResult
	polls    sync.WaitGroup // the goroutines of polls; Run waits for them
}

// NewWatcher returns a watcher of the discovery at an address, host:port. The version is that of the list that the node
// has already. Run calls notify for each change, in order.
func NewWatcher(
	hostPort string, names Names, version int64, notify func(node.EndpointList), log *zap.Logger,
) *Watcher {
	dialer := &net.Dialer{Timeout: dialTimeout, KeepAlive: -1}
	return &Watcher{
		notify:           notify,
		log:              log,
		watchRequests:    make(chan struct{}, 1),
		discoveryChanges: make(chan address, 1),
		watchWait:        watchWait,
		watchSlack:       watchSlack,
		dial:             dialer.DialContext,
		address:          newAddress(hostPort, names),
		client:           newClient(dialer.DialContext),
		merger:           newMerger(version),
		results:          make(chan pollResult, maxPolls),
	}
}

// Restore hands in the list that NewWatcher's version stands for. It must be called before Run.
func (w *Watcher) Restore(list node.EndpointList) { w.merger.restore(list, time.Now()) }

// Failing reports whether discovery rejects polls, or cannot be reached: then none of this node's is queued there.
func (w *Watcher) Failing() bool { return w.failing.Load() }

// RequestFullList has the first poll fetch the full list, however new the one is that the node has: the response does
// not wait for a change. It must be called before Run.
func (w *Watcher) RequestFullList() { w.fullRequested = true }

// Watch implements node.EndpointWatcher: it requests a watch, and does not block. Once there is one it changes nothing.
func (w *Watcher) Watch() {
	select {
	case w.watchRequests <- struct{}{}:
	default:
	}
}

// SetDiscovery switches to another discovery. It does not block, but must not be called concurrently.
func (w *Watcher) SetDiscovery(hostPort string, names Names) {
	select {
	case <-w.discoveryChanges: // superseded before it took effect
	default:
	}
	w.discoveryChanges <- newAddress(hostPort, names)
}

// Run watches until ctx ends, and then waits for its polls. It begins with the first call of Watch or SetDiscovery,
// or, if lists are pushed, at once. Polls that fail are repeated, and are not notified of.
func (w *Watcher) Run(ctx context.Context) {
	defer w.polls.Wait()
	if w.MaxPushedPause == 0 {
		select {
		case <-ctx.Done():
			return
		case to := <-w.discoveryChanges:
			w.switchDiscovery(to)
		case <-w.watchRequests:
		}
	}
	for ctx.Err() == nil {
		w.await(ctx, w.nextPoll(ctx))
	}
}

// nextPoll sends the next poll. It must follow within 200 ms of the response before, so nothing is done between the two
// but to notify of the change.
func (w *Watcher) nextPoll(ctx context.Context) *poll {
	p := &poll{
		address:      w.address,
		client:       w.client,
		epoch:        w.merger.epoch,
		afterVersion: w.merger.version,
		opens:        !w.established,
		wait:         w.watchWait,
		full:         w.fullRequested || w.merger.awaitingFull || w.merger.endHold(time.Now()),
	}
	if p.opens {
		p.wait = min(w.watchWait, openWait)
	}
	w.send(ctx, p)
	return p
}

// send has a poll sent by a goroutine of its own, which delivers the result to w.results.
func (w *Watcher) send(ctx context.Context, p *poll) {
	w.cancelOldest(maxPolls - 1)
	pollContext, cancel := context.WithTimeout(ctx, w.timeout(p)+lateTolerance)
	p.cancel = cancel
	w.inFlight = append(w.inFlight, p)
	w.polls.Go(func() {
		defer cancel()
		result := w.fetchList(pollContext, p)
		select {
		case w.results <- result:
		case <-ctx.Done():
		}
	})
}

// cancelOldest cancels the oldest polls in flight beyond a number.
func (w *Watcher) cancelOldest(remaining int) {
	for len(w.inFlight) > remaining {
		w.inFlight[0].cancel()
		w.inFlight = w.inFlight[1:]
	}
}

// await waits for a poll's result, and handles those of earlier polls that still come. A poll that times out has lost
// its watch: the connection is half open, or discovery has forgotten it. After a timeout or a failure await pauses,
// and the next poll goes over another connection.
func (w *Watcher) await(ctx context.Context, p *poll) {
	timer := time.NewTimer(w.timeout(p))
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case to := <-w.discoveryChanges:
			w.switchDiscovery(to)
			return
		case result := <-w.results:
			current, err := w.handleResult(ctx, result)
			switch {
			case result.poll != p && current && p.opens: // the watch is established without it
				p.cancel()
				return
			case result.poll != p:
				continue
			case !current:
				w.backOff(ctx, err)
			}
			return
		case <-timer.C:
			if p.opens || p.full {
				w.timeouts++
			}
			w.backOff(ctx, errTimeout)
			return
		}
	}
}

// handleResult handles how a poll ended. It returns whether the list in use is discovery's present one, and, if it is
// not, why.
func (w *Watcher) handleResult(ctx context.Context, result pollResult) (current bool, err error) {
	w.inFlight = slices.DeleteFunc(w.inFlight, func(p *poll) bool { return p == result.poll })
	if result.err != nil {
		return false, result.err
	}
	w.continueOldWatch(ctx, result)
	list, changed := w.merger.merge(response{
		epoch:        result.poll.epoch,
		afterVersion: result.poll.afterVersion,
		version:      result.version,
		list:         result.list,
	}, time.Now())
	if changed {
		w.notify(list)
	}
	full := result.list.Kind == standpoint.ListFull
	if w.merger.awaitingFull || result.poll.epoch > w.merger.epoch || result.poll.full && !full {
		return false, errNotOrdered
	}
	w.fullRequested = w.fullRequested && !full
	w.contacted = true
	w.established = true
	w.resetFailures()
	w.failing.Store(false)
	return true, nil
}

// continueOldWatch continues the watch at the discovery before, as long as that responds and the new one has not
// returned its list: otherwise the node would know of no departure while its poll is queued at the new one.
func (w *Watcher) continueOldWatch(ctx context.Context, result pollResult) {
	if result.poll.epoch >= w.merger.epoch || !w.merger.awaitingFull || result.poll.full {
		return
	}
	w.send(ctx, &poll{
		address:      result.poll.address,
		client:       result.poll.client,
		epoch:        result.poll.epoch,
		afterVersion: result.version,
		wait:         w.watchWait,
	})
}

// switchDiscovery switches to another discovery. The polls in flight at the one before end by themselves, and a watch
// there continues until the new one has returned its list: the departures that they report count.
func (w *Watcher) switchDiscovery(to address) {
	w.log.Info("discovery switched", zap.String("discovery", to.url))
	w.client = newClient(w.dial)
	w.merger.beginEpoch()
	w.address = to
	w.established = false
	w.resetFailures()
}

func (w *Watcher) resetFailures() {
	w.timeouts = 0
	w.failures = 0
	w.rejections = 0
}

// backOff pauses after a poll that failed or timed out. The next one opens the watch again.
func (w *Watcher) backOff(ctx context.Context, err error) {
	w.log.Info("endpoint list unavailable", zap.String("discovery", w.address.url), zap.Error(err))
	pause := w.nextPause(err)
	w.established = false
	w.failing.Store(!errors.Is(err, errTimeout))
	w.pause(ctx, pause)
}

// pause waits, but not beyond a switch to another discovery, or a late response with the present list.
func (w *Watcher) pause(ctx context.Context, duration time.Duration) {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
			return
		case to := <-w.discoveryChanges:
			w.switchDiscovery(to)
			return
		case result := <-w.results:
			if current, _ := w.handleResult(ctx, result); current { // the pause follows a failure already
				return
			}
		}
	}
}
