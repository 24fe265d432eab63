package crowd

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// answerSlack is how late a final answer may be beyond the request's time before the request counts as lost.
const answerSlack = 500 * time.Millisecond

// Outcomes counts how the requests of well-behaved clients ended. It is safe for concurrent use.
type Outcomes struct {
	mu       sync.Mutex // guards all below
	served   int        // answered whole, the first event in time
	late     int        // answered whole, the first event after the request's time
	refused  int        // answered 429 or 503 in time
	failed   int        // answered in time with any other status, or with a stream that broke
	lost     []string   // without a final answer in time and answerSlack; what each saw
	slowest  time.Duration
	statuses map[int]int
}

// Total returns the number of requests that have ended.
func (o *Outcomes) Total() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.served + o.late + o.refused + o.failed + len(o.lost)
}

// Served returns the number of requests that were answered whole and in time.
func (o *Outcomes) Served() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.served
}

// Lost returns what the requests without a final answer saw.
func (o *Outcomes) Lost() []string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return append([]string{}, o.lost...)
}

// String returns the counts.
func (o *Outcomes) String() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return fmt.Sprintf("served %d, late %d, refused %d, failed %d, lost %d, slowest first event %v, statuses %v",
		o.served, o.late, o.refused, o.failed, len(o.lost), o.slowest.Round(time.Millisecond), o.statuses)
}

func (o *Outcomes) record(r result) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.statuses == nil {
		o.statuses = map[int]int{}
	}
	o.statuses[r.status]++
	switch {
	case r.first > r.timeout+answerSlack, r.status == 0:
		o.lost = append(o.lost, fmt.Sprintf("%s: status %d after %v: %v", r.id, r.status, r.first, r.err))
	case r.status == http.StatusOK && r.err == nil && r.first <= r.timeout:
		o.served++
		o.slowest = max(o.slowest, r.first)
	case r.status == http.StatusOK && r.err == nil:
		o.late++
		o.slowest = max(o.slowest, r.first)
	case r.status == http.StatusServiceUnavailable, r.status == http.StatusTooManyRequests:
		o.refused++
	default:
		o.failed++
	}
}

// result is how one request of a well-behaved client ended.
type result struct {
	id      string
	timeout time.Duration
	status  int           // 0 if there was no answer
	first   time.Duration // time until the first event, or until the answer, or until the request was given up
	err     error
}

// Client is a well-behaved client of a node: it sends one request at a time on its connection, and another one some
// time after the answer.
type Client struct {
	Address string
	Name    string        // begins the IDs of its requests
	Timeout time.Duration // time for the first event of each request
	Pause   time.Duration // time from an answer to the next request
	// Edit may change the requests; it may be nil.
	Edit func(request *http.Request)
	// Node is the phase of the node, while a test stops it; nil stands for Serving.
	Node *NodePhase

	conn    net.Conn // nil if none is open
	reader  *bufio.Reader
	counter atomic.Int64
}

// Run sends requests until the context ends or the client has to use another node, and records how they ended.
func (c *Client) Run(ctx context.Context, outcomes *Outcomes) {
	defer c.close()
	for ctx.Err() == nil {
		r := c.request()
		if errors.Is(r.err, errMoved) {
			return
		}
		outcomes.record(r)
		select {
		case <-ctx.Done():
		case <-time.After(c.Pause):
		}
	}
}

// errUnread is returned for a connection that ended without an answer before it was certain that the request was read.
var errUnread = errors.New("connection ended without an answer")

// errMoved is returned for a request that the client has to send to another node.
var errMoved = errors.New("node no longer accepts connections")

// NodePhase is what a test has done to a node. A nil *NodePhase is Serving. It is safe for concurrent use.
type NodePhase struct{ phase atomic.Int32 }

// Phases of a node.
const (
	Serving int32 = iota
	Stopping
	Killed
)

// Load returns the phase.
func (p *NodePhase) Load() int32 {
	if p == nil {
		return Serving
	}
	return p.phase.Load()
}

// Store changes the phase.
func (p *NodePhase) Store(phase int32) { p.phase.Store(phase) }

// request sends one request. If its connection ends without an answer, it is sent once more on a new connection, as
// clients of the platform do.
func (c *Client) request() result {
	id := fmt.Sprintf("%s-%d", c.Name, c.counter.Add(1))
	started := time.Now()
	for {
		r := c.attempt(id, started)
		switch {
		case errors.Is(r.err, errUnread) && c.Node.Load() == Killed && !errors.Is(r.err, syscall.ECONNREFUSED):
			return r // it was open as the node was killed
		case c.Node.Load() != Serving && errors.Is(r.err, syscall.ECONNREFUSED):
			r.err = errMoved
			return r
		}
		if !errors.Is(r.err, errUnread) || time.Since(started) > c.Timeout {
			return r
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// attempt sends the request on the open connection, or on a new one.
func (c *Client) attempt(id string, started time.Time) result {
	r := result{id: id, timeout: c.Timeout}
	deadline := started.Add(c.Timeout + answerSlack)
	if c.conn == nil {
		conn, err := net.DialTimeout("tcp", c.Address, time.Until(deadline))
		if err != nil {
			r.first, r.err = time.Since(started), errors.Join(errUnread, err)
			return r
		}
		c.conn, c.reader = conn, bufio.NewReader(conn)
	}
	_ = c.conn.SetDeadline(deadline) // fails only on a closed connection
	if err := c.write(id, deadline); err != nil {
		r.first, r.err = time.Since(started), errors.Join(errUnread, err)
		c.close()
		return r
	}
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		r.first, r.err = time.Since(started), err
		if !errors.Is(err, context.DeadlineExceeded) && time.Now().Before(deadline) {
			r.err = errors.Join(errUnread, err)
		}
		c.close()
		return r
	}
	r.status = response.StatusCode
	first := make([]byte, 1)
	_, err = io.ReadFull(response.Body, first)
	r.first = time.Since(started)
	_ = c.conn.SetDeadline(time.Now().Add(30 * time.Second)) // the rest of the stream has no deadline
	if err == nil {
		_, err = io.Copy(io.Discard, response.Body)
	}
	if r.status == http.StatusOK {
		r.err = err
	}
	if response.Close || err != nil {
		c.close()
	}
	return r
}

func (c *Client) write(id string, deadline time.Time) error {
	request := Request(c.Address, id, time.Until(deadline)-answerSlack, `[{"role":"user","content":"hello"}]`)
	if c.Edit != nil {
		c.Edit(request)
	}
	return request.Write(c.conn)
}

func (c *Client) close() {
	if c.conn != nil {
		c.conn.Close()
		c.conn = nil
	}
}

// Request returns a chat request.
func Request(address, id string, timeout time.Duration, messages string) *http.Request {
	body := `{"model":"chat","stream":true,"max_tokens":40,"messages":` + messages + `}`
	request, err := http.NewRequest(http.MethodPost, "http://"+address+"/v1/chat/completions", strings.NewReader(body))
	if err != nil {
		panic(err) // the address is that of a listener
	}
	request.Header.Set("X-Trace-Id", id)
	request.Header.Set("X-Qos", "chat")
	request.Header.Set("X-Expires-In", strconv.FormatInt(max(1, timeout.Milliseconds()), 10)+"m")
	request.Header.Set("X-Props", "prompt_len=12,max_out=40")
	return request
}
