package datagram

import (
	"context"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
)

// freeAddresses are loopback addresses that no socket has.
func freeAddresses(t *testing.T, n int) []string {
	t.Helper()
	var all []string
	for range n {
		conn, err := net.ListenPacket("udp4", "127.0.0.1:0")
		require.NoError(t, err)
		defer conn.Close()
		all = append(all, conn.LocalAddr().String())
	}
	return all
}

type received struct {
	from int
	data string
}

// startExchange runs an exchange until the test ends, and passes on what it receives.
func startExchange(t *testing.T, address string, peers []string) (*Exchange, chan received) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	x := New(address, peers, zap.NewNop())
	got := make(chan received, 100)
	done := make(chan struct{})
	go func() {
		defer close(done)
		x.Run(ctx, func(from int, data string) {
			select {
			case got <- received{from, data}:
			case <-ctx.Done(): // a test that has ended reads no more
			}
		})
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return x, got
}

// sendUntilReceived repeats a message until it is received: the other side may not be bound yet.
func sendUntilReceived(t *testing.T, x *Exchange, to int, data string, got chan received) received {
	t.Helper()
	for range 500 {
		x.Send(to, data)
		select {
		case r := <-got:
			return r
		case <-time.After(10 * time.Millisecond):
		}
	}
	t.Fatal("nothing came")
	return received{}
}

// Messages come with the number of their sender. Those of unknown senders, and those that are too long, are dropped.
func TestOnlyMessagesOfKnownNodesAreReceived(t *testing.T) {
	peers := freeAddresses(t, 2)
	first, _ := startExchange(t, peers[0], peers)
	_, got := startExchange(t, peers[1], peers)
	require.Equal(t, received{0, "hello"}, sendUntilReceived(t, first, 1, "hello", got))
	stranger, err := net.Dial("udp4", peers[1])
	require.NoError(t, err)
	defer stranger.Close()
	_, err = stranger.Write([]byte("strange"))
	require.NoError(t, err)
	first.Send(1, strings.Repeat("x", MaxSize+1))
	first.Send(1, "")
	first.Send(2, "nobody")
	first.Send(-1, "nobody")
	for {
		r := sendUntilReceived(t, first, 1, "last", got)
		require.Contains(t, []string{"hello", "last"}, r.data)
		if r.data == "last" {
			return
		}
	}
}

// While another process has the address the exchange drops what it should send, and binds the address once it is free.
func TestExchangeBindsOnceTheAddressIsFree(t *testing.T) {
	peers := freeAddresses(t, 2)
	other, err := net.ListenPacket("udp4", peers[1])
	require.NoError(t, err)
	first, _ := startExchange(t, peers[0], peers)
	_, got := startExchange(t, peers[1], peers)
	for range 2 * queueSize { // nobody is waited for
		first.Send(1, "lost")
	}
	require.Empty(t, got)
	require.NoError(t, other.Close())
	for sendUntilReceived(t, first, 1, "again", got).data != "again" {
		continue // what waited to be sent may come first
	}
}
