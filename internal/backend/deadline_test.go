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

// What an attempt tells its server is at most what its client has left as it gets there, though the connection came
// up late: of a first attempt, and of one behind an error.
func TestBackendsAreSentTheTimeThatIsLeft(t *testing.T) {
	t.Parallel()
	const asked, late, slack = 2 * time.Second, 400 * time.Millisecond, 150 * time.Millisecond
	for name, failures := range map[string]int{"first attempt": 0, "second attempt": 1, "third attempt": 2} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			type saw struct {
				told string
				at   time.Time
			}
			seen := make(chan saw, 10)
			calls := 0 // one attempt is out at a time
			serve := func(w http.ResponseWriter, r *http.Request) {
				at := time.Now()
				_, _ = io.Copy(io.Discard, r.Body)
				if calls++; calls <= failures {
					w.WriteHeader(http.StatusInternalServerError)
					return
				}
				seen <- saw{r.Header.Get("X-Expires-In"), at}
				testpeer.Event(w, "whole")
				testpeer.Finish(w)
			}
			dial := func(_ context.Context, network, address string) (net.Conn, error) {
				time.Sleep(late)
				return net.Dial(network, address)
			}
			address := testpeer.Backend(t, serve)
			n := testpeer.StartDialing(
				t,
				zap.NewNop(),
				testpeer.Settings(),
				dial,
				testpeer.Endpoint("a", address),
				testpeer.Endpoint("b", address),
				testpeer.Endpoint("c", address),
			)
			began := time.Now()
			status, _, body, _ := n.Do(
				n.Chat(t.Context(), func(r *http.Request) { r.Header.Set("X-Expires-In", "2000m") }),
			)
			require.Equal(t, http.StatusOK, status, body)
			got := <-seen
			told, err := strconv.Atoi(strings.TrimSuffix(got.told, "m"))
			require.NoError(t, err)
			left := asked - got.at.Sub(began)
			require.LessOrEqual(t, time.Duration(told)*time.Millisecond, left+slack)
			require.Positive(t, told)
		})
	}
}
