package backend_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"standpoint/internal/testpeer"
)

// The connection of an attempt opens late. The time that the attempt sends to its backend must not exceed the time that
// the client has left when it arrives, for a first attempt and for one after an error.
func TestBackendsAreSentTheTimeThatIsLeft(t *testing.T) {
	t.Parallel()
	const timeout, dialTime, slack = 2 * time.Second, 400 * time.Millisecond, 150 * time.Millisecond
	for name, failures := range map[string]int{"first attempt": 0, "second attempt": 1, "third attempt": 2} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			type arrival struct {
				expiresIn string
				at        time.Time
			}
			arrivals := make(chan arrival, 10)
			calls := 0 // needs no lock: one attempt is in flight at a time
			serve := func(w http.ResponseWriter, r *http.Request) {
				at := time.Now()
				_, _ = io.Copy(io.Discard, r.Body)
				if calls++; calls <= failures {
					w.WriteHeader(http.StatusInternalServerError)
					return
				}
				arrivals <- arrival{r.Header.Get("X-Expires-In"), at}
				testpeer.WriteEvent(w, "complete")
				testpeer.WriteStreamEnd(w)
			}
			dial := func(_ context.Context, network, address string) (net.Conn, error) {
				time.Sleep(dialTime)
				return net.Dial(network, address)
			}
			address := testpeer.StartBackend(t, serve)
			n := testpeer.StartDialing(
				t,
				zap.NewNop(),
				testpeer.Settings(),
				dial,
				testpeer.Endpoint("a", address),
				testpeer.Endpoint("b", address),
				testpeer.Endpoint("c", address),
			)
			started := time.Now()
			status, _, body, _ := n.Do(
				n.Chat(t.Context(), func(r *http.Request) { r.Header.Set("X-Expires-In", "2000m") }),
			)
			require.Equal(t, http.StatusOK, status, body)
			got := <-arrivals
			sentMS, err := strconv.Atoi(strings.TrimSuffix(got.expiresIn, "m"))
			require.NoError(t, err)
			remaining := timeout - got.at.Sub(started)
			require.LessOrEqual(t, time.Duration(sentMS)*time.Millisecond, remaining+slack)
			require.Positive(t, sentMS)
		})
	}
}
