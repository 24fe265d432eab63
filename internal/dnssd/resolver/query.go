package resolver

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"time"

	"github.com/miekg/dns"

	"standpoint/internal/dnssd/record"
	"standpoint/internal/transient"
)

const (
	// queryTimeout bounds one query, all attempts together.
	queryTimeout = 2 * time.Second
	// maxRetryInterval bounds the wait between two attempts, which doubles each time.
	maxRetryInterval = 500 * time.Millisecond
)

// Answer is a server's answer to a query.
type Answer struct {
	Records       []record.Record // of the name and kind that were queried
	Additional    []record.Record // any others in the message, all within the client's domain
	NegativeTTL   uint32          // seconds for which the lack of records may be believed (RFC 2308, 5)
	Authoritative bool
	NameError     bool // NXDOMAIN
}

// ErrTruncated reports that an answer did not fit, not even over TCP.
var ErrTruncated = errors.New("the answer does not fit over TCP either; use sub-types, or push")

// Query queries one set of records. Attempts without an answer are repeated with jitter, for 2 s in all. An error names
// the kind and the name; it is context.Canceled alone if ctx was cancelled.
func (c *Client) Query(ctx context.Context, name string, kind record.Kind) (Answer, error) {
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	lastErr := errors.New("no answer")
	interval := c.retryTimeout()
	for attempt := 0; ctx.Err() == nil; attempt++ {
		c.countAttempt(attempt)
		timeout := interval*3/4 + rand.N(interval/2)
		began := time.Now()
		message, err := c.queryOnce(ctx, name, kind, timeout)
		if err == nil {
			if attempt == 0 {
				c.observeRTT(time.Since(began))
			}
			err = rcodeError(message.Rcode)
		}
		if err == nil {
			return c.parseAnswer(message, name, kind), nil
		}
		if isFinal(err) {
			c.Failures.Add(1)
			return Answer{}, fmt.Errorf("%s %s: %w", kind, name, err)
		}
		lastErr = err
		// An attempt that fails at once must not be repeated at full speed.
		transient.Sleep(ctx, timeout-time.Since(began))
		interval = min(2*interval, maxRetryInterval)
	}
	c.Failures.Add(1)
	if errors.Is(lastErr, context.Canceled) || errors.Is(ctx.Err(), context.Canceled) {
		return Answer{}, context.Canceled
	}
	return Answer{}, fmt.Errorf("%s %s: %w", kind, name, lastErr)
}

func (c *Client) countAttempt(attempt int) {
	c.Queries.Add(1)
	if attempt > 0 {
		c.Retries.Add(1)
	}
}

// responseError is a response code that is no answer.
type responseError int

// Error implements error.
func (e responseError) Error() string { return dns.RcodeToString[int(e)] }

// rcodeError is nil for the response codes of answers: records, or the word that there are none.
func rcodeError(rcode int) error {
	if answered(rcode) {
		return nil
	}
	return responseError(rcode)
}

func answered(rcode int) bool { return rcode == dns.RcodeSuccess || rcode == dns.RcodeNameError }

// isFinal reports whether a further attempt would fail in the same way.
func isFinal(err error) bool {
	var response responseError
	if errors.As(err, &response) {
		return response == dns.RcodeRefused || response == dns.RcodeNotImplemented
	}
	return errors.Is(err, ErrTruncated)
}

// QueryWithSerial queries the zone's serial and one set from one socket, so that both answers come from one server
// though several share its address. serial is nil where the server reports none with authority.
func (c *Client) QueryWithSerial(
	ctx context.Context, zone, name string, kind record.Kind,
) (serial *uint32, answer Answer, err error) {
	bounded, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	conn, err := (&net.Dialer{}).DialContext(bounded, "udp", c.Server)
	if err != nil {
		return nil, answer, err
	}
	defer conn.Close()
	soa, err := c.queryConn(bounded, conn, zone, record.SOA)
	if err != nil {
		return nil, answer, err
	}
	set, err := c.queryConn(bounded, conn, name, kind)
	if err != nil {
		return nil, answer, err
	}
	for _, r := range c.parseAnswer(soa, zone, record.SOA).Records {
		if soa.Authoritative {
			serial = &r.Serial
		}
	}
	if set.Truncated || !answered(set.Rcode) {
		answer, err = c.Query(ctx, name, kind) // over TCP, or for its error
		return serial, answer, err
	}
	return serial, c.parseAnswer(set, name, kind), nil
}

// queryConn sends one query over a socket, and repeats it until it is answered or ctx ends.
func (c *Client) queryConn(
	ctx context.Context, conn net.Conn, name string, kind record.Kind,
) (message *dns.Msg, err error) {
	interval := c.retryTimeout()
	for attempt := 0; ctx.Err() == nil; attempt++ {
		c.countAttempt(attempt)
		began := time.Now()
		bounded, cancel := context.WithTimeout(ctx, interval)
		message, err = c.exchange(bounded, conn, newQuestion(name, kind))
		cancel()
		if err == nil {
			return message, nil
		}
		transient.Sleep(ctx, interval-time.Since(began))
		interval = min(2*interval, maxRetryInterval)
	}
	c.Failures.Add(1)
	return nil, fmt.Errorf("%s %s: %w", kind, name, errors.Join(err, ctx.Err()))
}

// parseAnswer reads the records of a message that answers a query.
func (c *Client) parseAnswer(message *dns.Msg, name string, kind record.Kind) Answer {
	answer := Answer{Authoritative: message.Authoritative, NameError: message.Rcode == dns.RcodeNameError}
	queried := record.CanonicalName(name)
	domain := record.CanonicalName(c.Domain)
	// Records of the queried set count only in the answer section, others in either.
	add := func(rr dns.RR, inAnswer bool) {
		r, ok := record.Decode(rr)
		switch {
		case !ok:
		case r.Name == queried && r.Kind == kind:
			if inAnswer {
				answer.Records = append(answer.Records, r)
			}
		case c.Domain != "" && record.Within(r.Name, domain) && r.Kind != record.SOA:
			answer.Additional = append(answer.Additional, r)
		}
	}
	for _, rr := range message.Answer {
		add(rr, true)
	}
	for _, rr := range message.Extra {
		add(rr, false)
	}
	for _, rr := range message.Ns {
		r, ok := record.Decode(rr)
		if ok && r.Kind == record.SOA && record.Within(queried, r.Name) {
			answer.NegativeTTL = r.NegativeTTL
		}
	}
	return answer
}
