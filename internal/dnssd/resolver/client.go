// Package resolver queries one DNS server over UDP, and over TCP if the response is truncated.
package resolver

import (
	"sync"
	"sync/atomic"
	"time"
)

// Time to wait for the response to a first attempt.
const (
	// initialRetryTimeout applies before any round-trip time has been measured.
	initialRetryTimeout = 100 * time.Millisecond
	// minRetryTimeout is the lower bound of the timeout computed from round-trip times.
	minRetryTimeout = 25 * time.Millisecond
	// maxRetryTimeout is the upper bound of the timeout computed from round-trip times.
	maxRetryTimeout = 250 * time.Millisecond
)

// Client queries one server. It is safe for concurrent use once its exported fields are set.
type Client struct {
	// Server is the server's host:port.
	Server string
	// Domain restricts the additional records that are accepted from a response: their names must be within it. With ""
	// none are accepted.
	Domain string

	Queries           atomic.Int64 // number of queries sent, including retries
	Retries           atomic.Int64 // number of queries sent again after a failed attempt
	Failures          atomic.Int64 // number of queries that ended without a valid response
	RejectedResponses atomic.Int64 // number of datagrams that were not a response to the query

	mu          sync.Mutex    // guards the fields below
	smoothedRTT time.Duration // smoothed round-trip time (RFC 6298, 2); 0 before the first measurement
	rttVariance time.Duration // variation of the round-trip time
}

// observeRTT adds the round-trip time of a first attempt. Those of retries must not be passed, as it is not known which
// attempt a response belongs to (Karn's algorithm).
func (c *Client) observeRTT(rtt time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.smoothedRTT == 0 {
		c.smoothedRTT = rtt
		c.rttVariance = rtt / 2
		return
	}
	c.rttVariance = (3*c.rttVariance + (c.smoothedRTT - rtt).Abs()) / 4
	c.smoothedRTT = (7*c.smoothedRTT + rtt) / 8
}

// retryTimeout returns how long to wait for the response to a first attempt.
func (c *Client) retryTimeout() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.smoothedRTT == 0 {
		return initialRetryTimeout
	}
	return min(maxRetryTimeout, max(minRetryTimeout, c.smoothedRTT+4*c.rttVariance))
}
