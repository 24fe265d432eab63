package rig

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// SessionResult is the result of conversations that call tools.
type SessionResult struct {
	Started         int             // conversations
	Completed       int             // conversations that reached the end of their last turn
	Failed          int             // conversations that ended early because of a node's response
	Unfinished      int             // conversations that were still incomplete after conversationTimeout
	DoubleResponses int             // resume keys for which both of two concurrent requests got a complete response
	Resumes         int             // resume requests that got a complete response
	Rejected        int             // responses with status 503 or 409 after which the client tried again
	UsedKeys        int             // conversations that ended because their resume key had been used
	WithoutKey      int             // conversations that ended because a turn with tool calls came without a resume key
	ResponseTimes   []time.Duration // from sending a successful resume request to the headers of its response
	Mismatches      []string        // descriptions of unexpected texts and responses
	ClientTokens    map[string]int  // tokens that the client received in complete turns, by conversation
}

// RunConversations starts conversations at random times with the given mean rate until ctx ends, each with up to
// maxCallingTurns turns that end in tool calls. It returns once all conversations have ended.
func (r *Rig) RunConversations(
	ctx context.Context,
	conversationsPerSecond float64,
	maxCallingTurns int,
	seed uint64,
) SessionResult {
	result := SessionResult{ClientTokens: map[string]int{}}
	var mu sync.Mutex // guards result
	rng := rand.New(rand.NewPCG(seed, 4))
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
	defer client.CloseIdleConnections()
	var clients sync.WaitGroup
	slots := make(chan struct{}, 128) // a semaphore for the open conversations; those beyond are not started
	for i := 0; ctx.Err() == nil; i++ {
		select {
		case <-ctx.Done():
		case <-time.After(time.Duration(rng.ExpFloat64() / conversationsPerSecond * 1e9)):
		}
		select {
		case slots <- struct{}{}:
		default:
			continue
		}
		c := &conversation{
			rig:          r,
			client:       client,
			rng:          rand.New(rand.NewPCG(seed, uint64(i)+100)),
			name:         fmt.Sprintf("s%x-%d", seed, i),
			callingTurns: rng.IntN(maxCallingTurns + 1),
			tenant:       r.Tenants[rng.IntN(len(r.Tenants))].Name,
		}
		clients.Go(func() {
			defer func() { <-slots }()
			c.run()
			mu.Lock()
			defer mu.Unlock()
			result.Started++
			result.Resumes = result.Resumes + c.resumes
			result.Rejected = result.Rejected + c.rejected
			result.UsedKeys = result.UsedKeys + c.usedKeys
			result.WithoutKey = result.WithoutKey + c.withoutKey
			result.DoubleResponses = result.DoubleResponses + c.doubleResponses
			result.ResponseTimes = append(result.ResponseTimes, c.responseTimes...)
			result.Mismatches = append(result.Mismatches, c.mismatches...)
			result.ClientTokens[c.name] = c.tokens
			switch c.outcome {
			case "completed":
				result.Completed++
			case "unfinished":
				result.Unfinished++
			default:
				result.Failed++
			}
		})
	}
	clients.Wait()
	return result
}

// conversation is the client of one conversation.
type conversation struct {
	rig          *Rig
	client       *http.Client
	rng          *rand.Rand
	name         string
	tenant       string
	callingTurns int // the number of turns that end in tool calls; one more turn follows them
	requests     int // the number of requests sent so far

	// The fields below are the conversation's share of the SessionResult.
	resumes, rejected, usedKeys, withoutKey, doubleResponses, tokens int

	responseTimes []time.Duration
	mismatches    []string
	outcome       string // "completed", "unfinished" or the reason of the failure
}

const (
	requestTimeout      = 8 * time.Second  // for one request
	conversationTimeout = 25 * time.Second // for all requests of a conversation
)

// turnResponse is the response to one request of a conversation. The zero value stands for no response.
type turnResponse struct {
	status       int
	retryAfter   time.Duration // 0: the response has no Retry-After header
	complete     bool          // it was read up to [DONE]
	text         string        // the text of the turn, or the body of a response with another status than 200
	resumeKey    string
	toolCalls    int
	responseTime time.Duration // from sending the request to the headers of the response
}

// run holds the conversation to its end and sets its outcome.
func (c *conversation) run() {
	firstBody := fmt.Sprintf(
		`{"stream":true,"max_tokens":200,"tools":[{"type":"function","function":{"name":"hours"}}],`+
			`"messages":[{"role":"user","content":"talk %s calls %d"}]}`,
		c.name,
		c.callingTurns,
	)
	until := time.Now().Add(conversationTimeout)
	var last turnResponse
	for { // the first turn is requested under the same name until a response is complete; others do not count
		last = c.sendToAnyNode(firstBody, "")
		if last.complete {
			break
		}
		if time.Now().After(until) {
			c.outcome = "unfinished"
			return
		}
		c.backOff(last)
	}
	for turn := 0; ; turn++ {
		want := turnText(c.name, turn)
		if last.text != want {
			c.mismatches = append(c.mismatches,
				fmt.Sprintf("%s: turn %d is %q, want %q", c.name, turn, last.text, want))
		}
		c.tokens += len(last.text) / 4
		if turn >= c.callingTurns {
			c.outcome = "completed"
			return
		}
		if last.resumeKey == "" {
			c.withoutKey++
			c.outcome = "no resume key"
			return
		}
		time.Sleep(time.Duration(20+c.rng.IntN(400)) * time.Millisecond) // the tool runs
		body := c.toolResultsBody(turn)
		key := last.resumeKey
		if c.rng.IntN(4) == 0 { // two of the client's devices send the same resume key concurrently
			var responses [2]turnResponse
			var devices sync.WaitGroup
			for i := range responses {
				node, id := c.nextRequest()
				devices.Go(func() { responses[i] = c.send(node, id, body, key) })
			}
			devices.Wait()
			if responses[0].complete && responses[1].complete {
				c.doubleResponses++
			}
			last = responses[0]
			if !last.complete {
				last = responses[1]
			}
		} else {
			last = c.sendToAnyNode(body, key)
		}
		for !last.complete {
			switch {
			case last.status == http.StatusConflict && last.retryAfter == 0:
				c.usedKeys++
				c.outcome = "resume key used"
				return
			case last.status == http.StatusGone,
				last.status == http.StatusNotFound,
				last.status == http.StatusBadRequest:
				c.outcome = "status " + strconv.Itoa(last.status)
				if last.status == http.StatusBadRequest {
					c.mismatches = append(c.mismatches, c.name+": "+last.text)
				}
				return
			case time.Now().After(until):
				c.outcome = "unfinished"
				return
			}
			c.backOff(last)
			last = c.sendToAnyNode(body, key)
		}
		c.resumes++
		c.responseTimes = append(c.responseTimes, last.responseTime)
	}
}

// backOff counts a temporary rejection and waits before the next attempt at the same turn.
func (c *conversation) backOff(last turnResponse) {
	if last.status == http.StatusServiceUnavailable || last.status == http.StatusConflict {
		c.rejected++
		if last.retryAfter == 0 {
			c.mismatches = append(c.mismatches, c.name+": temporary rejection without Retry-After")
		}
	}
	time.Sleep(max(last.retryAfter, 50*time.Millisecond) + time.Duration(c.rng.IntN(100))*time.Millisecond)
}

// toolResultsBody returns the body of the request with the tool results that follow a turn.
func (c *conversation) toolResultsBody(turn int) string {
	var b strings.Builder
	b.WriteString(`{"stream":true,"messages":[`)
	for i := range toolCallCount(turn) {
		if i > 0 {
			b.WriteString(",")
		}
		fmt.Fprintf(
			&b,
			`{"role":"tool","tool_call_id":%q,"content":%q}`,
			callID(c.name, turn, i),
			toolResult(c.name, turn, i),
		)
	}
	b.WriteString("]}")
	return b.String()
}

// nextRequest chooses a node at random, one that is running if 20 further draws find one, and returns it with the id of
// the conversation's next request.
func (c *conversation) nextRequest() (*Node, string) {
	node := c.rig.Nodes[c.rng.IntN(len(c.rig.Nodes))]
	for range 20 {
		if node.Running() {
			break
		}
		node = c.rig.Nodes[c.rng.IntN(len(c.rig.Nodes))]
	}
	c.requests++
	return node, fmt.Sprintf("%s-%d", c.name, c.requests)
}

// sendToAnyNode sends the next request, with a resume key unless it is empty, to a random node.
func (c *conversation) sendToAnyNode(body, key string) turnResponse {
	node, id := c.nextRequest()
	return c.send(node, id, body, key)
}

// send sends a request, with a resume key unless it is empty, and reads the response.
func (c *conversation) send(node *Node, id, body, key string) turnResponse {
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(
		ctx,
		http.MethodPost,
		"http://"+node.Address+"/v1/chat/completions",
		strings.NewReader(body),
	)
	if err != nil {
		panic(err) // method and URL are well-formed
	}
	for name, value := range map[string]string{
		"X-Trace-Id":   id,
		"X-Qos":        "chat",
		"X-Customer":   c.tenant,
		"X-Expires-In": "2500m",
		"X-Object":     "7f",
		"X-Props":      "prompt_len=20,max_out=200",
	} {
		request.Header.Set(name, value)
	}
	if key != "" {
		request.Header.Set("X-Resume", key)
	}
	start := time.Now()
	response, err := c.client.Do(request)
	if err != nil {
		return turnResponse{}
	}
	defer response.Body.Close()
	received := turnResponse{status: response.StatusCode, responseTime: time.Since(start)}
	raw, err := io.ReadAll(response.Body)
	if seconds, parseErr := strconv.ParseFloat(response.Header.Get("Retry-After"), 64); parseErr == nil {
		received.retryAfter = time.Duration(seconds * 1e9)
	}
	if response.StatusCode != http.StatusOK {
		received.text = string(raw)
		return received
	}
	for line := range bytes.Lines(raw) {
		data, ok := bytes.CutPrefix(bytes.TrimSpace(line), []byte("data: "))
		if !ok {
			continue
		}
		if string(data) == "[DONE]" {
			received.complete = err == nil
			continue
		}
		var event struct {
			Choices []struct {
				Delta struct {
					Content   string            `json:"content"`
					ToolCalls []json.RawMessage `json:"tool_calls"`
				} `json:"delta"`
			} `json:"choices"`
			Standpoint struct {
				Resume string `json:"resume"`
			} `json:"standpoint"`
		}
		if json.Unmarshal(data, &event) != nil {
			continue
		}
		for _, choice := range event.Choices {
			received.text += choice.Delta.Content
			received.toolCalls += len(choice.Delta.ToolCalls)
		}
		if event.Standpoint.Resume != "" {
			received.resumeKey = event.Standpoint.Resume
		}
	}
	return received
}

// RunSessions runs conversations that call tools for duration, with random faults meanwhile if withFaults is set. Then
// all faults end, and the conversations' turns, prompts and responses are checked. The error describes the first
// violation.
func RunSessions(
	ctx context.Context,
	options Options,
	duration time.Duration,
	conversationsPerSecond float64,
	maxCallingTurns int,
	withFaults bool,
) (SessionResult, error) {
	options.ExtraConfig += "[sessions]\ndecode = \"6s\"\nkeep = \"60s\"\nmost = 1000\n" +
		"[[tool]]\nname = \"hours\"\nwait = \"20s\"\n"
	r, err := New(options)
	if err != nil {
		return SessionResult{}, err
	}
	defer r.Close()
	if err := r.StartAll(ctx); err != nil {
		return SessionResult{}, err
	}
	loaded, stop := context.WithTimeout(ctx, duration)
	defer stop()
	var faultsEnded atomic.Bool
	done := make(chan error, 1)
	go func() {
		if withFaults {
			r.InjectFaults(loaded)
		} else {
			<-loaded.Done()
		}
		faultsEnded.Store(true)
		done <- r.EndFaults()
	}()
	result := r.RunConversations(loaded, conversationsPerSecond, maxCallingTurns, options.Seed)
	if err := <-done; err != nil {
		return result, err
	}
	for _, node := range r.Nodes {
		if err := node.UnexpectedExit(); err != nil {
			return result, err
		}
	}
	record := r.Record
	record.mu.Lock()
	defer record.mu.Unlock()
	switch {
	case len(record.ConcurrentDecodes) > 0:
		return result, fmt.Errorf("sessions of which more than one turn was decoded at the same time: %v",
			record.ConcurrentDecodes)
	case len(record.WrongPrompts) > 0:
		return result, fmt.Errorf("prompts that differ from the state of their session: %v", record.WrongPrompts)
	case len(result.Mismatches) > 0:
		return result, fmt.Errorf("unexpected turns or responses: %v", result.Mismatches)
	case result.DoubleResponses > 0:
		return result, fmt.Errorf("%d resume keys got two complete responses, want 0", result.DoubleResponses)
	case result.Completed == 0 || result.Resumes == 0:
		return result, fmt.Errorf("no conversation was completed or none was resumed: %+v", result)
	case !withFaults && result.Completed != result.Started:
		return result, fmt.Errorf("only %d of %d conversations were completed without faults",
			result.Completed, result.Started)
	}
	return result, nil
}

// ResponseTimeQuantile returns a quantile, from 0 to 1, of ResponseTimes; 0 if there are none.
func (r SessionResult) ResponseTimeQuantile(quantile float64) time.Duration {
	if len(r.ResponseTimes) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(r.ResponseTimes))
	return sorted[int(quantile*float64(len(sorted)-1))]
}
