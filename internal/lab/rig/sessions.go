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

// Talks is what came of conversations that call tools.
type Talks struct {
	Begun    int
	Whole    int // to their final answer
	Lost     int // that ended otherwise, by what was said to the client
	Open     int // that had no end when the client gave up asking
	Twice    int // keys that gave a second whole answer
	Resumes  int
	Refused  int // resumes, for now
	Used     int // resumes by a key that had been used
	Unkept   int // calls that came without a key
	Firsts   []time.Duration
	Mistakes []string
	Lengths  map[string]int // tokens that a client has of a talk
}

// Talk has clients hold conversations until ctx ends, and each to its end.
func (r *Rig) Talk(ctx context.Context, each float64, calls int, seed uint64) Talks {
	t := Talks{Lengths: map[string]int{}}
	var mu sync.Mutex
	rng := rand.New(rand.NewPCG(seed, 4))
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
	defer client.CloseIdleConnections()
	var all sync.WaitGroup
	places := make(chan struct{}, 128)
	for i := 0; ctx.Err() == nil; i++ {
		select {
		case <-ctx.Done():
		case <-time.After(time.Duration(rng.ExpFloat64() / each * 1e9)):
		}
		select {
		case places <- struct{}{}:
		default:
			continue
		}
		c := &talker{
			r:      r,
			client: client,
			rng:    rand.New(rand.NewPCG(seed, uint64(i)+100)),
			name:   fmt.Sprintf("s%x-%d", seed, i),
			calls:  rng.IntN(calls + 1),
			tenant: r.Tenants[rng.IntN(len(r.Tenants))].Name,
		}
		all.Go(func() {
			defer func() { <-places }()
			c.run()
			mu.Lock()
			defer mu.Unlock()
			t.Begun++
			t.Resumes = t.Resumes + c.resumes
			t.Refused = t.Refused + c.refused
			t.Used = t.Used + c.used
			t.Unkept = t.Unkept + c.unkept
			t.Twice = t.Twice + c.twice
			t.Firsts = append(t.Firsts, c.firsts...)
			t.Mistakes = append(t.Mistakes, c.mistakes...)
			t.Lengths[c.name] = c.tokens
			switch c.end {
			case "whole":
				t.Whole++
			case "open":
				t.Open++
			default:
				t.Lost++
			}
		})
	}
	all.Wait()
	return t
}

// talker is one conversation's client.
type talker struct {
	r      *Rig
	client *http.Client
	rng    *rand.Rand
	name   string
	tenant string
	calls  int
	asked  int

	resumes, refused, used, unkept, twice, tokens int
	firsts                                        []time.Duration
	mistakes                                      []string
	end                                           string
}

const (
	askTime  = 8 * time.Second // of one request
	talkTime = 25 * time.Second
)

// reply is what one request of a talk came to.
type reply struct {
	status int
	wait   time.Duration
	whole  bool // to [DONE]
	text   string
	key    string
	calls  int
	first  time.Duration
}

func (c *talker) run() {
	first := fmt.Sprintf(
		`{"stream":true,"max_tokens":200,"tools":[{"type":"function","function":{"name":"hours"}}],"messages":[{"role":"user","content":"talk %s calls %d"}]}`,
		c.name,
		c.calls,
	)
	until := time.Now().Add(talkTime)
	var last reply
	for { // the first part: asked anew under the same name until it has come whole; only the last of these counts
		last = c.ask(first, "")
		if last.whole {
			break
		}
		if time.Now().After(until) {
			c.end = "open"
			return
		}
		c.pause(last)
	}
	for part := 0; ; part++ {
		want := partText(c.name, part)
		if last.text != want {
			c.mistakes = append(c.mistakes, fmt.Sprintf("%s: part %d is %q, not %q", c.name, part, last.text, want))
		}
		c.tokens += len(last.text) / 4
		if part >= c.calls {
			c.end = "whole"
			return
		}
		if last.key == "" {
			c.unkept++
			c.end = "no key"
			return
		}
		time.Sleep(time.Duration(20+c.rng.IntN(400)) * time.Millisecond) // the tool works
		body := c.results(part)
		key := last.key
		if c.rng.IntN(4) == 0 { // two of the client's devices present it at once
			var two [2]reply
			var both sync.WaitGroup
			for i := range two {
				n, id := c.draw()
				both.Go(func() { two[i] = c.do(n, id, body, key) })
			}
			both.Wait()
			if two[0].whole && two[1].whole {
				c.twice++
			}
			last = two[0]
			if !last.whole {
				last = two[1]
			}
		} else {
			last = c.ask(body, key)
		}
		for !last.whole {
			switch {
			case last.status == http.StatusConflict && last.wait == 0:
				c.used++
				c.end = "used"
				return
			case last.status == http.StatusGone,
				last.status == http.StatusNotFound,
				last.status == http.StatusBadRequest:
				c.end = "status " + strconv.Itoa(last.status)
				if last.status == http.StatusBadRequest {
					c.mistakes = append(c.mistakes, c.name+": "+last.text)
				}
				return
			case time.Now().After(until):
				c.end = "open"
				return
			}
			c.pause(last)
			last = c.ask(body, key)
		}
		c.resumes++
		c.firsts = append(c.firsts, last.first)
	}
}

func (c *talker) pause(last reply) {
	if last.status == http.StatusServiceUnavailable || last.status == http.StatusConflict {
		c.refused++
		if last.wait == 0 {
			c.mistakes = append(c.mistakes, c.name+": refused for now, and not told when to come back")
		}
	}
	time.Sleep(max(last.wait, 50*time.Millisecond) + time.Duration(c.rng.IntN(100))*time.Millisecond)
}

func (c *talker) results(part int) string {
	var b strings.Builder
	b.WriteString(`{"stream":true,"messages":[`)
	for k := range callsOf(part) {
		if k > 0 {
			b.WriteString(",")
		}
		fmt.Fprintf(
			&b,
			`{"role":"tool","tool_call_id":%q,"content":%q}`,
			callID(c.name, part, k),
			result(c.name, part, k),
		)
	}
	b.WriteString("]}")
	return b.String()
}

// draw draws a node that is up, and names a request.
func (c *talker) draw() (*Node, string) {
	n := c.r.Nodes[c.rng.IntN(len(c.r.Nodes))]
	for range 20 {
		if n.Up() {
			break
		}
		n = c.r.Nodes[c.rng.IntN(len(c.r.Nodes))]
	}
	c.asked++
	return n, fmt.Sprintf("%s-%d", c.name, c.asked)
}

func (c *talker) ask(body, key string) reply {
	n, id := c.draw()
	return c.do(n, id, body, key)
}

func (c *talker) do(n *Node, id, body, key string) reply {
	ctx, cancel := context.WithTimeout(context.Background(), askTime)
	defer cancel()
	request, err := http.NewRequestWithContext(
		ctx,
		http.MethodPost,
		"http://"+n.Front+"/v1/chat/completions",
		strings.NewReader(body),
	)
	if err != nil {
		panic(err) // a constant form
	}
	for k, v := range map[string]string{"X-Trace-Id": id, "X-Qos": "chat", "X-Customer": c.tenant, "X-Expires-In": "2500m", "X-Object": "7f", "X-Props": "prompt_len=20,max_out=200"} {
		request.Header.Set(k, v)
	}
	if key != "" {
		request.Header.Set("X-Resume", key)
	}
	from := time.Now()
	response, err := c.client.Do(request)
	if err != nil {
		return reply{}
	}
	defer response.Body.Close()
	p := reply{status: response.StatusCode, first: time.Since(from)}
	raw, err := io.ReadAll(response.Body)
	if seconds, bad := strconv.ParseFloat(response.Header.Get("Retry-After"), 64); bad == nil {
		p.wait = time.Duration(seconds * 1e9)
	}
	if response.StatusCode != http.StatusOK {
		p.text = string(raw)
		return p
	}
	for line := range bytes.Lines(raw) {
		data, ok := bytes.CutPrefix(bytes.TrimSpace(line), []byte("data: "))
		if !ok {
			continue
		}
		if string(data) == "[DONE]" {
			p.whole = err == nil
			continue
		}
		var event struct {
			Choices []struct {
				Delta struct {
					Content string            `json:"content"`
					Calls   []json.RawMessage `json:"tool_calls"`
				} `json:"delta"`
			} `json:"choices"`
			Standpoint struct {
				Resume string `json:"resume"`
			} `json:"standpoint"`
		}
		if json.Unmarshal(data, &event) != nil {
			continue
		}
		for _, ch := range event.Choices {
			p.text += ch.Delta.Content
			p.calls += len(ch.Delta.Calls)
		}
		if event.Standpoint.Resume != "" {
			p.key = event.Standpoint.Resume
		}
	}
	return p
}

// PlaySessions plays conversations that call tools, with troubles for a span; then all is healed, and checked.
func PlaySessions(
	ctx context.Context,
	o Options,
	span time.Duration,
	each float64,
	calls int,
	trouble bool,
) (Talks, error) {
	o.Config += "[sessions]\ndecode = \"6s\"\nkeep = \"60s\"\nmost = 1000\n[[tool]]\nname = \"hours\"\nwait = \"20s\"\n"
	r, err := New(o)
	if err != nil {
		return Talks{}, err
	}
	defer r.Close()
	if err := r.StartAll(ctx); err != nil {
		return Talks{}, err
	}
	loaded, stop := context.WithTimeout(ctx, span)
	defer stop()
	var healed atomic.Bool
	done := make(chan error, 1)
	go func() {
		if trouble {
			r.Disturb(loaded)
		} else {
			<-loaded.Done()
		}
		healed.Store(true)
		done <- r.Heal()
	}()
	t := r.Talk(loaded, each, calls, o.Seed)
	if err := <-done; err != nil {
		return t, err
	}
	for _, n := range r.Nodes {
		if err := n.Died(); err != nil {
			return t, err
		}
	}
	l := r.Ledger
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case len(l.Double) > 0:
		return t, fmt.Errorf("two parts of a session were decoded at once: %v", l.Double)
	case len(l.Wrong) > 0:
		return t, fmt.Errorf("prompts that are not what the session had come to: %v", l.Wrong)
	case len(t.Mistakes) > 0:
		return t, fmt.Errorf("answers that are not whole: %v", t.Mistakes)
	case t.Twice > 0:
		return t, fmt.Errorf("%d keys gave two whole answers", t.Twice)
	case t.Whole == 0 || t.Resumes == 0:
		return t, fmt.Errorf("nothing came of it: %+v", t)
	case !trouble && t.Whole != t.Begun:
		return t, fmt.Errorf("without any trouble only %d of %d talks came to their end", t.Whole, t.Begun)
	}
	return t, nil
}

// First is a part of the first tokens after results, in order.
func (t Talks) First(part float64) time.Duration {
	if len(t.Firsts) == 0 {
		return 0
	}
	all := slices.Sorted(slices.Values(t.Firsts))
	return all[int(part*float64(len(all)-1))]
}
