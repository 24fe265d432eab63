package rig

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Load counts the requests of clients by their outcome.
type Load struct {
	Requests          int // requests that were sent
	Served            int // complete responses with status 200
	Rejected          int // responses with status 503
	Failed            int // all other responses
	Incomplete        int // no response or an incomplete one, because the node was killed or suspended
	WithoutRetryAfter int // responses with status 503 but no Retry-After header
	Late              int // complete responses whose headers came over half a second after the request's deadline
}

// RunLoad sends requests to nodes that are running, at random times with the given mean rate, until ctx ends. It
// returns once all requests have ended.
func (r *Rig) RunLoad(ctx context.Context, requestsPerSecond float64, seed uint64) Load {
	counter := &loadCounter{}
	rng := rand.New(rand.NewPCG(seed, 3))
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
	defer client.CloseIdleConnections()
	var clients sync.WaitGroup
	slots := make(chan struct{}, 256) // a semaphore for the requests in flight; requests beyond are not sent
	for i := 0; ctx.Err() == nil; i++ {
		node := r.Nodes[rng.IntN(len(r.Nodes))]
		tenant := r.Tenants[rng.IntN(len(r.Tenants))].Name
		promptTokens, maxTokens := 40+rng.IntN(200), 4+rng.IntN(40)
		select {
		case <-ctx.Done():
		case <-time.After(time.Duration(rng.ExpFloat64() / requestsPerSecond * 1e9)):
		}
		if !node.Running() || ctx.Err() != nil {
			continue
		}
		select {
		case slots <- struct{}{}:
		default:
			continue
		}
		clients.Go(func() {
			defer func() { <-slots }()
			r.sendRequest(
				client, node, fmt.Sprintf("%s-%x-%d", tenant, seed, i), tenant, promptTokens, maxTokens, counter)
		})
	}
	clients.Wait()
	return counter.Load
}

// loadCounter is a Load that concurrent clients count in.
type loadCounter struct {
	mu sync.Mutex // guards Load
	Load
}

// sendRequest sends a request to a node, reads the response and counts its outcome.
func (r *Rig) sendRequest(
	client *http.Client,
	node *Node,
	id, tenant string,
	promptTokens, maxTokens int,
	counter *loadCounter,
) {
	const deadline = 2500 * time.Millisecond
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	body := fmt.Sprintf(
		`{"stream":true,"max_tokens":%d,"messages":[{"role":"user","content":%q}]}`,
		maxTokens,
		strings.Repeat("x", 4*promptTokens),
	)
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
		"X-Customer":   tenant,
		"X-Expires-In": fmt.Sprintf("%dm", deadline.Milliseconds()),
		"X-Props":      fmt.Sprintf("prompt_len=%d,max_out=%d", promptTokens, maxTokens),
	} {
		request.Header.Set(name, value)
	}
	start := time.Now()
	response, err := client.Do(request)
	responseTime := time.Since(start)
	var text []byte
	if err == nil {
		text, err = io.ReadAll(response.Body)
		response.Body.Close()
	}
	counter.mu.Lock()
	defer counter.mu.Unlock()
	counter.Requests++
	switch {
	case err != nil:
		counter.Incomplete++
	case response.StatusCode == http.StatusOK && strings.Contains(string(text), "[DONE]"):
		counter.Served++
	case response.StatusCode == http.StatusServiceUnavailable:
		counter.Rejected++
		if response.Header.Get("Retry-After") == "" {
			counter.WithoutRetryAfter++
		}
	default:
		counter.Failed++
	}
	if err == nil && responseTime > deadline+500*time.Millisecond {
		counter.Late++
	}
}
