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

	"standpoint/internal/memory"
	"standpoint/internal/node"
	"standpoint/internal/transient"
)

// maxResponseBytes bounds the body of a response. A longer body is truncated, and then cannot be decoded.
const maxResponseBytes = 4 << 20

var (
	// errRejected reports that discovery rejected a poll because it is overloaded (status 503).
	errRejected = errors.New("discovery rejected the poll")
	// errTimeout reports that there was no response to a poll in time.
	errTimeout = errors.New("discovery did not respond in time")
	// errNotOrdered reports a response from which the current list cannot be derived: a change of an older list, or a
	// change when the full list was requested.
	errNotOrdered = errors.New("discovery's response does not continue the list in use")
)

// statusError reports an unexpected status code in discovery's response.
type statusError struct{ status string }

// Error implements error.
func (e *statusError) Error() string { return "discovery responded with status " + e.status }

// address is the URL of a discovery's list, and the names of zones and kinds in that list.
type address struct {
	url   string
	names Names
}

// newAddress returns the address of the discovery at hostPort.
func newAddress(hostPort string, names Names) address {
	return address{url: "http://" + hostPort + "/catalog/members", names: names}
}

// poll is one request to discovery. It may stay in flight after the node has stopped waiting for it, since a departure
// that discovery reports is valid even in a late response.
type poll struct {
	address      address
	client       *http.Client
	epoch        int
	afterVersion int64
	full         bool          // whether it requests the full list, or else the changes after afterVersion
	opensWatch   bool          // whether it is to establish a watch
	wait         time.Duration // how long discovery may wait for a change before it responds
	cancel       context.CancelFunc
}

// pollResult is the outcome of a poll. If err is nil, it has discovery's list and the version of that list.
type pollResult struct {
	poll    *poll
	list    node.EndpointList
	version int64
	err     error
}

// newClient returns an HTTP client for discovery. Each poll uses a connection of its own, so that surplus bytes after a
// response are never taken for the response to the next poll.
func newClient(dial transient.DialFunc) *http.Client {
	return &http.Client{Transport: &http.Transport{
		DialContext:        transient.Dial(dial),
		DisableCompression: true,
		DisableKeepAlives:  true,
	}}
}

// fetchList sends a poll, and waits for its response until ctx ends.
func (w *Watcher) fetchList(ctx context.Context, p *poll) pollResult {
	holder := w.Memory.Open(0, nil)
	defer holder.Close()
	raw, err := fetch(ctx, p.client, p.url(), holder)
	if err != nil {
		return pollResult{poll: p, err: err}
	}
	version, list, faults, err := Decode(raw, p.address.names)
	if len(faults) > 0 {
		w.log.Warn("invalid endpoints listed", zap.String("discovery", p.address.url), zap.Errors("errors", faults))
	}
	return pollResult{poll: p, list: list, version: version, err: err}
}

// url returns the URL that requests the full list, or the changes after the version that the node has.
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

// fetch returns the body of the response to a GET request. Its errors are errRejected, *statusError, and those of the
// transport.
func fetch(ctx context.Context, client *http.Client, url string, holder *memory.Holder) ([]byte, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, err
	}
	response, err := client.Do(request)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	body := io.LimitReader(response.Body, maxResponseBytes)
	raw, err := memory.ReadAll(body, maxResponseBytes+1, holder, holder.Charge)
	switch {
	case err != nil:
		return nil, fmt.Errorf("read discovery's response: %w", err)
	case response.StatusCode == http.StatusServiceUnavailable:
		return nil, errRejected
	case response.StatusCode != http.StatusOK:
		return nil, &statusError{status: response.Status}
	}
	return raw, nil
}
