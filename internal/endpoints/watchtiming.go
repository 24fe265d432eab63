package endpoints

import (
	"errors"
	"math/rand/v2"
	"time"
)

// The timing of a watch.
//
// The node must know a change within 6 s of the time at which discovery has it and can be reached, whichever polls
// timed out, failed or were cancelled before. A watch continues as long as each poll follows the previous response, and
// then costs discovery very little. Opening a watch is work for discovery, for which the polls of all nodes queue up.
// The node therefore detects a silent watch early, and the poll that opens the watch again stays in the queue: a
// timeout of 1 s, a pause of 50 ms, a timeout of 3.1 s and a pause of 100 ms leave 1.7 s for further polls, each of
// which has a timeout of 1.1 s, as the previous one is still queued. Three consecutive polls may time out: 5.7 s with
// the pauses.
const (
	// watchWait is how long discovery may wait for a change before it responds to a poll of an established watch.
	watchWait = 500 * time.Millisecond
	// openWait is the same for a poll that opens a watch; it is shorter, so that the response soon shows that the watch
	// is established.
	openWait = 100 * time.Millisecond

	// watchSlack is the time after the end of the poll's wait from which the watch counts as silent without a response.
	watchSlack = 500 * time.Millisecond
	// openSlack is the same for a poll that opens a watch; it is longer, since discovery may queue such a poll for 3 s.
	openSlack = 3 * time.Second

	// retryTimeout is the timeout of a poll that follows a timeout, while the previous poll is still in flight.
	retryTimeout = 1100 * time.Millisecond
	// fullTimeout is the timeout of a poll for the full list, which discovery also queues.
	fullTimeout = 3100 * time.Millisecond
	// takeoverTimeout is the timeout of a poll for the full list by a process that takes over, which has 4 s to get the
	// list.
	takeoverTimeout = 1500 * time.Millisecond

	// lateTolerance is how long after the timeout a response is still accepted, as discovery or this node may be slow.
	lateTolerance = 5 * time.Second

	// maxPolls is the maximum number of polls in flight.
	maxPolls = 4
	// dialTimeout is the maximum time to open a connection to discovery.
	dialTimeout = 500 * time.Millisecond
)

// The pauses after a failed poll.
const (
	// minPause is the pause after the first failure; it doubles with each consecutive failure.
	minPause = 50 * time.Millisecond
	// maxPause bounds the pause. It spares discovery, which many nodes poll.
	maxPause = 1500 * time.Millisecond
	// maxSwitchPause bounds the pause at a new discovery, whose list must be known 4 s after the switch.
	maxSwitchPause = 500 * time.Millisecond

	// After a rejection the pause is rejectionPausePerNode times the number of nodes, within the two bounds.
	// Discovery's queue is full then, and rejecting a further poll takes time from the polls that are queued. Four
	// consecutive rejections at the lower bound take 5.6 s. The pause grows with the number of nodes up to a bound
	// beyond which the queue would run empty.
	minRejectionPause     = 1400 * time.Millisecond
	rejectionPausePerNode = 10 * time.Millisecond
	maxRejectionPause     = 2500 * time.Millisecond
)

// timeout returns how long the watcher waits for a poll's response before it sends the next poll.
func (w *Watcher) timeout(p *poll) time.Duration {
	switch {
	case !p.full && !p.opensWatch:
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

// nextPause counts a failed poll, and returns the pause before the next one. A quarter of the longest pause is random,
// since all nodes of a fleet may fail at the same time.
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

// longestPause returns the upper bound of the next pause, from the failures so far.
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

// rejectionPause returns the upper bound of the pause after a rejection. A node that has had no list since its start
// uses the shortest pause, whatever the number of nodes.
func (w *Watcher) rejectionPause() time.Duration {
	if !w.contacted {
		return minRejectionPause
	}
	return min(maxRejectionPause, max(minRejectionPause, time.Duration(w.Nodes)*rejectionPausePerNode))
}
