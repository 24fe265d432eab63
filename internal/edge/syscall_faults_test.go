package edge_test

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"standpoint/internal/testpeer"
)

// acceptErrors are what accept4 may say on Linux of a connection, of the network, or of the machine, and be well a moment later.
var acceptErrors = []syscall.Errno{syscall.ECONNABORTED, syscall.EINTR, syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM,
	syscall.EPERM, syscall.EPROTO, syscall.ENETDOWN, syscall.ENOPROTOOPT, syscall.EHOSTDOWN, syscall.ENONET, syscall.EHOSTUNREACH,
	syscall.ENETUNREACH, syscall.ETIMEDOUT, syscall.ENOSR}

// Guards against a server that leaves off accepting for good, or for a second, on an error that was over at once: net/http ends its
// loop on what does not call itself temporary.
func TestAcceptsThatFail(t *testing.T) {
	t.Parallel()
	for _, errno := range acceptErrors {
		for name, place := range map[string]func(*testpeer.Faults){
			"one call":      func(f *testpeer.Faults) { f.Next(testpeer.Accept, errno, 1) },
			"a few calls":   func(f *testpeer.Faults) { f.Next(testpeer.Accept, errno, 20) },
			"half a second": func(f *testpeer.Faults) { f.For(testpeer.Accept, errno, 500*time.Millisecond) },
		} {
			t.Run(fmt.Sprintf("%v for %s", errno, name), func(t *testing.T) {
				t.Parallel()
				faults := testpeer.NewFaults(1)
				place(faults)
				n := testpeer.StartFaulty(t, zap.NewNop(), faults, testpeer.Settings(), testpeer.Entry("a", testpeer.Server(t, always)))
				began := time.Now()
				c := n.Dial()
				_, err := c.Write(raw(t, n, 10, nil))
				require.NoError(t, err)
				status, _ := answer(t, c, bufio.NewReader(c))
				require.Equal(t, http.StatusOK, status)
				require.Positive(t, faults.Placed(testpeer.Accept))
				require.Less(t, time.Since(began), 500*time.Millisecond+700*time.Millisecond, "no pause of a second behind the shortage")
				status, _, _, _ = n.Do(n.Chat(t.Context(), nil))
				require.Equal(t, http.StatusOK, status)
			})
		}
	}
}

// A read or a write on a client's connection that fails for want of memory takes nothing away: its request gets its one answer.
func TestClientConnectionsThatFailForAMoment(t *testing.T) {
	t.Parallel()
	for _, call := range []testpeer.SystemCall{testpeer.Read, testpeer.Write} {
		for _, errno := range []syscall.Errno{syscall.ENOBUFS, syscall.ENOMEM, syscall.EINTR} {
			t.Run(fmt.Sprintf("%v of %d", errno, call), func(t *testing.T) {
				t.Parallel()
				faults, begun := testpeer.NewFaults(1), make(chan struct{})
				server := testpeer.Server(t, func(w http.ResponseWriter, r *http.Request) {
					begun <- struct{}{}
					<-begun
					always(w, r)
				})
				n := testpeer.StartFaulty(t, zap.NewNop(), faults, testpeer.Settings(), testpeer.Entry("a", server))
				faults.Next(call, errno, 2)
				c := n.Dial()
				_, err := c.Write(raw(t, n, 10, nil))
				require.NoError(t, err)
				<-begun
				faults.Next(call, errno, 3)
				if call == testpeer.Read { // bytes behind the request have the node read, and fail, while it is open
					_, err = c.Write([]byte("\r\n"))
					require.NoError(t, err)
				}
				begun <- struct{}{}
				status, body := answer(t, c, bufio.NewReader(c))
				require.Equal(t, http.StatusOK, status)
				require.Contains(t, body, "[DONE]")
				require.Positive(t, faults.Placed(call))
			})
		}
	}
}

// All calls fail now and then, by a seed, and reads bring single bytes, while clients ask and one server drains. Every request gets
// its one answer in its time, has three attempts at the most, never two at once, and none at the server that was told to leave.
func TestRulesHoldWhileSystemCallsFail(t *testing.T) {
	t.Parallel()
	for seed := range uint64(4) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			const clients, each, deadline, grace = 20, 10, 2 * time.Second, 500 * time.Millisecond
			faults, ledger := testpeer.NewFaults(seed), testpeer.NewLedger()
			faults.Short = seed%2 == 1
			var mu sync.Mutex
			var last time.Time // a request began at the server that drains
			serve := func(drains bool) http.HandlerFunc {
				return func(w http.ResponseWriter, r *http.Request) {
					if drains {
						mu.Lock()
						last = time.Now()
						mu.Unlock()
					}
					id := r.Header.Get("X-Trace-Id")
					ledger.Begin(id)
					defer ledger.End(id, true)
					time.Sleep(5 * time.Millisecond)
					always(w, r)
				}
			}
			a := testpeer.Entry("a", testpeer.Server(t, serve(true)))
			b, c := testpeer.Entry("b", testpeer.Server(t, serve(false))), testpeer.Entry("c", testpeer.Server(t, serve(false)))
			n := testpeer.StartFaulty(t, zap.NewNop(), faults, testpeer.Settings(), a, b, c)
			faults.Share(testpeer.Accept, 0.3, acceptErrors...)
			faults.Share(testpeer.Connect, 0.3, syscall.ENFILE, syscall.ENOBUFS, syscall.EADDRNOTAVAIL, syscall.ENETUNREACH, syscall.ETIMEDOUT, syscall.ECONNREFUSED)
			faults.Share(testpeer.Read, 0.05, syscall.ENOBUFS, syscall.ENOMEM, syscall.EINTR)
			faults.Share(testpeer.Write, 0.05, syscall.ENOBUFS, syscall.ENOMEM, syscall.EINTR)
			var all sync.WaitGroup
			statuses := make(chan int, clients*each)
			var drained time.Time
			for i := range clients {
				all.Go(func() {
					for j := range each {
						if i == 0 && j == each/2 {
							left := a
							left.State = 1
							n.Tell(left, b, c)
							mu.Lock()
							drained = time.Now()
							mu.Unlock()
						}
						statuses <- askOnce(t, n, deadline)
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
			require.LessOrEqual(t, ledger.Most(), 1, "attempts of one request at once")
			for id, sent := range ledger.Sent() {
				require.LessOrEqual(t, sent, 3, id)
			}
			mu.Lock()
			defer mu.Unlock()
			require.Less(t, last.Sub(drained), grace, "an attempt at a server that drains")
		})
	}
}

// askOnce asks on a connection of its own, and returns the answer's status, which has come before the deadline.
func askOnce(t *testing.T, n *testpeer.Node, deadline time.Duration) int {
	request := raw(t, n, 10, func(r *http.Request) { r.Header.Set("X-Expires-In", fmt.Sprintf("%dm", deadline.Milliseconds())) })
	began := time.Now()
	c, err := net.Dial("tcp", n.Address)
	require.NoError(t, err)
	defer c.Close()
	_, err = c.Write(request)
	require.NoError(t, err)
	status, _ := answer(t, c, bufio.NewReader(c))
	require.Less(t, time.Since(began), deadline)
	return status
}
