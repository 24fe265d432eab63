package resolver

import (
	"net"
	"testing"

	"github.com/miekg/dns"
	"github.com/stretchr/testify/require"

	"standpoint/internal/dnssd/record"
)

// Answers from another source, with the right id and name, and ones with another kind of record, are passed over: the
// server's own, which comes behind them, counts.
func TestAnswersFromOtherSourcesAreRejected(t *testing.T) {
	server, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	require.NoError(t, err)
	defer func() { _ = server.Close() }()
	forger, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	require.NoError(t, err)
	defer func() { _ = forger.Close() }()
	go func() {
		buffer := make([]byte, 4096)
		for {
			n, from, err := server.ReadFromUDPAddrPort(buffer)
			if err != nil {
				return
			}
			q := new(dns.Msg)
			if q.Unpack(buffer[:n]) != nil {
				return
			}
			answer := func(ip string, kind uint16) []byte {
				m := new(dns.Msg).SetReply(q)
				m.Question[0].Qtype = kind
				m.Answer = []dns.RR{
					&dns.A{
						Hdr: dns.RR_Header{Name: q.Question[0].Name, Rrtype: dns.TypeA, Class: dns.ClassINET, Ttl: 9},
						A:   net.ParseIP(ip),
					},
				}
				raw, _ := m.Pack()
				return raw
			}
			_, _ = forger.WriteToUDPAddrPort(answer("127.66.66.66", dns.TypeA), from)
			_, _ = server.WriteToUDPAddrPort(answer("127.77.77.77", dns.TypeTXT), from)
			_, _ = server.WriteToUDPAddrPort(answer("127.0.0.7", dns.TypeA), from)
		}
	}()
	c := &Client{Server: server.LocalAddr().String(), Domain: "hall.test"}
	for range 20 {
		a, err := c.Query(t.Context(), "box.hall.test.", record.A)
		require.NoError(t, err)
		require.Len(t, a.Records, 1)
		require.Equal(t, "127.0.0.7", a.Records[0].IP.String())
	}
	require.GreaterOrEqual(t, c.RejectedAnswers.Load(), int64(20))
}
