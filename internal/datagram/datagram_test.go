package datagram

import (
	"context"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"standpoint/internal/loopback"
)

type received struct {
	from int
	data string
}

// startExchange runs an exchange until the test ends, and returns it with a channel of the messages that it receives.
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
			case <-ctx.Done(): // the test has ended, and no longer reads from the channel
			}
		})
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return x, got
}

// sendUntilReceived sends a message repeatedly until one is received, since the other exchange may not be bound yet.
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
	t.Fatal("no message received")
	return received{}
}

// Messages are passed on with the number of their sender. Messages of unknown senders and messages that are empty or
// too long are dropped, as are those to unknown nodes.
func TestOnlyMessagesOfKnownNodesAreReceived(t *testing.T) {
	peers, err := loopback.FreeAddresses(2)
	require.NoError(t, err)
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

// While another process uses its address, an exchange receives nothing and its peers do not block; it binds the address
// once that is free.
func TestExchangeBindsOnceTheAddressIsFree(t *testing.T) {
	peers, err := loopback.FreeAddresses(2)
	require.NoError(t, err)
	other, err := net.ListenPacket("udp4", peers[1])
	require.NoError(t, err)
	first, _ := startExchange(t, peers[0], peers)
	_, got := startExchange(t, peers[1], peers)
	for range 2 * queueSize { // more than the queue's size, without blocking
		first.Send(1, "lost")
	}
	require.Empty(t, got)
	require.NoError(t, other.Close())
	for sendUntilReceived(t, first, 1, "again", got).data != "again" {
		continue // messages from the queue may arrive first
	}
}
