package control

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

const maxResponseBytes = 16 << 20

// Client speaks to a daemon's control interface.
type Client struct {
	base  string
	token string
	http  *http.Client
}

// NewClient makes a client for an address as control.listen has it. token may be "".
func NewClient(address, token string) *Client {
	c := &Client{base: "http://" + address, token: token}
	dialer := &net.Dialer{Timeout: 2 * time.Second}
	transport := &http.Transport{DialContext: dialer.DialContext, MaxIdleConnsPerHost: 2, IdleConnTimeout: 20 * time.Second}
	if path, ok := strings.CutPrefix(address, "unix:"); ok {
		c.base = "http://localhost"
		transport.DialContext = func(ctx context.Context, _, _ string) (net.Conn, error) { return dialer.DialContext(ctx, "unix", path) }
	}
	c.http = &http.Client{Transport: transport}
	return c
}

// Call asks once. in may be nil; out, if not nil, takes the answer. Where the daemon says that another one leads, that
// one is asked in its place. The daemon's own errors are *Error.
func (c *Client) Call(ctx context.Context, method, path string, in, out any) error {
	err := c.call(ctx, method, path, in, out)
	var typed *Error
	if e, ok := err.(*Error); ok {
		typed = e
	}
	if typed != nil && typed.Code == "not_leader" && typed.Leader != "" {
		other := NewClient(typed.Leader, c.token)
		defer other.http.CloseIdleConnections()
		return other.call(ctx, method, path, in, out)
	}
	return err
}

func (c *Client) call(ctx context.Context, method, path string, in, out any) error {
	var body io.Reader
	if in != nil {
		raw, err := json.Marshal(in)
		if err != nil {
			return err
		}
		body = bytes.NewReader(raw)
	}
	r, err := http.NewRequestWithContext(ctx, method, c.base+path, body)
	if err != nil {
		return err
	}
	if c.token != "" {
		r.Header.Set("Authorization", "Bearer "+c.token)
	}
	if in != nil {
		r.Header.Set("Content-Type", "application/json")
	}
	response, err := c.http.Do(r)
	if err != nil {
		return fmt.Errorf("the daemon's control interface does not answer: %w", err)
	}
	defer response.Body.Close()
	raw, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return err
	}
	if response.StatusCode != http.StatusOK {
		var w struct {
			Error *Error `json:"error"`
		}
		if json.Unmarshal(raw, &w) != nil || w.Error == nil {
			return fmt.Errorf("the daemon answered %s", response.Status)
		}
		w.Error.Status = response.StatusCode
		return w.Error
	}
	if out == nil {
		return nil
	}
	return json.Unmarshal(raw, out)
}

// Close lets kept connections go.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// WithAddress is a client of another daemon, with the same token.
func (c *Client) WithAddress(address string) *Client { return NewClient(address, c.token) }
