// Command upgrade plays the case in which a node is upgraded while it has many streams.
package main

import (
	"fmt"
	"os"
	"sync"
	"syscall"
	"time"

	"standpoint-review/kit"
)

const (
	sockets   = 256 // descriptors of the node
	streams   = 36  // streams under way at the upgrade
	eventGap  = 200 * time.Millisecond
	eventSize = 4    // tokens of an event
	mostTime  = 12.0 // seconds, the longest that an answer takes: 240 tokens
	killAfter = 3700 * time.Millisecond
	firstEnds = 2300 * time.Millisecond // from the moment of the upgrade until the first stream is at its end
	endsApart = 30 * time.Millisecond   // between the ends of two streams: all have ended 0.35 s before the kill
)

// servers is the script of all servers: a stream goes on until it is its turn to end, some seconds after the moment at
// which the platform tells the old process to end.
type servers struct {
	c     *kit.Case
	told  chan struct{} // closed at that moment
	mu    sync.Mutex
	turns int // streams that were begun
}

func (v *servers) answer(s *kit.Stream, prompt kit.Prompt) {
	v.mu.Lock()
	turn := v.turns
	v.turns++
	v.mu.Unlock()
	tokens := 0
	began := time.Now()
	var end <-chan time.Time
	told := v.told
	beat := time.NewTicker(eventGap)
	defer beat.Stop()
	for over := false; !over; {
		if !s.Event(`{"choices":[{"index":0,"delta":{"content":"%04d"},"finish_reason":null}]}`, tokens) {
			v.c.Note("server: the node ended stream %d (%s) after %d tokens", turn, prompt.ID, tokens)
			return
		}
		tokens += eventSize
		for beats := 0; beats == 0 && !over; {
			select {
			case <-beat.C:
				beats++
			case <-told:
				told = nil
				end = time.After(firstEnds + time.Duration(turn)*endsApart)
			case <-end:
				over = true
			}
		}
		over = over || time.Since(began).Seconds() > mostTime
	}
	whole := s.End("stop", 40, tokens)
	v.c.Note("server: stream %d (%s) ends with %d tokens, the node is there: %v", turn, prompt.ID, tokens, whole)
}

func main() { kit.Play(os.Args[1], play) }

func play(c *kit.Case) {
	p := c.NewPlatform(3)
	script := &servers{c: c, told: make(chan struct{})}
	for i, address := range p.Servers {
		c.StartEngine(fmt.Sprintf("s-%d", i+1), address, script.answer)
	}
	consoles := c.Addresses(2)
	settings := map[string]any{"familyInfo": map[string]any{ // clients do not ask for the rest of a stream that broke
		"aimUsPer1000PromptTokens": []float64{60000, 30000}, "resume": false, "tokenAim": []int{50000000, 100000000},
	}}
	old := p.StartProcess("old", consoles[0], sockets, settings)
	c.WaitFor("the node takes clients", 30*time.Second, func() bool { return kit.Serves(consoles[0]) && kit.Ready(p.Listen) })

	tenants := []string{"stroy-zhol", "nur-kurylys", "ak-beton", "steppe-frame"}
	var clients sync.WaitGroup
	answers := make([]kit.Answer, streams)
	for i := range streams {
		clients.Go(func() {
			answers[i] = kit.Send(kit.Request{
				Node: p.Listen, Class: "foreman-chat", Tenant: tenants[i%len(tenants)], Expiry: "5000m",
				Header: map[string]string{"X-Props": "prompt_len=40,max_out=400"},
				Body: `{"model":"m","stream":true,"max_tokens":400,"messages":[{"role":"user","content":` +
					`"Which crews were on site on Friday, and for how long? Tell each of them by name, with breaks."}]}`,
			}, 40*time.Second)
		})
		time.Sleep(55 * time.Millisecond)
	}
	if c.Trouble {
		p.StartProcess("new", consoles[1], sockets, settings)
		c.WaitFor("the new process takes clients", 6*time.Second, func() bool { return kit.Serves(consoles[1]) })
		c.Note("the new process says that it takes clients")
		old.Signal(syscall.SIGTERM)
	}
	close(script.told)
	if c.Trouble && !old.Ended(killAfter) {
		c.Note("the platform kills the old process")
		old.Kill()
	}
	clients.Wait()

	served, cut := 0, 0
	for i, answer := range answers {
		c.Note("client %d: status %d, %d events, whole %v, %v %s",
			i, answer.Status, len(answer.Events), answer.Whole, answer.Err, answer.Body)
		switch {
		case answer.Status == 200 && answer.Whole && answer.Events[len(answer.Events)-1] == "[DONE]":
			served++
		case answer.Status == 200:
			cut++
		}
	}
	c.Note("%d streams served whole, %d cut off", served, cut)
	if served+cut < streams {
		c.Stop("%d requests did not begin", streams-served-cut)
	}
	if cut > 0 {
		c.Breach("%d of %d streams were cut off while their servers wrote", cut, streams)
	}
}
