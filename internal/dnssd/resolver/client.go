// Package resolver queries one DNS server over UDP, and over TCP where an answer does not fit.
package resolver

import (
	"sync"
	"sync/atomic"
	"time"
)

// Bounds of the first retry timeout, and what it is before any answer has been timed.
const (
	initialRetryTimeout = 100 * time.Millisecond
	minRetryTimeout     = 25 * time.Millisecond
	maxRetryTimeout     = 250 * time.Millisecond
)

// Client queries one server. It is safe for concurrent use once its exported fields are set.
type Client struct {
	// Server is the server's host:port.
	Server string
	// Domain bounds the additional records that are taken from an answer: their names must be in it. "" takes none.
	Domain string

	Queries         atomic.Int64 // sent, retries among them
	Retries         atomic.Int64
	Failures        atomic.Int64 // queries given up without an answer
	RejectedAnswers atomic.Int64 // datagrams that are no answer to the query

	mu          sync.Mutex    // guards the fields below
	smoothedRTT time.Duration // of answers (RFC 6298, 2); 0: none has been timed
	rttVariance time.Duration
}

// observeRTT takes in how long the answer to a first attempt took. Those to retries must not be passed: which attempt
// they answer is not known (Karn's algorithm).
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

// retryTimeout is how long to wait for the answer to a first attempt.
func (c *Client) retryTimeout() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.smoothedRTT == 0 {
		return initialRetryTimeout
	}
	return min(maxRetryTimeout, max(minRetryTimeout, c.smoothedRTT+4*c.rttVariance))
}
