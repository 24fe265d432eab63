// Package resolver asks a DNS server over UDP, and over TCP where an answer does not fit.
package resolver

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/miekg/dns"

	"standpoint/internal/dnssd/record"
)

const (
	queryTimeout = 2 * time.Second // for one answer, all tries together
	// The wait before a question is repeated: at first, and then as answers take (RFC 6298, 2).
	initialRetryTimeout = 100 * time.Millisecond
	minRetryTimeout     = 25 * time.Millisecond
	maxRetryTimeout     = 250 * time.Millisecond
	// maxUDPSize is what an answer by UDP may have (EDNS(0)).
	maxUDPSize       = 1232
	maxRetryInterval = 500 * time.Millisecond
)

// Client asks one server. It is safe for concurrent use.
type Client struct {
	Server string
	// Extra records of an answer are taken where their names are within it; "" takes none.
	Domain string

	Queries, Retries, Failures, RejectedAnswers atomic.Int64 // questions; repeated ones; without an answer; answers to other questions

	mu                       sync.Mutex
	smoothedRTT, rttVariance time.Duration // of what answers take; 0: none yet
}

// observeRTT notes how long an answer to a first try took; those to repeated questions tell nothing (Karn).
func (c *Client) observeRTT(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.smoothedRTT == 0 {
		c.smoothedRTT, c.rttVariance = d, d/2
		return
	}
	c.rttVariance = (3*c.rttVariance + (c.smoothedRTT - d).Abs()) / 4
	c.smoothedRTT = (7*c.smoothedRTT + d) / 8
}

// retryTimeout is how long the first try waits.
func (c *Client) retryTimeout() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.smoothedRTT == 0 {
		return initialRetryTimeout
	}
	return min(maxRetryTimeout, max(minRetryTimeout, c.smoothedRTT+4*c.rttVariance))
}

// Answer is what the server said.
type Answer struct {
	Records       []record.Record // of the name and kind that were asked for
	Additional    []record.Record // others that it told along, all within the domain
	NegativeTTL   uint32          // seconds for which the lack of records may be believed (RFC 2308, 5)
	Authoritative bool
	NameError     bool // NXDOMAIN
}

// ErrTruncated says that an answer did not fit, not even over TCP.
var ErrTruncated = errors.New("the answer does not fit over TCP either; use sub-types, or push")

// Query asks once, again after a while where no answer comes, with jitter. The case of the name's letters is drawn anew
// each time and must come back, as the id must (0x20 encoding): a guess at both is no answer, and the wait goes on.
func (c *Client) Query(ctx context.Context, name string, kind record.Kind) (Answer, error) {
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	last := errors.New("no answer")
	wait := c.retryTimeout()
	for try := 0; ctx.Err() == nil; try, wait = try+1, min(2*wait, maxRetryInterval) {
		c.Queries.Add(1)
		if try > 0 {
			c.Retries.Add(1)
		}
		spell := wait*3/4 + rand.N(wait/2)
		began := time.Now()
		answer, err := c.queryOnce(ctx, name, kind, spell)
		if err == nil && try == 0 {
			c.observeRTT(time.Since(began))
		}
		if err == nil {
			switch answer.Rcode {
			case dns.RcodeSuccess, dns.RcodeNameError:
				return c.parseAnswer(answer, name, kind), nil
			}
			err = fmt.Errorf("%s", dns.RcodeToString[answer.Rcode])
			if answer.Rcode == dns.RcodeRefused || answer.Rcode == dns.RcodeNotImplemented {
				c.Failures.Add(1)
				return Answer{}, fmt.Errorf("%s %s: %w", kind, name, err)
			}
		}
		if errors.Is(err, ErrTruncated) {
			c.Failures.Add(1)
			return Answer{}, fmt.Errorf("%s %s: %w", kind, name, err)
		}
		last = err
		timer := time.NewTimer(spell - time.Since(began)) // refused at once: no sense in asking at full speed
		select {
		case <-ctx.Done():
		case <-timer.C:
		}
		timer.Stop()
	}
	c.Failures.Add(1)
	if errors.Is(last, context.Canceled) || errors.Is(ctx.Err(), context.Canceled) {
		return Answer{}, context.Canceled
	}
	return Answer{}, fmt.Errorf("%s %s: %w", kind, name, last)
}

// QueryWithSerial asks for the zone's serial and for one set from one socket, so that both answers are of one server though
// several share its address. serial is nil where the server tells none.
func (c *Client) QueryWithSerial(ctx context.Context, zone, name string, kind record.Kind) (serial *uint32, a Answer, err error) {
	within, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	conn, err := (&net.Dialer{}).DialContext(within, "udp", c.Server)
	if err != nil {
		return nil, a, err
	}
	defer conn.Close()
	soa, err := c.queryConn(within, conn, zone, record.SOA)
	if err != nil {
		return nil, a, err
	}
	list, err := c.queryConn(within, conn, name, kind)
	if err != nil {
		return nil, a, err
	}
	for _, r := range c.parseAnswer(soa, zone, record.SOA).Records {
		if soa.Authoritative {
			serial = &r.Serial
		}
	}
	if list.Truncated || list.Rcode != dns.RcodeSuccess && list.Rcode != dns.RcodeNameError {
		a, err = c.Query(ctx, name, kind) // over TCP, or with its own words for the failure
		return serial, a, err
	}
	return serial, c.parseAnswer(list, name, kind), nil
}

// queryConn asks one question over a socket, again and again until it is answered or ctx ends.
func (c *Client) queryConn(ctx context.Context, conn net.Conn, name string, kind record.Kind) (answer *dns.Msg, err error) {
	wait := c.retryTimeout()
	for try := 0; ctx.Err() == nil; try, wait = try+1, min(2*wait, maxRetryInterval) {
		c.Queries.Add(1)
		if try > 0 {
			c.Retries.Add(1)
		}
		began := time.Now()
		one, cancel := context.WithTimeout(ctx, wait)
		answer, err = c.exchange(one, conn, newQuestion(name, kind))
		cancel()
		if err == nil {
			return answer, nil
		}
		timer := time.NewTimer(wait - time.Since(began))
		select {
		case <-ctx.Done():
		case <-timer.C:
		}
		timer.Stop()
	}
	c.Failures.Add(1)
	return nil, fmt.Errorf("%s %s: %w", kind, name, errors.Join(err, ctx.Err()))
}

func newQuestion(name string, kind record.Kind) *dns.Msg {
	q := new(dns.Msg).SetQuestion(mixCase(name), uint16(kind))
	q.RecursionDesired = false
	q.SetEdns0(maxUDPSize, false)
	return q
}

func (c *Client) queryOnce(ctx context.Context, name string, kind record.Kind, wait time.Duration) (*dns.Msg, error) {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	q := newQuestion(name, kind)
	conn, err := (&net.Dialer{}).DialContext(ctx, "udp", c.Server) // connected: datagrams of other sources are dropped
	if err != nil {
		return nil, err
	}
	defer conn.Close()
	answer, err := c.exchange(ctx, conn, q)
	if err != nil || !answer.Truncated {
		return answer, err
	}
	// Over TCP the time is the whole question's: what it takes to send is not known before.
	long, stop := context.WithTimeout(context.WithoutCancel(ctx), queryTimeout/2)
	defer stop()
	answer, _, err = (&dns.Client{Net: "tcp", Timeout: queryTimeout / 2}).ExchangeContext(long, q, c.Server)
	switch {
	case err != nil:
		return nil, err
	case !answersQuestion(answer, q):
		return nil, errors.New("an answer to another question over TCP")
	case answer.Truncated:
		return nil, ErrTruncated
	}
	return answer, nil
}

// exchange sends by UDP and waits for the answer, whatever else arrives.
func (c *Client) exchange(ctx context.Context, conn net.Conn, q *dns.Msg) (*dns.Msg, error) {
	until, _ := ctx.Deadline()
	_ = conn.SetDeadline(until)
	stop := context.AfterFunc(ctx, func() { _ = conn.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	raw, err := q.Pack()
	if err != nil {
		return nil, err
	}
	if _, err := conn.Write(raw); err != nil {
		return nil, err
	}
	buffer := make([]byte, 4096)
	for {
		n, err := conn.Read(buffer)
		if err != nil {
			return nil, err
		}
		answer := new(dns.Msg)
		if err := answer.Unpack(buffer[:n]); err != nil && !answer.Truncated || !answersQuestion(answer, q) {
			c.RejectedAnswers.Add(1)
			continue
		}
		return answer, nil
	}
}

// answersQuestion tells that an answer is to the question: id, name to the letter, kind and class.
func answersQuestion(answer, q *dns.Msg) bool {
	return answer.Response && answer.Id == q.Id && answer.Opcode == dns.OpcodeQuery && len(answer.Question) == 1 &&
		answer.Question[0].Qtype == q.Question[0].Qtype && answer.Question[0].Qclass == q.Question[0].Qclass &&
		sameName(answer.Question[0].Name, q.Question[0].Name)
}

func (c *Client) parseAnswer(m *dns.Msg, name string, kind record.Kind) Answer {
	a := Answer{Authoritative: m.Authoritative, NameError: m.Rcode == dns.RcodeNameError}
	own, domain := record.CanonicalName(name), record.CanonicalName(c.Domain)
	take := func(rr dns.RR, extra bool) {
		switch r, ok := record.Decode(rr); {
		case !ok:
		case r.Name == own && r.Kind == kind:
			if !extra {
				a.Records = append(a.Records, r)
			}
		case c.Domain != "" && record.Within(r.Name, domain) && r.Kind != record.SOA:
			a.Additional = append(a.Additional, r)
		}
	}
	for _, rr := range m.Answer {
		take(rr, false)
	}
	for _, rr := range m.Extra {
		take(rr, true)
	}
	for _, rr := range m.Ns {
		if r, ok := record.Decode(rr); ok && r.Kind == record.SOA && record.Within(own, r.Name) {
			a.NegativeTTL = r.NegativeTTL
		}
	}
	return a
}

// mixCase draws the case of the letters. Escapes have none.
func mixCase(name string) string {
	b := []byte(name)
	for i, c := range b {
		if ('a' <= c && c <= 'z' || 'A' <= c && c <= 'Z') && rand.IntN(2) == 0 {
			b[i] ^= 0x20
		}
	}
	return string(b)
}

// sameName compares two names to the letter, whatever way their escapes are written.
func sameName(a, b string) bool {
	if a == b {
		return true
	}
	var wire [2][256]byte
	n, errA := dns.PackDomainName(a, wire[0][:], 0, nil, false)
	m, errB := dns.PackDomainName(b, wire[1][:], 0, nil, false)
	return errA == nil && errB == nil && bytes.Equal(wire[0][:n], wire[1][:m])
}
