package faults

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// startEcho starts a TCP server that echoes what it receives, with an unused UDP socket at the same address, which it
// returns.
func startEcho(t *testing.T) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { listener.Close() })
	packets, err := net.ListenPacket("udp", listener.Addr().String())
	require.NoError(t, err)
	t.Cleanup(func() { packets.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() { _, _ = io.Copy(conn, conn) }()
		}
	}()
	return listener.Addr().String()
}

// TestStreams checks that a blocked direction stalls a stream without an error, even if the other direction is open,
// that the stalled bytes arrive once the direction is unblocked, and that a reset ends the stream.
func TestStreams(t *testing.T) {
	network := New(1)
	defer network.Close()
	address, err := network.RelayTCPAndUDP(0, 1, startEcho(t))
	require.NoError(t, err)
	conn, err := net.Dial("tcp", address)
	require.NoError(t, err)
	defer conn.Close()
	send := func(text string) { _, err := io.WriteString(conn, text); require.NoError(t, err) }
	receive := func(want string) {
		buffer := make([]byte, len(want))
		require.NoError(t, conn.SetReadDeadline(time.Now().Add(5*time.Second)))
		_, err := io.ReadFull(conn, buffer)
		require.NoError(t, err)
		require.Equal(t, want, string(buffer))
	}
	receiveNothing := func() {
		require.NoError(t, conn.SetReadDeadline(time.Now().Add(50*time.Millisecond)))
		_, err := conn.Read(make([]byte, 1))
		var timeout net.Error
		require.ErrorAs(t, err, &timeout)
		require.True(t, timeout.Timeout())
	}
	send("one")
	receive("one")
	for _, pair := range [][2]int{{0, 1}, {1, 0}} {
		network.SetConditions(pair[0], pair[1], Conditions{Blocked: true})
		send("two")
		receiveNothing()
		network.ClearConditions()
		receive("two")
	}
	network.ResetStreams(1, 0)
	_, err = conn.Read(make([]byte, 1))
	require.Error(t, err)
}

// TestPackets checks how many of 50 packets arrive under each kind of conditions.
func TestPackets(t *testing.T) {
	target, err := net.ListenPacket("udp", "127.0.0.1:0")
	require.NoError(t, err)
	defer target.Close()
	network := New(1)
	defer network.Close()
	address, err := network.RelayTCPAndUDP(0, 1, target.LocalAddr().String())
	require.NoError(t, err)
	conn, err := net.Dial("udp", address)
	require.NoError(t, err)
	defer conn.Close()
	countReceived := func() int {
		count := 0
		for {
			_ = target.SetReadDeadline(time.Now().Add(100 * time.Millisecond))
			if _, _, err := target.ReadFrom(make([]byte, 10)); err != nil {
				return count
			}
			count++
		}
	}
	for name, test := range map[string]struct {
		Conditions
		minimum, maximum int
	}{
		"good":       {Conditions{}, 50, 50},
		"blocked":    {Conditions{Blocked: true}, 0, 0},
		"lossy":      {Conditions{LossRate: 0.5}, 10, 40},
		"duplicated": {Conditions{DuplicateRate: 1}, 100, 100},
		"delayed":    {Conditions{Delay: time.Millisecond, Jitter: time.Millisecond}, 50, 50},
	} {
		network.SetConditions(0, 1, test.Conditions)
		for range 50 {
			_, err := conn.Write([]byte("x"))
			require.NoError(t, err)
		}
		received := countReceived()
		require.GreaterOrEqual(t, received, test.minimum, name)
		require.LessOrEqual(t, received, test.maximum, name)
	}
}
