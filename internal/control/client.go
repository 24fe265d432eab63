package control

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

const (
	maxResponseBytes   = 16 << 20 // the rest of a larger response is not read
	dialTimeout        = 2 * time.Second
	maxIdleConnections = 2 // per host
	clientIdleTimeout  = 20 * time.Second
)

// Client calls a daemon's control interface. It may be used concurrently.
type Client struct {
	base  string // the part of every URL before the path
	token string // "" for none
	http  *http.Client
}

// NewClient returns a client for an address in the form that Listen accepts. token may be "", which permits reading
// calls alone, unless the caller owns the unix socket. Close releases the client's connections.
func NewClient(address, token string) *Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	transport := &http.Transport{
		DialContext:         dialer.DialContext,
		MaxIdleConnsPerHost: maxIdleConnections,
		IdleConnTimeout:     clientIdleTimeout,
	}
	base := "http://" + address
	if path, ok := strings.CutPrefix(address, unixPrefix); ok {
		base = "http://localhost"
		transport.DialContext = func(ctx context.Context, _, _ string) (net.Conn, error) {
			return dialer.DialContext(ctx, "unix", path)
		}
	}
	return &Client{base: base, token: token, http: &http.Client{Transport: transport}}
}

// Call sends one request. in, unless nil, is encoded as the JSON body; out, unless nil, is a pointer that the response
// is decoded into. If the daemon responds with CodeNotLeader and the leader's address, the call is repeated once at the
// leader. Errors that the daemon reports are *Error.
func (c *Client) Call(ctx context.Context, method, path string, in, out any) error {
	err := c.call(ctx, method, path, in, out)
	var rejected *Error
	if !errors.As(err, &rejected) || rejected.Code != CodeNotLeader || rejected.Leader == "" {
		return err
	}
	leader := c.WithAddress(rejected.Leader)
	defer leader.Close()
	return leader.call(ctx, method, path, in, out)
}

func (c *Client) call(ctx context.Context, method, path string, in, out any) error {
	r, err := c.newRequest(ctx, method, path, in)
	if err != nil {
		return err
	}
	response, err := c.http.Do(r)
	if err != nil {
		return fmt.Errorf("the daemon's control interface does not respond: %w", err)
	}
	defer response.Body.Close()
	raw, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return err
	}
	if response.StatusCode != http.StatusOK {
		return decodeError(response, raw)
	}
	if out == nil {
		return nil
	}
	return json.Unmarshal(raw, out)
}

func (c *Client) newRequest(ctx context.Context, method, path string, in any) (*http.Request, error) {
	var body io.Reader
	if in != nil {
		raw, err := json.Marshal(in)
		if err != nil {
			return nil, err
		}
		body = bytes.NewReader(raw)
	}
	r, err := http.NewRequestWithContext(ctx, method, c.base+path, body)
	if err != nil {
		return nil, err
	}
	if c.token != "" {
		r.Header.Set("Authorization", bearerPrefix+c.token)
	}
	if in != nil {
		r.Header.Set("Content-Type", "application/json")
	}
	return r, nil
}

func decodeError(response *http.Response, raw []byte) error {
	var body errorBody
	if json.Unmarshal(raw, &body) != nil || body.Error == nil {
		return fmt.Errorf("the daemon responded with status %s", response.Status)
	}
	body.Error.Status = response.StatusCode
	return body.Error
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// WithAddress returns a client for another daemon with the same token.
func (c *Client) WithAddress(address string) *Client { return NewClient(address, c.token) }
