package endpoints

import (
	"errors"
	"math/rand/v2"
	"time"
)

// The timing of a watch. The node has to know what discovery has within 6 s of the time at which discovery had it and
// could be reached, whatever polls timed out, failed or were given up meanwhile. A watch lasts as long as each poll
// follows the response before it, and costs discovery next to nothing then. Opening one is work, for which the polls
// of all nodes queue up at discovery. So a watch that no longer responds is detected soon, and the poll that opens it
// again keeps its position in the queue: a timeout of 1 s, a pause of 50 ms, one of 3.1 s, a pause of 100 ms; that
// leaves 1.7 s for further polls, which are waited for for 1.1 s each, since the one before is still queued. Three
// polls in a row may time out: 5.7 s with the pauses.
const (
	// Discovery holds a poll without a change for watchWait in an established watch, and for openWait if the poll opens
	// the watch: its response soon shows that the watch is established.
	watchWait = 500 * time.Millisecond
	openWait  = 100 * time.Millisecond

	// A watch counts as silent if there is no response by so long after the wait. One that is being opened has more
	// time, since discovery itself may hold polls in its queue for 3 s.
	watchSlack = 500 * time.Millisecond
	openSlack  = 3 * time.Second

	// The timeouts of other polls: of one after a timeout, while the response to the poll before is still awaited; of
	// one for the full list, which queues up too; and of one for that by a process that takes over, which has 4 s for
	// it.
	retryTimeout    = 1100 * time.Millisecond
	fullTimeout     = 3100 * time.Millisecond
	takeoverTimeout = 1500 * time.Millisecond

	// A response is taken for lateTolerance beyond the timeout: discovery may be slow, or this node.
	lateTolerance = 5 * time.Second

	maxPolls    = 4 // in flight at once
	dialTimeout = 500 * time.Millisecond
)

// The pauses after a poll that failed.
const (
	minPause       = 50 * time.Millisecond   // after the first failure in a row; doubled for each further one
	maxPause       = 1500 * time.Millisecond // many nodes poll one discovery
	maxSwitchPause = 500 * time.Millisecond  // at a new discovery, whose list must be known 4 s after the switch

	// After a poll that discovery rejected: its queue is full, and each further poll is one more to reject, which takes
	// time from those that are queued. Four rejections in a row take 5.6 s. The more nodes there are, the longer each
	// pauses, up to where the queue would run empty.
	minRejectionPause     = 1400 * time.Millisecond
	rejectionPausePerNode = 10 * time.Millisecond
	maxRejectionPause     = 2500 * time.Millisecond
)

// timeout returns how long a poll is waited for before another is sent.
func (w *Watcher) timeout(p *poll) time.Duration {
	switch {
	case !p.full && !p.opens:
		return p.wait + w.watchSlack
	case w.timeouts > 0:
		return retryTimeout
	case p.full && w.fullRequested:
		return takeoverTimeout
	case p.full:
		return fullTimeout
	}
	return p.wait + openSlack
}

// nextPause counts a failed poll, and returns the pause before the next. A quarter of it is random, since all nodes
// of a fleet may pause together.
func (w *Watcher) nextPause(err error) time.Duration {
	if errors.Is(err, errRejected) {
		w.rejections++
	} else {
		w.rejections = 0
	}
	longest := w.longestPause()
	w.failures++
	return longest*3/4 + rand.N(longest/4)
}

// longestPause bounds the pause by what has failed so far.
func (w *Watcher) longestPause() time.Duration {
	exponential := min(maxPause, minPause<<min(w.failures, 6))
	switch {
	case w.rejections > 0 && w.MaxPushedPause > 0:
		return maxSwitchPause
	case w.rejections > 0:
		return w.rejectionPause()
	case w.MaxPushedPause > 0:
		return min(exponential, w.MaxPushedPause)
	case w.merger.awaitingFull:
		return min(exponential, maxSwitchPause)
	}
	return exponential
}

// rejectionPause bounds the pause after a rejection. A node that has had no response since its start does not hold back
// for the others.
func (w *Watcher) rejectionPause() time.Duration {
	if !w.contacted {
		return minRejectionPause
	}
	return min(maxRejectionPause, max(minRejectionPause, time.Duration(w.Nodes)*rejectionPausePerNode))
}
