package realserver

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// A connection that comes up after its attempt has given it up is a sign of life, and the next attempt's; one that comes for a
// process that has been replaced is neither, and none is kept for longer than its server would.
func TestConnectionsThatComeLate(t *testing.T) {
	opened, came := make(chan net.Conn), make(chan string, 10)
	start := func() *dialing {
		return &dialing{Options: Options{DialTimeout: 20 * time.Millisecond, ConnIdle: 10 * time.Second, Came: func(name string) { came <- name }}, name: "s",
			open: func(context.Context, string, string) (net.Conn, error) { return <-opened, nil }}
	}
	d := start()
	_, err := d.dial(t.Context(), "tcp", "a")
	var late net.Error
	require.ErrorAs(t, err, &late)
	require.True(t, late.Timeout())
	near, far := socketPair(t)
	defer far.Close()
	opened <- near
	require.Equal(t, "s", <-came)
	c, err := d.dial(t.Context(), "tcp", "a")
	require.NoError(t, err)
	require.Equal(t, near, c, "the one that came late")
	c.Close()
	_, err = d.dial(t.Context(), "tcp", "a")
	require.Error(t, err)
	d.close()
	near, gone := socketPair(t)
	defer gone.Close()
	opened <- near
	_, err = gone.Read(make([]byte, 1))
	require.Error(t, err, "closed: it leads to the process before")
	require.Empty(t, came)
	d = start()
	near, dead := socketPair(t)
	d.came(near)
	require.Equal(t, "s", <-came)
	require.NoError(t, dead.Close())
	require.Eventually(t, (&link{Conn: near}).stirring, time.Second, time.Millisecond)
	_, err = d.dial(t.Context(), "tcp", "a")
	require.Error(t, err, "one that its server has ended is of no use")
}
