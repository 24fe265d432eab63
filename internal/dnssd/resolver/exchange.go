package resolver

import (
	"bytes"
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"time"

	"github.com/miekg/dns"

	"standpoint/internal/dnssd/record"
)

const (
	// maxUDPSize is the largest UDP response in bytes that queries announce support for (EDNS(0)).
	maxUDPSize = 1232
	// readBufferSize is the size in bytes of the buffer that a datagram is read into.
	readBufferSize = 4096
	// tcpTimeout bounds one query over TCP.
	tcpTimeout = queryTimeout / 2
	// caseBit is the bit in which the upper and lower case of an ASCII letter differ.
	caseBit = 0x20
)

// newQuery returns a query. The case of the letters in the name is random, and the response must repeat it like the
// id (0x20 encoding), so that a forged response has to guess both.
func newQuery(name string, kind record.Kind) *dns.Msg {
	query := new(dns.Msg).SetQuestion(randomizeCase(name), uint16(kind))
	query.RecursionDesired = false
	query.SetEdns0(maxUDPSize, false)
	return query
}

// queryOnce makes one attempt over UDP, and over TCP if the response was truncated.
func (c *Client) queryOnce(
	ctx context.Context, name string, kind record.Kind, timeout time.Duration,
) (*dns.Msg, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	query := newQuery(name, kind)
	// The socket is connected: the kernel drops datagrams from other sources.
	conn, err := (&net.Dialer{}).DialContext(ctx, "udp", c.Server)
	if err != nil {
		return nil, err
	}
	defer conn.Close()
	response, err := c.exchange(ctx, conn, query)
	if err != nil || !response.Truncated {
		return response, err
	}
	return c.exchangeTCP(ctx, query)
}

// exchangeTCP sends a query over TCP and returns its response. It ignores the deadline and cancellation of ctx and
// waits up to tcpTimeout, as a large response may take longer than the rest of an attempt's time.
func (c *Client) exchangeTCP(ctx context.Context, query *dns.Msg) (*dns.Msg, error) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), tcpTimeout)
	defer cancel()
	client := &dns.Client{Net: "tcp", Timeout: tcpTimeout}
	response, _, err := client.ExchangeContext(ctx, query, c.Server)
	switch {
	case err != nil:
		return nil, err
	case !matchesQuery(response, query):
		return nil, errors.New("response over TCP does not match the query")
	case response.Truncated:
		return nil, ErrTruncated
	}
	return response, nil
}

// exchange sends a query over UDP and waits for its response until ctx is done. All other datagrams are counted and
// dropped.
func (c *Client) exchange(ctx context.Context, conn net.Conn, query *dns.Msg) (*dns.Msg, error) {
	deadline, _ := ctx.Deadline()
	_ = conn.SetDeadline(deadline) // on a closed socket the write below returns the error
	stop := context.AfterFunc(ctx, func() { _ = conn.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	raw, err := query.Pack()
	if err != nil {
		return nil, err
	}
	if _, err := conn.Write(raw); err != nil {
		return nil, err
	}
	buffer := make([]byte, readBufferSize)
	for {
		n, err := conn.Read(buffer)
		if err != nil {
			return nil, err
		}
		response := new(dns.Msg)
		if err := response.Unpack(buffer[:n]); err != nil && !response.Truncated || !matchesQuery(response, query) {
			c.RejectedResponses.Add(1)
			continue
		}
		return response, nil
	}
}

// matchesQuery reports whether a response matches the query: its id, type and class, and the name including the case.
func matchesQuery(response, query *dns.Msg) bool {
	if !response.Response || response.Id != query.Id || response.Opcode != dns.OpcodeQuery ||
		len(response.Question) != 1 {
		return false
	}
	got := response.Question[0]
	want := query.Question[0]
	return got.Qtype == want.Qtype && got.Qclass == want.Qclass && equalNames(got.Name, want.Name)
}

// randomizeCase returns the name with the case of its letters drawn at random. Escapes contain no letters.
func randomizeCase(name string) string {
	mixed := []byte(name)
	for i, c := range mixed {
		if ('a' <= c && c <= 'z' || 'A' <= c && c <= 'Z') && rand.IntN(2) == 0 {
			mixed[i] ^= caseBit
		}
	}
	return string(mixed)
}

// equalNames reports whether two names are equal, including the case. Escapes may be written in different ways.
func equalNames(a, b string) bool {
	if a == b {
		return true
	}
	const maxWireSize = 256
	var wireA, wireB [maxWireSize]byte
	sizeA, errA := dns.PackDomainName(a, wireA[:], 0, nil, false)
	sizeB, errB := dns.PackDomainName(b, wireB[:], 0, nil, false)
	return errA == nil && errB == nil && bytes.Equal(wireA[:sizeA], wireB[:sizeB])
}
