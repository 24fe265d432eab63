package loopback

import (
	"net"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against an address that is not free: all can be listened on at once, for TCP and UDP, and no two calls return
// the same one.
func TestAddressesAreFree(t *testing.T) {
	t.Parallel()
	seen := map[string]bool{}
	for range 50 {
		addresses, err := FreeAddresses(4)
		require.NoError(t, err)
		for _, address := range addresses {
			require.False(t, seen[address], address)
			seen[address] = true
			listener, err := net.Listen("tcp", address)
			require.NoError(t, err)
			defer listener.Close()
			packets, err := net.ListenPacket("udp", address)
			require.NoError(t, err)
			defer packets.Close()
		}
	}
}

// Guards against a host with a port in use that is taken for free.
func TestPortInUse(t *testing.T) {
	t.Parallel()
	addresses, err := FreeAddresses(1)
	require.NoError(t, err)
	listener, err := net.Listen("tcp", addresses[0])
	require.NoError(t, err)
	defer listener.Close()
	host, _, err := net.SplitHostPort(addresses[0])
	require.NoError(t, err)
	require.Empty(t, freePorts(host, 1))
}
