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
	// queryTimeout bounds all attempts of one query together.
	queryTimeout = 2 * time.Second
	// maxRetryInterval is the upper bound of the wait between two attempts, which doubles with each attempt.
	maxRetryInterval = 500 * time.Millisecond
)

// Response is a server's response to a query.
type Response struct {
	Records       []record.Record // records of the queried name and type
	Additional    []record.Record // other records in the message, all within the client's domain
	NegativeTTL   uint32          // seconds for which the absence of records may be cached (RFC 2308, 5)
	Authoritative bool            // whether the response is authoritative
	NameError     bool            // whether the response code is NXDOMAIN
}

// ErrTruncated reports that a response was truncated over TCP as well.
var ErrTruncated = errors.New("response truncated over TCP; use subtypes or push")

// Query queries one set of records. Failed attempts are repeated with jitter, for up to 2 s altogether. An error names
// the type and the name; if ctx was cancelled, it is context.Canceled itself.
func (c *Client) Query(ctx context.Context, name string, kind record.Kind) (Response, error) {
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	lastErr := errors.New("no response")
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
			err = checkRcode(message.Rcode)
		}
		if err == nil {
			return c.parseResponse(message, name, kind), nil
		}
		if isFinal(err) {
			c.Failures.Add(1)
			return Response{}, fmt.Errorf("%s %s: %w", kind, name, err)
		}
		lastErr = err
		// Attempts that fail immediately must not be repeated without a pause.
		transient.Sleep(ctx, timeout-time.Since(began))
		interval = min(2*interval, maxRetryInterval)
	}
	c.Failures.Add(1)
	if errors.Is(lastErr, context.Canceled) || errors.Is(ctx.Err(), context.Canceled) {
		return Response{}, context.Canceled
	}
	return Response{}, fmt.Errorf("%s %s: %w", kind, name, lastErr)
}

// countAttempt counts the attempt with the given index, which is a retry unless it is 0.
func (c *Client) countAttempt(attempt int) {
	c.Queries.Add(1)
	if attempt > 0 {
		c.Retries.Add(1)
	}
}

// rcodeError is a response code other than NOERROR and NXDOMAIN.
type rcodeError int

// Error implements error.
func (e rcodeError) Error() string { return dns.RcodeToString[int(e)] }

// checkRcode returns an error for response codes other than NOERROR and NXDOMAIN.
func checkRcode(rcode int) error {
	if isSuccessOrNameError(rcode) {
		return nil
	}
	return rcodeError(rcode)
}

// isSuccessOrNameError reports whether a response code means that the response has records or that there are none.
func isSuccessOrNameError(rcode int) bool {
	return rcode == dns.RcodeSuccess || rcode == dns.RcodeNameError
}

// isFinal reports whether another attempt would fail in the same way.
func isFinal(err error) bool {
	var code rcodeError
	if errors.As(err, &code) {
		return code == dns.RcodeRefused || code == dns.RcodeNotImplemented
	}
	return errors.Is(err, ErrTruncated)
}

// QueryWithSerial queries the zone's serial and one set over one socket, so that both responses come from one server
// even if several share its address. serial is nil if the server's response is not authoritative or has no SOA record.
func (c *Client) QueryWithSerial(
	ctx context.Context, zone, name string, kind record.Kind,
) (serial *uint32, response Response, err error) {
	bounded, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	conn, err := (&net.Dialer{}).DialContext(bounded, "udp", c.Server)
	if err != nil {
		return nil, response, err
	}
	defer conn.Close()
	soaMessage, err := c.queryOverConn(bounded, conn, zone, record.SOA)
	if err != nil {
		return nil, response, err
	}
	setMessage, err := c.queryOverConn(bounded, conn, name, kind)
	if err != nil {
		return nil, response, err
	}
	for _, r := range c.parseResponse(soaMessage, zone, record.SOA).Records {
		if soaMessage.Authoritative {
			serial = &r.Serial
		}
	}
	if setMessage.Truncated || !isSuccessOrNameError(setMessage.Rcode) {
		response, err = c.Query(ctx, name, kind) // uses TCP, or returns the response code as an error
		return serial, response, err
	}
	return serial, c.parseResponse(setMessage, name, kind), nil
}

// queryOverConn sends one query over a connected UDP socket and repeats it until a response arrives or ctx is done.
func (c *Client) queryOverConn(
	ctx context.Context, conn net.Conn, name string, kind record.Kind,
) (message *dns.Msg, err error) {
	interval := c.retryTimeout()
	for attempt := 0; ctx.Err() == nil; attempt++ {
		c.countAttempt(attempt)
		began := time.Now()
		bounded, cancel := context.WithTimeout(ctx, interval)
		message, err = c.exchange(bounded, conn, newQuery(name, kind))
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

// parseResponse extracts the records of the response to a query.
func (c *Client) parseResponse(message *dns.Msg, name string, kind record.Kind) Response {
	response := Response{Authoritative: message.Authoritative, NameError: message.Rcode == dns.RcodeNameError}
	queried := record.CanonicalName(name)
	domain := record.CanonicalName(c.Domain)
	// Records of the queried set are accepted only from the answer section, others from the additional section as well.
	add := func(rr dns.RR, inAnswer bool) {
		r, ok := record.Decode(rr)
		switch {
		case !ok:
		case r.Name == queried && r.Kind == kind:
			if inAnswer {
				response.Records = append(response.Records, r)
			}
		case c.Domain != "" && record.Within(r.Name, domain) && r.Kind != record.SOA:
			response.Additional = append(response.Additional, r)
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
			response.NegativeTTL = r.NegativeTTL
		}
	}
	return response
}
