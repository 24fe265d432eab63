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

// free are loopback addresses that nobody has.
func free(t *testing.T, n int) []string {
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

func run(t *testing.T, address string, peers []string) (*Exchange, chan received) {
	ctx, cancel := context.WithCancel(context.Background())
	x, got, done := New(address, peers, zap.NewNop()), make(chan received, 100), make(chan struct{})
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

// until repeats a message until it is received: the other side may not be bound yet.
func until(t *testing.T, x *Exchange, to int, data string, got chan received) received {
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

// Messages come with the number of the node that sent them. Whoever is no node of the tier is not heard, nor is what is too long.
func TestMessagesBetweenNodes(t *testing.T) {
	peers := free(t, 2)
	first, _ := run(t, peers[0], peers)
	_, got := run(t, peers[1], peers)
	require.Equal(t, received{0, "hello"}, until(t, first, 1, "hello", got))
	stranger, err := net.Dial("udp4", peers[1])
	require.NoError(t, err)
	defer stranger.Close()
	_, err = stranger.Write([]byte("strange"))
	require.NoError(t, err)
	first.Send(1, strings.Repeat("x", SizeMost+1))
	first.Send(1, "")
	first.Send(2, "nobody")
	first.Send(-1, "nobody")
	for {
		r := until(t, first, 1, "last", got)
		require.Contains(t, []string{"hello", "last"}, r.data)
		if r.data == "last" {
			return
		}
	}
}

// While another process of the node has the address this one does without, and takes it once that is gone.
func TestTheAddressIsTaken(t *testing.T) {
	peers := free(t, 2)
	other, err := net.ListenPacket("udp4", peers[1])
	require.NoError(t, err)
	first, _ := run(t, peers[0], peers)
	_, got := run(t, peers[1], peers)
	for range 2 * queueSize { // nobody is waited for
		first.Send(1, "lost")
	}
	require.Empty(t, got)
	require.NoError(t, other.Close())
	for until(t, first, 1, "again", got).data != "again" {
		continue // what waited to be sent may come first
	}
}
