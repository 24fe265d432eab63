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

// Load is what clients met.
type Load struct {
	Requests int
	Served   int
	Rejected int // with 503 and a Retry-After
	Failed   int // any other answer
	Broken   int // no answer, or not to its end: a node was killed or stood still
	Bare     int // refused, and not told when to come back
	Late     int // answered after the client's time by more than half a second, by a node that was up throughout
}

// Run has clients ask nodes that are up, so many a second, until ctx ends; it returns once all have their end.
func (r *Rig) Run(ctx context.Context, each float64, seed uint64) Load {
	l := &tally{}
	rng := rand.New(rand.NewPCG(seed, 3))
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
	defer client.CloseIdleConnections()
	var all sync.WaitGroup
	places := make(chan struct{}, 256) // clients at once
	for i := 0; ctx.Err() == nil; i++ {
		n := r.Nodes[rng.IntN(len(r.Nodes))]
		tenant := r.Tenants[rng.IntN(len(r.Tenants))].Name
		prompt, most := 40+rng.IntN(200), 4+rng.IntN(40)
		select {
		case <-ctx.Done():
		case <-time.After(time.Duration(rng.ExpFloat64() / each * 1e9)):
		}
		if !n.Up() || ctx.Err() != nil {
			continue
		}
		select {
		case places <- struct{}{}:
		default:
			continue
		}
		all.Go(func() {
			defer func() { <-places }()
			r.ask(client, n, fmt.Sprintf("%s-%x-%d", tenant, seed, i), tenant, prompt, most, l)
		})
	}
	all.Wait()
	return l.Load
}

// tally is a load that several clients add to.
type tally struct {
	mu sync.Mutex
	Load
}

func (r *Rig) ask(client *http.Client, n *Node, id, tenant string, prompt, most int, l *tally) {
	const patience = 2500 * time.Millisecond
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	body := fmt.Sprintf(
		`{"stream":true,"max_tokens":%d,"messages":[{"role":"user","content":%q}]}`,
		most,
		strings.Repeat("x", 4*prompt),
	)
	request, err := http.NewRequestWithContext(
		ctx,
		http.MethodPost,
		"http://"+n.Front+"/v1/chat/completions",
		strings.NewReader(body),
	)
	if err != nil {
		panic(err) // a constant form
	}
	for k, v := range map[string]string{"X-Trace-Id": id, "X-Qos": "chat", "X-Customer": tenant, "X-Expires-In": fmt.Sprintf("%dm", patience.Milliseconds()),
		"X-Props": fmt.Sprintf("prompt_len=%d,max_out=%d", prompt, most)} {
		request.Header.Set(k, v)
	}
	from := time.Now()
	response, err := client.Do(request)
	first := time.Since(from)
	var text []byte
	if err == nil {
		text, err = io.ReadAll(response.Body)
		response.Body.Close()
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.Requests++
	switch {
	case err != nil:
		l.Broken++
	case response.StatusCode == http.StatusOK && strings.Contains(string(text), "[DONE]"):
		l.Served++
	case response.StatusCode == http.StatusServiceUnavailable:
		l.Rejected++
		if response.Header.Get("Retry-After") == "" {
			l.Bare++
		}
	default:
		l.Failed++
	}
	if err == nil && first > patience+500*time.Millisecond {
		l.Late++
	}
}
