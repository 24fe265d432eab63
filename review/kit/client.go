package kit

import (
	"bufio"
	"bytes"
	"context"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

// Answer is what a client got for a request.
type Answer struct {
	Status     int      // 0 if there was no answer
	RetryAfter string   // value of the Retry-After header
	Events     []string // data of the events, in order
	Whole      bool     // the answer came to its end
	Body       string   // body of an answer that is not 200
	Err        error    // why there was no answer, or why it is not whole
}

// String tells the answer in one line.
func (a Answer) String() string {
	if a.Status == 0 {
		return fmt.Sprintf("no answer: %v", a.Err)
	}
	if a.Status != http.StatusOK {
		return fmt.Sprintf("%d Retry-After %q %s", a.Status, a.RetryAfter, strings.TrimSpace(a.Body))
	}
	return fmt.Sprintf("200, whole %v, events: %s", a.Whole, strings.Join(a.Events, " | "))
}

// NewID returns a request ID that was not used before.
func NewID() string {
	var b [8]byte
	_, _ = rand.Read(b[:]) // never fails
	return hex.EncodeToString(b[:])
}

// Request is a client's request.
type Request struct {
	Node   string // address of the node
	Class  string
	Tenant string
	Expiry string // value of X-Expires-In
	Body   string
	Header map[string]string // further headers
}

// Send sends a request on a connection of its own and reads the answer to its end, or until limit has passed. It waits
// for the whole body, as a client does whose HTTP library reads the body.
func Send(r Request, limit time.Duration) Answer {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	url := "http://" + r.Node + "/v1/chat/completions"
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader(r.Body))
	if err != nil {
		return Answer{Err: err}
	}
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("X-Trace-Id", NewID())
	request.Header.Set("X-Qos", r.Class)
	request.Header.Set("X-Customer", r.Tenant)
	request.Header.Set("X-Object", NewID())
	request.Header.Set("X-Expires-In", r.Expiry)
	for name, value := range r.Header {
		request.Header.Set(name, value)
	}
	transport := &http.Transport{DisableKeepAlives: true}
	response, err := transport.RoundTrip(request)
	if err != nil {
		return Answer{Err: err}
	}
	defer func() { _ = response.Body.Close() }()
	answer := Answer{Status: response.StatusCode, RetryAfter: response.Header.Get("Retry-After")}
	raw, err := io.ReadAll(response.Body)
	answer.Whole = err == nil
	answer.Err = err
	if response.StatusCode != http.StatusOK {
		answer.Body = string(raw)
		return answer
	}
	for lines := bufio.NewScanner(bytes.NewReader(raw)); lines.Scan(); {
		if data, ok := strings.CutPrefix(lines.Text(), "data: "); ok {
			answer.Events = append(answer.Events, data)
		}
	}
	return answer
}
