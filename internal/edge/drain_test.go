package edge_test

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"standpoint/internal/node"
	"standpoint/internal/testpeer"
)

// raw is a request as it stands on the wire, with a body of at least so many bytes.
func raw(t *testing.T, n *testpeer.Node, size int, edit func(*http.Request)) []byte {
	r := n.Chat(t.Context(), edit)
	body := `{"messages":[{"role":"user","content":"` + strings.Repeat("x", size) + `"}]}`
	r.Body, r.ContentLength = io.NopCloser(strings.NewReader(body)), int64(len(body))
	var b bytes.Buffer
	require.NoError(t, r.Write(&b))
	return b.Bytes()
}

// answer reads one answer whole.
func answer(t *testing.T, c net.Conn, in *bufio.Reader) (status int, body string) {
	require.NoError(t, c.SetReadDeadline(time.Now().Add(5*time.Second)))
	response, err := http.ReadResponse(in, nil)
	require.NoError(t, err, "closed without an answer")
	defer response.Body.Close()
	all, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	return response.StatusCode, string(all)
}

func always(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	testpeer.Event(w, "whole")
	testpeer.Finish(w)
}

// once is a context with which Leave looks a single time.
func once() context.Context {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	return ctx
}

// The ways in which a node ends connections that rest.
var closers = map[string]func(n *testpeer.Node){
	"as it ends":        func(n *testpeer.Node) { _ = n.Room.Drain(once()) },
	"before the kill":   func(n *testpeer.Node) { n.Room.CloseIdle() },
	"to have room":      func(n *testpeer.Node) { n.Room.Resize(1); n.Dial() },
	"sent away by hand": func(n *testpeer.Node) { n.Room.SetDraining(true); time.Sleep(600 * time.Millisecond) }, // by its own clock
}

// A request on a resting connection that the node ends at that moment: its bytes have left the socket, and the server has not got
// them yet. It is answered.
func TestARequestReadAsItsConnectionIsEnded(t *testing.T) {
	t.Parallel()
	for name, end := range closers {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			held := testpeer.HoldReads()
			n := testpeer.StartHeld(t, held.Conn, nil, testpeer.Settings(), testpeer.Entry("s", testpeer.Server(t, always)))
			c := n.Dial()
			in := bufio.NewReader(c)
			_, err := c.Write(raw(t, n, 10, nil))
			require.NoError(t, err)
			status, _ := answer(t, c, in)
			require.Equal(t, http.StatusOK, status)
			time.Sleep(2100 * time.Millisecond) // until it may be ended to have room
			held.Hold()
			_, err = c.Write(raw(t, n, 20<<10, nil))
			require.NoError(t, err)
			<-held.Came
			end(n)
			held.Go <- struct{}{}
			status, _ = answer(t, c, in)
			require.Equal(t, http.StatusOK, status)
		})
	}
}

// Half of a request has come when the node ends what rests; the other half comes, and it is answered.
func TestARequestHalfReadAsConnectionsAreEnded(t *testing.T) {
	t.Parallel()
	for name, end := range closers {
		if name == "before the kill" { // then there is a moment for the rest, and no more
			continue
		}
		for part, at := range map[string]int{"within its head": 30, "within its body": 5000} {
			t.Run(name+", "+part, func(t *testing.T) {
				t.Parallel()
				held := testpeer.HoldReads()
				n := testpeer.StartHeld(t, held.Conn, nil, testpeer.Settings(), testpeer.Entry("s", testpeer.Server(t, always)))
				c := n.Dial()
				request := raw(t, n, 20<<10, nil)
				held.Hold()
				_, err := c.Write(request[:at])
				require.NoError(t, err)
				<-held.Came
				held.Go <- struct{}{}
				end(n)
				_, err = c.Write(request[at:])
				require.NoError(t, err)
				status, _ := answer(t, c, bufio.NewReader(c))
				require.Equal(t, http.StatusOK, status)
			})
		}
	}
}

// A connection that was accepted before the node left off listening, and on which nothing had come by then: its request is
// answered, and says that the connection ends.
func TestAFirstRequestAfterTheNodeLeftOffListening(t *testing.T) {
	t.Parallel()
	held := testpeer.HoldReads()
	n := testpeer.StartHeld(t, held.Conn, nil, testpeer.Settings(), testpeer.Entry("s", testpeer.Server(t, always)))
	c := n.Dial()
	<-held.Accepted
	require.NoError(t, n.Life.Enter(node.Draining))
	left := make(chan error, 1)
	go func() { left <- n.Room.Drain(t.Context()) }()
	require.Eventually(t, func() bool {
		late, err := net.Dial("tcp", n.Address)
		if err == nil {
			late.Close()
		}
		return err != nil
	}, 3*time.Second, time.Millisecond)
	_, err := c.Write(raw(t, n, 20<<10, nil))
	require.NoError(t, err)
	status, body := answer(t, c, bufio.NewReader(c))
	require.Equal(t, http.StatusOK, status)
	require.Contains(t, body, "[DONE]")
	require.NoError(t, <-left, "and the room is empty then")
}

// An answer that began before the node was told to stop could not say that its connection ends: that ends with it. The client
// that sends at once is either heard, or finds a connection ended on which nothing of its request was read.
func TestAnswersUnderWayEndTheirConnections(t *testing.T) {
	t.Parallel()
	came, release := make(chan struct{}), make(chan struct{})
	n := testpeer.Start(t, testpeer.Settings(), testpeer.Entry("s", testpeer.Server(t, func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		testpeer.Event(w, "begun")
		came <- struct{}{}
		<-release
		testpeer.Finish(w)
	})))
	c := n.Dial()
	_, err := c.Write(raw(t, n, 10, nil))
	require.NoError(t, err)
	<-came
	in := bufio.NewReader(c)
	response, err := http.ReadResponse(in, nil)
	require.NoError(t, err)
	require.False(t, response.Close)
	left := make(chan error, 1)
	go func() { left <- n.Room.Drain(t.Context()) }()
	close(release)
	body, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	require.Contains(t, string(body), "[DONE]")
	require.NoError(t, <-left)
	require.NoError(t, c.SetReadDeadline(time.Now().Add(time.Second)))
	_, err = in.ReadByte()
	require.ErrorIs(t, err, io.EOF)
}

// A client leaves whose request waits for a connection to a server, and that has sent more behind it. Nothing is sent on, by
// whatever it ended its connection, and however much it had sent.
func TestAClientGoesThatHasSentMore(t *testing.T) {
	t.Parallel()
	goes := map[string]func(c *net.TCPConn){
		"closes":           func(c *net.TCPConn) { _ = c.Close() },
		"resets":           func(c *net.TCPConn) { _ = c.SetLinger(0); _ = c.Close() },
		"ends its sending": func(c *net.TCPConn) { _ = c.CloseWrite() },
	}
	more := map[string]int{"nothing": 0, "one byte": 1, "a request": 20 << 10, "several": 300 << 10, "more than is kept": 3 << 19}
	for how, leave := range goes {
		for what, size := range more {
			t.Run(what+", "+how, func(t *testing.T) {
				t.Parallel()
				met, held := make(chan string, 10), testpeer.HoldDials(1)
				n := testpeer.StartHeld(t, func(c net.Conn) net.Conn { return c }, held.Dial, testpeer.Settings(),
					testpeer.Entry("s", testpeer.Server(t, func(w http.ResponseWriter, r *http.Request) {
						met <- r.Header.Get("X-Trace-Id")
						always(w, r)
					})))
				c := n.Dial().(*net.TCPConn)
				_, err := c.Write(raw(t, n, 10, func(r *http.Request) { r.Header.Set("X-Expires-In", "30000m") }))
				require.NoError(t, err)
				<-held.Up
				if size > 0 {
					_, _ = c.Write(raw(t, n, size, nil)[:size]) // beyond what is kept the node may have ended it
				}
				leave(c)
				began := time.Now()
				require.Eventually(t, func() bool { return n.Core.OpenRequests() == 0 }, 2*time.Second, time.Millisecond, "nobody noticed that it left")
				require.Less(t, time.Since(began), 500*time.Millisecond)
				held.Go <- struct{}{}
				n.Heard()
				time.Sleep(20 * time.Millisecond) // for what must not come
				require.Empty(t, met)
				if how == "ends its sending" {
					said, _ := io.ReadAll(c)
					require.Empty(t, said, "nothing that no server made is its answer")
				}
			})
		}
	}
}

// Requests that are sent before the answers to those ahead of them are answered in turn, of whatever size, in pieces too, and
// while the node ends as well: what it has read it answers.
func TestRequestsSentAhead(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		sizes  []int
		ending bool
	}{
		"small":            {sizes: []int{10, 10, 10}},
		"of some size":     {sizes: []int{10, 20 << 10, 30 << 10, 10}},
		"much":             {sizes: []int{10, 200 << 10, 200 << 10, 10}},
		"as the node ends": {sizes: []int{10, 20 << 10, 20 << 10}, ending: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			came, release := make(chan struct{}, len(c.sizes)), make(chan struct{})
			n := testpeer.Start(t, testpeer.Settings(), testpeer.Entry("s", testpeer.Server(t, func(w http.ResponseWriter, r *http.Request) {
				_, _ = io.Copy(io.Discard, r.Body)
				came <- struct{}{}
				<-release
				always(w, r)
			})))
			conn := n.Dial()
			in := bufio.NewReader(conn)
			_, err := conn.Write(raw(t, n, c.sizes[0], nil))
			require.NoError(t, err)
			<-came
			sent := make(chan error, 1)
			go func() {
				var all []byte
				for _, size := range c.sizes[1:] {
					all = append(all, raw(t, n, size, nil)...)
				}
				for i := 0; i < len(all); i += 7000 {
					if _, err := conn.Write(all[i:min(len(all), i+7000)]); err != nil {
						sent <- err
						return
					}
				}
				sent <- nil
			}()
			left := make(chan error, 1)
			if c.ending {
				require.NoError(t, <-sent)
				require.Eventually(t, func() bool { return n.Room.Pipelined() == 1 }, time.Second, time.Millisecond)
				require.NoError(t, n.Life.Enter(node.Draining))
				go func() { left <- n.Room.Drain(t.Context()) }()
			}
			close(release)
			for range c.sizes {
				status, _ := answer(t, conn, in)
				require.Equal(t, http.StatusOK, status)
			}
			if c.ending {
				require.NoError(t, <-left)
			} else {
				require.NoError(t, <-sent)
			}
		})
	}
}

// A close over bytes that nobody has read resets the connection. The client that takes its answer slowly gets all of it
// nevertheless.
func TestAnAnswerBeforeACloseOverUnreadBytes(t *testing.T) {
	t.Parallel()
	const events = 150
	n := testpeer.Start(t, testpeer.Settings(), testpeer.Entry("s", testpeer.Server(t, func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		for range events {
			testpeer.Event(w, strings.Repeat("y", 10<<10))
		}
		testpeer.Finish(w)
	})))
	c := n.Dial().(*net.TCPConn)
	_, err := c.Write(raw(t, n, 10, func(r *http.Request) { r.Close = true }))
	require.NoError(t, err)
	_, err = c.Write(bytes.Repeat([]byte("z"), 300<<10)) // more than is read ahead
	require.NoError(t, err)
	time.Sleep(100 * time.Millisecond) // it takes its time
	status, body := answer(t, c, bufio.NewReader(c))
	require.Equal(t, http.StatusOK, status)
	require.Equal(t, events, strings.Count(body, "yyy\""))
	require.Contains(t, body, "[DONE]")
}

// Clients that send all at once and have gone before the node accepts their connections, as in a burst that it could not take at
// once: whatever they sent, with a server and a connection to it that wait for work, nothing of it is sent on.
func TestClientsThatHaveGoneBeforeTheyAreAccepted(t *testing.T) {
	t.Parallel()
	goes := map[string]func(c *net.TCPConn){
		"close":             func(c *net.TCPConn) { _ = c.Close() },
		"end their sending": func(c *net.TCPConn) { _ = c.CloseWrite() },
	}
	for how, leave := range goes {
		for what, more := range map[string]int{"one request": 0, "one byte more": 1, "two requests": 2000, "much more": 30 << 10} {
			t.Run(what+", "+how, func(t *testing.T) {
				t.Parallel()
				var sent atomic.Int32
				gate := make(chan struct{}, 1000)
				n := testpeer.StartHeld(t, func(c net.Conn) net.Conn { <-gate; return c }, nil, testpeer.Settings(),
					testpeer.Entry("s", testpeer.Server(t, func(w http.ResponseWriter, r *http.Request) {
						sent.Add(1)
						always(w, r)
					})))
				warm := func() {
					gate <- struct{}{}
					c := n.Dial()
					_, err := c.Write(raw(t, n, 10, func(r *http.Request) { r.Close = true }))
					require.NoError(t, err)
					status, _ := answer(t, c, bufio.NewReader(c))
					require.Equal(t, http.StatusOK, status)
				}
				warm()
				const clients = 100
				for range clients {
					c := n.Dial().(*net.TCPConn)
					request := raw(t, n, 10, nil)
					if more > 0 {
						request = append(request, raw(t, n, more, nil)[:more]...)
					}
					_, err := c.Write(request)
					require.NoError(t, err)
					leave(c)
				}
				time.Sleep(20 * time.Millisecond) // for the system
				for range clients {
					gate <- struct{}{}
					time.Sleep(time.Millisecond)
				}
				warm()
				require.Equal(t, int32(2), sent.Load(), "but for those that stayed")
			})
		}
	}
}
