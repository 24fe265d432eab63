package edge_test

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"standpoint"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"standpoint/internal/testpeer"
)

// acceptErrors are the transient errors of accept4(2) on Linux: they concern one connection, the network, or a shortage
// of the machine.
var acceptErrors = []syscall.Errno{
	syscall.ECONNABORTED, syscall.EINTR, syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EPERM,
	syscall.EPROTO, syscall.ENETDOWN, syscall.ENOPROTOOPT, syscall.EHOSTDOWN, syscall.ENONET, syscall.EHOSTUNREACH,
	syscall.ENETUNREACH, syscall.ETIMEDOUT, syscall.ENOSR,
}

// connectErrors are transient errors of connect(2).
var connectErrors = []syscall.Errno{
	syscall.ENFILE, syscall.ENOBUFS, syscall.EADDRNOTAVAIL, syscall.ENETUNREACH, syscall.ETIMEDOUT,
	syscall.ECONNREFUSED,
}

// transferErrors are errors of read(2) and write(2) after which no data is lost.
var transferErrors = []syscall.Errno{syscall.ENOBUFS, syscall.ENOMEM, syscall.EINTR}

// TestAcceptRecoversFromErrors guards against a server that stops accepting forever, or for a second, because of a
// transient error: net/http ends its accept loop on an error that is not marked as temporary.
func TestAcceptRecoversFromErrors(t *testing.T) {
	t.Parallel()
	for _, errno := range acceptErrors {
		for name, place := range map[string]func(faults *testpeer.Faults){
			"one call":    func(faults *testpeer.Faults) { faults.FailNext(testpeer.Accept, errno, 1) },
			"a few calls": func(faults *testpeer.Faults) { faults.FailNext(testpeer.Accept, errno, 20) },
			"half a second": func(faults *testpeer.Faults) {
				faults.FailFor(testpeer.Accept, errno, 500*time.Millisecond)
			},
		} {
			t.Run(fmt.Sprintf("%v for %s", errno, name), func(t *testing.T) {
				t.Parallel()
				faults := testpeer.NewFaults(1)
				place(faults)
				backend := testpeer.StartBackend(t, respondAlways)
				n := testpeer.StartFaulty(t, zap.NewNop(), faults, testpeer.Settings(), testpeer.Endpoint("a", backend))
				start := time.Now()
				conn := n.Dial()
				_, err := conn.Write(rawRequest(t, n, 10, nil))
				require.NoError(t, err)
				status, _ := readResponse(t, conn, bufio.NewReader(conn))
				require.Equal(t, http.StatusOK, status)
				require.Positive(t, faults.Failed(testpeer.Accept))
				require.Less(t, time.Since(start), 500*time.Millisecond+700*time.Millisecond,
					"a pause of a second after the errors")
				status, _, _, _ = n.Do(n.Chat(t.Context(), nil))
				require.Equal(t, http.StatusOK, status)
			})
		}
	}
}

// TestClientConnectionRecoversFromErrors guards against the loss of a request because reads or writes on its client
// connection fail for lack of memory.
func TestClientConnectionRecoversFromErrors(t *testing.T) {
	t.Parallel()
	for _, call := range []testpeer.SystemCall{testpeer.Read, testpeer.Write} {
		for _, errno := range transferErrors {
			t.Run(fmt.Sprintf("%v of %d", errno, call), func(t *testing.T) {
				t.Parallel()
				faults := testpeer.NewFaults(1)
				turns := make(chan struct{})
				server := testpeer.StartBackend(t, func(w http.ResponseWriter, r *http.Request) {
					turns <- struct{}{}
					<-turns
					respondAlways(w, r)
				})
				n := testpeer.StartFaulty(t, zap.NewNop(), faults, testpeer.Settings(), testpeer.Endpoint("a", server))
				faults.FailNext(call, errno, 2)
				conn := n.Dial()
				_, err := conn.Write(rawRequest(t, n, 10, nil))
				require.NoError(t, err)
				<-turns
				faults.FailNext(call, errno, 3)
				if call == testpeer.Read { // bytes behind the request cause reads, which fail, while it is open
					_, err = conn.Write([]byte("\r\n"))
					require.NoError(t, err)
				}
				turns <- struct{}{}
				status, body := readResponse(t, conn, bufio.NewReader(conn))
				require.Equal(t, http.StatusOK, status)
				require.Contains(t, body, "[DONE]")
				require.Positive(t, faults.Failed(call))
			})
		}
	}
}

// TestGuaranteesHoldWhileSystemCallsFail guards against broken guarantees while a random fraction of the system calls
// fails and reads return single bytes. Clients send requests and one backend drains. Every request gets one response
// that begins before its deadline and is complete, and at most three attempts, never two at once, and none at the draining backend.
func TestGuaranteesHoldWhileSystemCallsFail(t *testing.T) {
	t.Parallel()
	for seed := range uint64(4) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			const clients, each, deadline, grace = 20, 10, 2 * time.Second, 500 * time.Millisecond
			faults := testpeer.NewFaults(seed)
			attempts := testpeer.NewAttemptCounter()
			faults.SingleByteReads = seed%2 == 1
			var lastAttemptAt atomic.Pointer[time.Time] // when the draining backend last got a request
			lastAttemptAt.Store(&time.Time{})
			serve := func(w http.ResponseWriter, r *http.Request) {
				id := r.Header.Get("X-Trace-Id")
				attempts.Begin(id)
				defer attempts.End(id, true)
				time.Sleep(5 * time.Millisecond) // service time
				respondAlways(w, r)
			}
			a := testpeer.Endpoint("a", testpeer.StartBackend(t, func(w http.ResponseWriter, r *http.Request) {
				now := time.Now()
				lastAttemptAt.Store(&now)
				serve(w, r)
			}))
			b := testpeer.Endpoint("b", testpeer.StartBackend(t, serve))
			c := testpeer.Endpoint("c", testpeer.StartBackend(t, serve))
			n := testpeer.StartFaulty(t, zap.NewNop(), faults, testpeer.Settings(), a, b, c)
			faults.FailFraction(testpeer.Accept, 0.3, acceptErrors...)
			faults.FailFraction(testpeer.Connect, 0.3, connectErrors...)
			faults.FailFraction(testpeer.Read, 0.05, transferErrors...)
			faults.FailFraction(testpeer.Write, 0.05, transferErrors...)
			var all sync.WaitGroup
			statuses := make(chan int, clients*each)
			var drainedAt time.Time // written by the first client, and read once all have ended
			for i := range clients {
				all.Go(func() {
					for j := range each {
						if i == 0 && j == each/2 {
							draining := a
							draining.State = standpoint.Draining
							n.UpdateEndpoints(draining, b, c)
							drainedAt = time.Now()
						}
						statuses <- requestOnce(t, n, deadline)
					}
				})
			}
			all.Wait()
			close(statuses)
			served := 0
			for status := range statuses {
				require.Contains(t, []int{http.StatusOK, http.StatusServiceUnavailable}, status)
				if status == http.StatusOK {
					served++
				}
			}
			require.GreaterOrEqual(t, served, clients*each*9/10)
			require.LessOrEqual(t, attempts.MaximumInFlight(), 1, "attempts of one request in flight at once")
			for id, sent := range attempts.Attempts() {
				require.LessOrEqual(t, sent, 3, id)
			}
			require.Less(t, lastAttemptAt.Load().Sub(drainedAt), grace, "attempt at a draining backend")
		})
	}
}

// requestOnce sends a request on a new connection and returns the status of its response. The response must begin before
// the deadline, which is the time that the client waits for the first token, and a served one must be complete.
func requestOnce(t *testing.T, n *testpeer.Node, deadline time.Duration) int {
	t.Helper()
	request := rawRequest(t, n, 10, withHeader("X-Expires-In", fmt.Sprintf("%dm", deadline.Milliseconds())))
	start := time.Now()
	conn, err := net.Dial("tcp", n.Address)
	require.NoError(t, err)
	defer conn.Close()
	_, err = conn.Write(request)
	require.NoError(t, err)
	require.NoError(t, conn.SetReadDeadline(start.Add(2*deadline)))
	reader := bufio.NewReader(conn)
	_, err = reader.Peek(1)
	require.NoError(t, err, "closed without a response")
	require.Less(t, time.Since(start), deadline)
	status, body := readResponse(t, conn, reader)
	if status == http.StatusOK {
		require.Contains(t, body, "[DONE]")
	}
	return status
}
