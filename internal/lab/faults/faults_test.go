package faults

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func echo(t *testing.T) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { l.Close() })
	u, err := net.ListenPacket("udp", l.Addr().String())
	require.NoError(t, err)
	t.Cleanup(func() { u.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() { _, _ = io.Copy(c, c) }()
		}
	}()
	return l.Addr().String()
}

// A cut says nothing, in one direction alone if it is told so, and what stood in it goes on once it ends; a reset is one.
func TestStreams(t *testing.T) {
	n := New(1)
	defer n.Close()
	address, err := n.Both(0, 1, echo(t))
	require.NoError(t, err)
	c, err := net.Dial("tcp", address)
	require.NoError(t, err)
	defer c.Close()
	say := func(s string) { _, err := io.WriteString(c, s); require.NoError(t, err) }
	hear := func(want string) {
		b := make([]byte, len(want))
		require.NoError(t, c.SetReadDeadline(time.Now().Add(5*time.Second)))
		_, err := io.ReadFull(c, b)
		require.NoError(t, err)
		require.Equal(t, want, string(b))
	}
	silent := func() {
		require.NoError(t, c.SetReadDeadline(time.Now().Add(50*time.Millisecond)))
		_, err := c.Read(make([]byte, 1))
		var late net.Error
		require.ErrorAs(t, err, &late)
		require.True(t, late.Timeout())
	}
	say("one")
	hear("one")
	for _, pair := range [][2]int{{0, 1}, {1, 0}} {
		n.Set(pair[0], pair[1], Way{Cut: true})
		say("two")
		silent()
		n.Heal()
		hear("two")
	}
	n.Reset(1, 0)
	_, err = c.Read(make([]byte, 1))
	require.Error(t, err)
}

// Packets are lost, doubled and cut off as told.
func TestPackets(t *testing.T) {
	target, err := net.ListenPacket("udp", "127.0.0.1:0")
	require.NoError(t, err)
	defer target.Close()
	n := New(1)
	defer n.Close()
	address, err := n.Both(0, 1, target.LocalAddr().String())
	require.NoError(t, err)
	c, err := net.Dial("udp", address)
	require.NoError(t, err)
	defer c.Close()
	got := func() int {
		all := 0
		for {
			_ = target.SetReadDeadline(time.Now().Add(100 * time.Millisecond))
			if _, _, err := target.ReadFrom(make([]byte, 10)); err != nil {
				return all
			}
			all++
		}
	}
	for name, w := range map[string]struct {
		Way
		least, most int
	}{"good": {Way{}, 50, 50}, "cut": {Way{Cut: true}, 0, 0}, "lossy": {Way{Loss: 0.5}, 10, 40}, "doubled": {Way{Double: 1}, 100, 100}, "late": {Way{Delay: time.Millisecond, Spread: time.Millisecond}, 50, 50}} {
		n.Set(0, 1, w.Way)
		for range 50 {
			_, err := c.Write([]byte("x"))
			require.NoError(t, err)
		}
		came := got()
		require.GreaterOrEqual(t, came, w.least, name)
		require.LessOrEqual(t, came, w.most, name)
	}
}
