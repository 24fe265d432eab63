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
	// maxUDPSize is the largest answer that is accepted over UDP, in bytes (EDNS(0)).
	maxUDPSize = 1232
	// bufferSize is what is read of a datagram, in bytes.
	bufferSize = 4096
	tcpTimeout = queryTimeout / 2
	// caseBit is what the two cases of an ASCII letter differ in.
	caseBit = 0x20
)

// newQuestion makes a query. The case of the name's letters is drawn at random and must come back as the id must (0x20
// encoding), so that a forged answer has to guess both.
func newQuestion(name string, kind record.Kind) *dns.Msg {
	question := new(dns.Msg).SetQuestion(mixCase(name), uint16(kind))
	question.RecursionDesired = false
	question.SetEdns0(maxUDPSize, false)
	return question
}

// queryOnce makes one attempt over UDP, and over TCP if the answer was truncated.
func (c *Client) queryOnce(
	ctx context.Context, name string, kind record.Kind, timeout time.Duration,
) (*dns.Msg, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	question := newQuestion(name, kind)
	// The socket is connected: the kernel drops datagrams from other sources.
	conn, err := (&net.Dialer{}).DialContext(ctx, "udp", c.Server)
	if err != nil {
		return nil, err
	}
	defer conn.Close()
	answer, err := c.exchange(ctx, conn, question)
	if err != nil || !answer.Truncated {
		return answer, err
	}
	return c.exchangeTCP(ctx, question)
}

// exchangeTCP sends a query over TCP. It has tcpTimeout whatever time ctx has left, as how long a large answer takes is
// not known beforehand.
func (c *Client) exchangeTCP(ctx context.Context, question *dns.Msg) (*dns.Msg, error) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), tcpTimeout)
	defer cancel()
	client := &dns.Client{Net: "tcp", Timeout: tcpTimeout}
	answer, _, err := client.ExchangeContext(ctx, question, c.Server)
	switch {
	case err != nil:
		return nil, err
	case !answersQuestion(answer, question):
		return nil, errors.New("an answer to another question over TCP")
	case answer.Truncated:
		return nil, ErrTruncated
	}
	return answer, nil
}

// exchange sends a query over UDP and waits for its answer until ctx ends. Whatever else arrives is counted and
// dropped.
func (c *Client) exchange(ctx context.Context, conn net.Conn, question *dns.Msg) (*dns.Msg, error) {
	deadline, _ := ctx.Deadline()
	_ = conn.SetDeadline(deadline) // on a closed socket the write below says so
	stop := context.AfterFunc(ctx, func() { _ = conn.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	raw, err := question.Pack()
	if err != nil {
		return nil, err
	}
	if _, err := conn.Write(raw); err != nil {
		return nil, err
	}
	buffer := make([]byte, bufferSize)
	for {
		n, err := conn.Read(buffer)
		if err != nil {
			return nil, err
		}
		answer := new(dns.Msg)
		if err := answer.Unpack(buffer[:n]); err != nil && !answer.Truncated || !answersQuestion(answer, question) {
			c.RejectedAnswers.Add(1)
			continue
		}
		return answer, nil
	}
}

// answersQuestion reports whether an answer is to the question: by id, kind, class, and name to the letter.
func answersQuestion(answer, question *dns.Msg) bool {
	if !answer.Response || answer.Id != question.Id || answer.Opcode != dns.OpcodeQuery || len(answer.Question) != 1 {
		return false
	}
	got := answer.Question[0]
	want := question.Question[0]
	return got.Qtype == want.Qtype && got.Qclass == want.Qclass && sameName(got.Name, want.Name)
}

// mixCase draws the case of a name's letters. Escapes have no letters.
func mixCase(name string) string {
	mixed := []byte(name)
	for i, c := range mixed {
		if ('a' <= c && c <= 'z' || 'A' <= c && c <= 'Z') && rand.IntN(2) == 0 {
			mixed[i] ^= caseBit
		}
	}
	return string(mixed)
}

// sameName compares two names to the letter, whatever way their escapes are written.
func sameName(a, b string) bool {
	if a == b {
		return true
	}
	const maxWireSize = 256
	var wireA, wireB [maxWireSize]byte
	sizeA, errA := dns.PackDomainName(a, wireA[:], 0, nil, false)
	sizeB, errB := dns.PackDomainName(b, wireB[:], 0, nil, false)
	return errA == nil && errB == nil && bytes.Equal(wireA[:sizeA], wireB[:sizeB])
}
