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
	"standpoint/internal/memory"
	"standpoint/internal/node"
	"standpoint/internal/transient"
)

// Watcher keeps the endpoint list up to date by long-polling the platform's discovery, and notifies of each change. Its
// methods may be called from any goroutine unless their comments say otherwise.
//
// A watch is a sequence of polls, each of which follows the response to the previous one without delay. Discovery
// responds to a poll once there is a change, or when the poll's wait is over.
type Watcher struct {
	// MaxPushedPause bounds the pause after a failed poll if discovery pushes its lists; 0 if it does not. The node has
	// to apply a pushed list from the moment at which discovery has it, so the watch then begins without a call of
	// Watch. It must be set before Run.
	MaxPushedPause time.Duration

	// Nodes is the number of nodes that poll this discovery; 0 if unknown. It must be set before Run.
	Nodes int

	// Memory is charged for responses while they are read and decoded; nil sets no bound. It must be set before Run.
	Memory *memory.Budget

	notify func(node.EndpointList) // called only by the goroutine of Run
	log    *zap.Logger

	watchRequests    chan struct{} // has capacity 1, since further requests have no effect
	discoveryChanges chan address  // the latest address; its capacity is 1

	watchWait  time.Duration      // the constant watchWait, except in tests
	watchSlack time.Duration      // the constant watchSlack, except in tests
	dial       transient.DialFunc // opens connections to discovery

	failing atomic.Bool // the last completed poll was rejected, or did not reach discovery

	// The fields below are used only by the goroutine of Run.

	address       address
	client        *http.Client
	merger        *merger
	contacted     bool // discovery has returned a list since the start of the process
	established   bool // the watch is established: discovery responded to the previous poll
	fullRequested bool // the full list is to be fetched, even if the node has a list of this discovery
	timeouts      int  // consecutive timeouts of polls that open a watch or request the full list
	failures      int  // consecutive polls that failed or timed out
	rejections    int  // consecutive rejected polls up to the last failure; 0 if that was not a rejection

	inFlight []*poll // from the oldest to the latest
	results  chan pollResult
	polls    sync.WaitGroup // counts the goroutines of polls, for which Run waits
}

// NewWatcher returns a watcher of the discovery at hostPort. version is that of the list which the node already has.
// Run calls notify for each change, in order.
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

// Restore sets the list that has the version passed to NewWatcher. It must be called before Run.
func (w *Watcher) Restore(list node.EndpointList) { w.merger.restore(list, time.Now()) }

// Failing reports whether discovery rejects polls or cannot be reached. None of this node's polls is queued there then.
func (w *Watcher) Failing() bool { return w.failing.Load() }

// RequestFullList makes the first poll request the full list, even if the node has the latest version: discovery then
// responds without waiting for a change. It must be called before Run.
func (w *Watcher) RequestFullList() { w.fullRequested = true }

// Watch implements node.EndpointWatcher: it requests a watch, and does not block. An existing watch is not affected.
func (w *Watcher) Watch() {
	select {
	case w.watchRequests <- struct{}{}:
	default:
	}
}

// SetDiscovery switches to another discovery. It does not block, but must not be called concurrently with itself.
func (w *Watcher) SetDiscovery(hostPort string, names Names) {
	select {
	case <-w.discoveryChanges: // replaced before Run has handled it
	default:
	}
	w.discoveryChanges <- newAddress(hostPort, names)
}

// Run watches until ctx ends, and then waits for its polls to end. It begins to poll after the first call of Watch or
// SetDiscovery, or at once if lists are pushed. Failed polls are retried without a notification.
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

// nextPoll sends the next poll. This must happen within 200 ms of the previous response, so nothing but the
// notification of the change is done in between.
func (w *Watcher) nextPoll(ctx context.Context) *poll {
	p := &poll{
		address:      w.address,
		client:       w.client,
		epoch:        w.merger.epoch,
		afterVersion: w.merger.version,
		opensWatch:   !w.established,
		wait:         w.watchWait,
		full:         w.fullRequested || w.merger.awaitingFull || w.merger.endHold(time.Now()),
	}
	if p.opensWatch {
		p.wait = min(w.watchWait, openWait)
	}
	w.send(ctx, p)
	return p
}

// send sends a poll in a goroutine of its own, which passes the result to w.results.
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

// cancelOldest cancels the oldest polls in flight, so that at most remaining are left.
func (w *Watcher) cancelOldest(remaining int) {
	for len(w.inFlight) > remaining {
		w.inFlight[0].cancel()
		w.inFlight = w.inFlight[1:]
	}
}

// await waits for a poll's result, and meanwhile handles late results of earlier polls. A timeout means that the watch
// is lost: the connection is half open, or discovery has dropped the poll. After a timeout or a failure await pauses,
// and the next poll uses another connection.
func (w *Watcher) await(ctx context.Context, awaited *poll) {
	timer := time.NewTimer(w.timeout(awaited))
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
			case result.poll != awaited && current && awaited.opensWatch: // an earlier poll has established the watch
				awaited.cancel()
				return
			case result.poll != awaited:
				continue
			case !current:
				w.backOff(ctx, err)
			}
			return
		case <-timer.C:
			if awaited.opensWatch || awaited.full {
				w.timeouts++
			}
			w.backOff(ctx, errTimeout)
			return
		}
	}
}

// handleResult handles the result of a poll. It returns whether the list in use is now discovery's current list, and
// the reason if it is not.
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

// continueOldWatch continues the watch at the previous discovery as long as that responds and the new one has not
// returned its list. Otherwise the node would miss departures while its poll is queued at the new discovery.
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

// switchDiscovery switches to another discovery. The polls in flight at the previous discovery are not cancelled, and
// its watch continues until the new discovery has returned its list, since the departures that they report are valid.
func (w *Watcher) switchDiscovery(to address) {
	w.log.Info("discovery switched", zap.String("discovery", to.url))
	w.client = newClient(w.dial)
	w.merger.beginEpoch()
	w.address = to
	w.established = false
	w.resetFailures()
}

// resetFailures resets the counts of consecutive timeouts, failures and rejections.
func (w *Watcher) resetFailures() {
	w.timeouts = 0
	w.failures = 0
	w.rejections = 0
}

// backOff pauses after a poll that failed or timed out. The next poll opens the watch again.
func (w *Watcher) backOff(ctx context.Context, err error) {
	w.log.Info("endpoint list unavailable", zap.String("discovery", w.address.url), zap.Error(err))
	pause := w.nextPause(err)
	w.established = false
	w.failing.Store(!errors.Is(err, errTimeout))
	w.pause(ctx, pause)
}

// pause waits for a duration. It ends early on a switch to another discovery, or on a late response after which the
// list in use is current.
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
			if current, _ := w.handleResult(ctx, result); current { // a further failure does not prolong the pause
				return
			}
		}
	}
}
