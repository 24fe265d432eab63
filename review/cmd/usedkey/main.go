// Command usedkey plays the case in which a resumed answer meets its next tool call while its node is cut off.
package main

import (
	"encoding/json"
	"fmt"
	"os"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"standpoint-review/kit"
)

const (
	cutFor   = 5 * time.Second
	decode   = 20 * time.Second
	question = `{"model":"m","stream":true,"max_tokens":200,"tools":[{"type":"function","function":{"name":"crew_hours"}}],` +
		`"messages":[{"role":"user","content":"How many hours has crew 7 worked this week?"}]}`
)

// engine is the script of the servers. It counts how often the part behind the first result was decoded.
type engine struct {
	c            *kit.Case
	secondParts  atomic.Int32
	secondBegins chan struct{}
}

func (e *engine) answer(s *kit.Stream, prompt kit.Prompt) {
	results := 0
	for _, m := range prompt.Messages {
		if m.Role == "tool" {
			results++
		}
	}
	e.c.Note("server: request %s with %d results", prompt.ID, results)
	switch results {
	case 0:
		if s.Text("I look up the days. ", 50*time.Millisecond) && s.Call("call-1", "crew_hours", `{"crew":7}`) {
			s.Event(`{"choices":[{"index":0,"delta":{},"finish_reason":"tool_calls"}]}`)
		}
	case 1:
		n := e.secondParts.Add(1)
		e.c.Note("server: decodes the part behind the first result, for time %d", n)
		if !s.Text("Monday ", 50*time.Millisecond) {
			return
		}
		if n == 1 {
			close(e.secondBegins)
		}
		text := "to Thursday are in the list and Friday needs one more look "
		if s.Text(text, 80*time.Millisecond) && s.Call("call-2", "crew_hours", `{"crew":7,"day":"Friday"}`) {
			s.Event(`{"choices":[{"index":0,"delta":{},"finish_reason":"tool_calls"}]}`)
		}
	default:
		s.Text("Forty hours.", 50*time.Millisecond)
		s.End("stop", 60, 4)
		return
	}
	s.Wait(4 * time.Second) // the request stays open while its tool runs
}

// resumeKey returns the key in an answer's events, "" if there is none.
func resumeKey(answer kit.Answer) string {
	for _, event := range answer.Events {
		var parsed struct {
			Standpoint struct {
				Resume string `json:"resume"`
			} `json:"standpoint"`
		}
		if json.Unmarshal([]byte(event), &parsed) == nil && parsed.Standpoint.Resume != "" {
			return parsed.Standpoint.Resume
		}
	}
	return ""
}

// calls reports whether an answer is whole and ends with a tool call.
func calls(answer kit.Answer, id string) bool {
	return answer.Status == 200 && answer.Whole && slices.Contains(answer.Events, "[DONE]") &&
		strings.Contains(strings.Join(answer.Events, ""), id)
}

func main() { kit.Play(os.Args[1], play) }

func play(c *kit.Case) {
	f := c.NewFleet(3, 2)
	f.Tenants = []string{"nur-kurylys", "stroy-zhol"}
	f.Extra = fmt.Sprintf("[[tool]]\nname = \"crew_hours\"\ndoes = \"pause\"\nwait = \"90s\"\n[sessions]\ndecode = %q\n", decode)
	e := &engine{c: c, secondBegins: make(chan struct{})}
	for i, address := range f.Servers {
		c.StartEngine(fmt.Sprintf("box-%d", i+1), address, e.answer)
	}
	f.Start()
	time.Sleep(3 * time.Second) // the nodes have their seats

	send := func(node int, body, key string) kit.Answer {
		header := map[string]string{"X-Props": "prompt_len=12,max_out=200"}
		if key != "" {
			header["X-Resume"] = key
		}
		answer := kit.Send(kit.Request{
			Node: f.Nodes[node].Address, Class: "foreman-chat", Tenant: "nur-kurylys", Expiry: "5000m",
			Header: header, Body: body,
		}, 20*time.Second)
		c.Note("client, at %s, key %q: %v", f.Name(node), key, answer)
		return answer
	}
	first := send(0, question, "")
	key := resumeKey(first)
	if key == "" || !calls(first, "call-1") {
		c.Stop("no key with the first answer: %v", first)
	}
	result := `{"messages":[{"role":"tool","tool_call_id":"call-1","content":"eight hours a day"}]}`
	healed := make(chan struct{})
	go func() {
		defer close(healed)
		<-e.secondBegins
		if c.Trouble {
			f.Cut(0, true)
			time.Sleep(cutFor)
			f.Cut(0, false)
		}
	}()
	second := send(0, result, key)
	if !calls(second, "call-2") {
		c.Stop("the resumed answer did not come to its call: %v", second)
	}
	next := resumeKey(second)
	c.Note("client: the resumed answer is whole; its key is %q", next)
	<-healed

	// The key has had its answer. What presents it again is to be refused.
	for end := time.Now().Add(decode + 15*time.Second); ; time.Sleep(500 * time.Millisecond) {
		again := send(1, result, key)
		if again.Status == 200 {
			c.Breach("key %s had a whole answer and got a second one; servers decoded its part %d times",
				key, e.secondParts.Load())
			return
		}
		if again.Status != 0 && again.RetryAfter == "" {
			c.Note("client: the key is refused for good")
			break
		}
		if time.Now().After(end) {
			c.Note("client: the key is still refused")
			break
		}
	}
	if n := e.secondParts.Load(); n != 1 {
		c.Breach("servers decoded the part behind the first result %d times", n)
	}
}
