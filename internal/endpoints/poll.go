package endpoints

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"go.uber.org/zap"

	"standpoint/internal/node"
	"standpoint/internal/transient"
)

// maxBody bounds the body of a response; what follows is cut off, and the list then cannot be decoded.
const maxBody = 4 << 20

var (
	// errRejected reports that discovery has too many callers.
	errRejected = errors.New("discovery rejected the poll")
	// errTimeout reports that a poll was not answered in time.
	errTimeout = errors.New("discovery did not respond in time")
	// errNotOrdered reports a response that came, but from which the present list is not known: changes of an older
	// list, or changes in place of the full one.
	errNotOrdered = errors.New("discovery's response does not continue the list in use")
)

// statusError reports an unexpected status of discovery's response.
type statusError struct{ status string }

// Error implements error.
func (e *statusError) Error() string { return "discovery answered " + e.status }

// address is where a list is fetched, and the names in it.
type address struct {
	url   string
	names Names
}

func newAddress(hostPort string, names Names) address {
	return address{url: "http://" + hostPort + "/catalog/members", names: names}
}

// poll is one request to discovery. It may be in flight for longer than it is waited for: what discovery has written
// counts, also in the response to a poll that the node has given up.
type poll struct {
	address      address
	client       *http.Client
	epoch        int
	afterVersion int64
	full         bool          // it fetches the full list; else changes, once there are some or the wait is over
	opens        bool          // a watch that is not established yet
	wait         time.Duration // for which discovery may hold it
	cancel       context.CancelFunc
}

// pollResult is how a poll ended. If err is nil, it has discovery's list, and the version of that.
type pollResult struct {
	poll    *poll
	list    node.EndpointList
	version int64
	err     error
}

// newClient returns a client for discovery. Each poll has a connection of its own: what discovery sends after a
// response belongs to no poll, and must not be taken for the next one's response.
func newClient(dial transient.DialFunc) *http.Client {
	return &http.Client{Transport: &http.Transport{
		DialContext:        transient.Dial(dial),
		DisableCompression: true,
		DisableKeepAlives:  true,
	}}
}

// fetchList sends a poll, and waits for its response until ctx ends.
func (w *Watcher) fetchList(ctx context.Context, p *poll) pollResult {
	raw, err := fetch(ctx, p.client, p.url())
	if err != nil {
		return pollResult{poll: p, err: err}
	}
	version, list, faults, err := Decode(raw, p.address.names)
	if len(faults) > 0 {
		w.log.Warn("invalid endpoints listed", zap.String("discovery", p.address.url), zap.Errors("errors", faults))
	}
	return pollResult{poll: p, list: list, version: version, err: err}
}

// url returns the URL that fetches the full list, or what has changed since the version that the node has.
func (p *poll) url() string {
	if p.full {
		return p.address.url
	}
	query := url.Values{
		"after":   {strconv.FormatInt(p.afterVersion, 10)},
		"wait_ms": {strconv.FormatInt(p.wait.Milliseconds(), 10)},
	}
	return p.address.url + "?" + query.Encode()
}

// fetch returns the body at a URL. Its errors are errRejected, *statusError, and those of the transport.
func fetch(ctx context.Context, client *http.Client, url string) ([]byte, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, err
	}
	response, err := client.Do(request)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	raw, err := io.ReadAll(io.LimitReader(response.Body, maxBody))
	switch {
	case err != nil:
		return nil, fmt.Errorf("discovery's response: %w", err)
	case response.StatusCode == http.StatusServiceUnavailable:
		return nil, errRejected
	case response.StatusCode != http.StatusOK:
		return nil, &statusError{status: response.Status}
	}
	return raw, nil
}
