package resolver

import (
	"net"
	"testing"

	"github.com/miekg/dns"
	"github.com/stretchr/testify/require"

	"standpoint/internal/dnssd/record"
)

// Guards against the acceptance of a response from another address, though its id and name match, or of one to another
// query type: the later response of the server itself must be used.
func TestResponsesFromOtherSourcesAreRejected(t *testing.T) {
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
			query := new(dns.Msg)
			if query.Unpack(buffer[:n]) != nil {
				return
			}
			reply := func(ip string, kind uint16) []byte {
				m := new(dns.Msg).SetReply(query)
				m.Question[0].Qtype = kind
				m.Answer = []dns.RR{
					&dns.A{
						Hdr: dns.RR_Header{
							Name: query.Question[0].Name, Rrtype: dns.TypeA, Class: dns.ClassINET, Ttl: 9,
						},
						A: net.ParseIP(ip),
					},
				}
				raw, _ := m.Pack()
				return raw
			}
			_, _ = forger.WriteToUDPAddrPort(reply("127.66.66.66", dns.TypeA), from)
			_, _ = server.WriteToUDPAddrPort(reply("127.77.77.77", dns.TypeTXT), from)
			_, _ = server.WriteToUDPAddrPort(reply("127.0.0.7", dns.TypeA), from)
		}
	}()
	client := &Client{Server: server.LocalAddr().String(), Domain: "hall.test"}
	for range 20 {
		response, err := client.Query(t.Context(), "box.hall.test.", record.A)
		require.NoError(t, err)
		require.Len(t, response.Records, 1)
		require.Equal(t, "127.0.0.7", response.Records[0].IP.String())
	}
	require.GreaterOrEqual(t, client.RejectedResponses.Load(), int64(20))
}
