package upgrade

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Patience is the time after the last event for which a client waits for a stream that is not whole.
const Patience = 5 * time.Second

// answerSlack is how late a final answer may be beyond the request's time before the client gives up.
const answerSlack = 500 * time.Millisecond

// Client sends requests for streams to a node.
type Client struct {
	Address string
	// Connections keeps the client's connections; nil stands for a new connection for each request.
	Connections *http.Transport
}

// Request is one request of a client.
type Request struct {
	ID      string
	Answer  Answer
	Timeout time.Duration // for the first event
	Again   bool          // it asks for the rest of a stream that broke
	// Stall is a pause of the client before it reads on, after the first event; 0 for none.
	Stall time.Duration
	// Patience is the time after the last event for which the client waits; 0 stands for the constant.
	Patience time.Duration
}

// Result is how a request ended for its client.
type Result struct {
	ID        string
	Status    int       // 0 if there was no answer
	Events    int       // events with data
	Complete  bool      // the stream came to its last event and its end
	LastEvent time.Time // when the last event was received, or the request was sent if there was none
	Ended     time.Time
	GaveUp    bool // the client was left waiting
	Err       error
}

// String describes the result.
func (r Result) String() string {
	return fmt.Sprintf("%s: status %d, %d events, complete %v, ended %v after its last event at %s, gave up %v: %v",
		r.ID, r.Status, r.Events, r.Complete, r.Ended.Sub(r.LastEvent).Round(time.Millisecond),
		r.LastEvent.Format("05.000"), r.GaveUp, r.Err)
}

// Broken reports whether a stream had begun and ended before it was whole.
func (r Result) Broken() bool { return r.Status == http.StatusOK && !r.Complete && !r.GaveUp }

// Do sends a request and reads its answer to its end. The client gives up if it has no final answer in time, if it is
// left waiting after an event, or if the context ends.
func (c *Client) Do(ctx context.Context, request Request) (result Result) {
	result = Result{ID: request.ID, LastEvent: time.Now()}
	ctx, giveUp := context.WithCancel(ctx)
	defer giveUp()
	patience := time.AfterFunc(request.Timeout+answerSlack, giveUp)
	defer func() {
		result.GaveUp = !patience.Stop() && !result.Complete
		result.Ended = time.Now()
	}()
	transport := c.Connections
	if transport == nil {
		transport = &http.Transport{DisableKeepAlives: true}
	}
	response, err := transport.RoundTrip(c.encode(ctx, request))
	if err != nil {
		result.Err = err
		return result
	}
	defer response.Body.Close()
	result.Status = response.StatusCode
	if request.Patience == 0 {
		request.Patience = Patience
	}
	result.read(response, request, patience)
	return result
}

// read reads an answer to its end.
func (r *Result) read(response *http.Response, request Request, patience *time.Timer) {
	done := false
	lines := bufio.NewScanner(response.Body)
	for lines.Scan() {
		if !strings.HasPrefix(lines.Text(), "data:") {
			continue
		}
		done = done || strings.Contains(lines.Text(), "[DONE]")
		r.Events++
		if r.Events == 1 && request.Stall > 0 {
			patience.Stop()
			time.Sleep(request.Stall)
		}
		r.LastEvent = time.Now()
		patience.Reset(request.Patience)
	}
	r.Err = lines.Err()
	r.Complete = r.Status == http.StatusOK && done && r.Err == nil
}

// encode returns the request as it is sent.
func (c *Client) encode(ctx context.Context, request Request) *http.Request {
	body, err := json.Marshal(map[string]any{
		"model": "chat", "stream": true, "max_tokens": max(100, request.Answer.Events),
		"messages": []any{map[string]string{"role": "user", "content": request.ID}}, "answer": request.Answer,
	})
	if err != nil {
		panic(err) // the values can all be encoded
	}
	encoded, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.Address+"/v1/chat/completions",
		strings.NewReader(string(body)))
	if err != nil {
		panic(err) // the address is that of a listener
	}
	encoded.Header.Set("X-Trace-Id", request.ID)
	encoded.Header.Set("X-Qos", "chat")
	encoded.Header.Set("X-Expires-In", strconv.FormatInt(request.Timeout.Milliseconds(), 10)+"m")
	encoded.Header.Set("X-Props", "prompt_len=12,max_out="+strconv.Itoa(max(100, request.Answer.Events)))
	if request.Again {
		encoded.Header.Set("X-Second-Try", "again")
	}
	return encoded
}
