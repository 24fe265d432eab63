package console

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/url"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
)

// start runs a console until the test ends, and returns its address.
func start(t *testing.T, n Operations) string {
	t.Helper()
	if n.Ready == nil {
		n.Ready = func() bool { return true }
	}
	known := func(_ context.Context, id string) error {
		if id != "s-1" {
			return ErrUnknownBackend
		}
		return nil
	}
	n.Metrics = func() []byte { return []byte("app.inflight=14\n") }
	n.Disable, n.Enable = known, known
	s, err := Listen("127.0.0.1:0", n, zap.NewNop())
	require.NoError(t, err)
	go func() { _ = s.Serve() }()
	t.Cleanup(func() { _ = s.Close() })
	return s.Address()
}

// call sends a request, and returns the status and body of the response.
func call(t *testing.T, address, method, target string) (int, string) {
	t.Helper()
	r, err := http.NewRequest(method, "http://"+address+target, nil)
	require.NoError(t, err)
	response, err := (&http.Client{Timeout: time.Second}).Do(r)
	require.NoError(t, err, "clients wait 1 s")
	defer response.Body.Close()
	require.True(t, response.Close, "one request per connection")
	body, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	return response.StatusCode, string(body)
}

// Each request gets the status of its path and outcome, and an invalid request a 4xx status or a closed connection.
func TestResponseStatuses(t *testing.T) {
	address := start(t, Operations{SetDrained: func(_ context.Context, on bool) error {
		if !on {
			return ErrStopping
		}
		return nil
	}})
	for _, c := range []struct {
		method, target string
		status         int
	}{
		{"GET", "/ops/readiness", 200}, {"GET", "/ops/stats", 200},
		{"POST", "/ops/engines/down?id=s-1", 200}, {"POST", "/ops/engines/up?id=s-1", 200},
		{"POST", "/ops/engines/down?id=s-9", 404}, {"POST", "/ops/engines/up?id=s-9", 404},
		{"POST", "/ops/engines/down", 400}, {"POST", "/ops/engines/down?id=", 400}, {"POST",
			"/ops/engines/down?id=s-1&id=s-2", 400},
		{"POST", "/ops/engines/down?id=" + strings.Repeat("x", 300), 400}, {"POST", "/ops/engines/down?id=%zz", 400},
		{"POST", "/ops/drain/start", 200}, {"POST", "/ops/drain/stop", 409},
		{"GET", "/ops/drain/start", 405}, {"GET", "/ops/engines/down?id=s-1", 405}, {"POST", "/ops/stats", 405},
		{"GET", "/ops/none", 404}, {"GET", "/", 404},
	} {
		status, _ := call(t, address, c.method, c.target)
		require.Equal(t, c.status, status, "%s %s", c.method, c.target)
	}
	_, text := call(t, address, "GET", "/ops/stats")
	require.Equal(t, "app.inflight=14\n", text)
	for _, bad := range []string{
		"nonsense\r\n\r\n",
		"POST /ops/drain/start HTTP/1.1\r\nHost: x\r\nContent-Length: -1\r\n\r\n",
		"GET /ops/stats HTTP/1.1\r\nHost: x\r\nX-Long: " + strings.Repeat("x", 64<<10) + "\r\n\r\n",
	} {
		c, err := net.Dial("tcp", address)
		require.NoError(t, err)
		defer c.Close()
		_, _ = io.WriteString(c, bad) // the server may close the connection before all is written
		require.NoError(t, c.SetReadDeadline(time.Now().Add(3*time.Second)))
		line, err := bufio.NewReader(c).ReadString('\n')
		if err == nil {
			require.Contains(t, line, "HTTP/1.1 4")
		} else {
			require.NotErrorIs(t, err, os.ErrDeadlineExceeded)
		}
	}
}

// Connections without a complete request do not block other requests, however many there are, and are closed by the
// read timeout at the latest.
func TestUnfinishedCallsDoNotBlockOthers(t *testing.T) {
	address := start(t, Operations{})
	var hanging []net.Conn
	for i := range 3 * maxConnections {
		c, err := net.Dial("tcp", address)
		require.NoError(t, err)
		defer c.Close()
		if i%2 == 0 {
			_, _ = io.WriteString(c, "GET /ops/readiness HTT")
		}
		hanging = append(hanging, c)
		status, _ := call(t, address, "GET", "/ops/readiness")
		require.Equal(t, http.StatusOK, status)
	}
	for _, c := range hanging {
		require.NoError(t, c.SetReadDeadline(time.Now().Add(4*time.Second)))
		_, err := io.Copy(io.Discard, c)
		require.False(t, errors.Is(err, os.ErrDeadlineExceeded), "the connection is still open")
	}
}

// A command that is not carried out in time gets a response within the 1 s that clients wait. Other requests are served
// meanwhile.
func TestCommandTimesOut(t *testing.T) {
	address := start(t, Operations{SetDrained: func(ctx context.Context, _ bool) error {
		<-ctx.Done()
		return ctx.Err()
	}})
	answered := make(chan int, 1)
	go func() {
		status, _ := call(t, address, "POST", "/ops/drain/start")
		answered <- status
	}()
	status, _ := call(t, address, "GET", "/ops/stats")
	require.Equal(t, http.StatusOK, status)
	require.Equal(t, http.StatusServiceUnavailable, <-answered)
}

func FuzzParseID(f *testing.F) {
	for _, seed := range []string{"id=s-1", "id=", "id=a&id=b", "id=%zz", "id=%00", ";", "id=a;b"} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, query string) {
		id, err := parseID(query)
		if err != nil {
			require.Empty(t, id)
			return
		}
		require.True(t, id != "" && len(id) <= maxIDLength)
		values, err := url.ParseQuery(query)
		require.NoError(t, err)
		require.Equal(t, []string{id}, values["id"])
	})
}
