// Command stream-after-sigterm tells one of four operator's nodes to end while it streams a long answer, whose events keep
// coming. Nobody kills the node. The client must get the whole answer.
package main

import (
	"bytes"
	"fmt"
	"net/http"
	"syscall"
	"time"

	"standpoint-review/rig2"
)

// The protocol page's example allows 800 tokens, and the brief's class has one every 100 ms: 80 s in all.
const (
	events = 800
	gap    = 100 * time.Millisecond
	nodes  = 4 // one of them is told to end, which is a quarter
)

const config = `name = "%[3]s"
listen = "%[1]s"
[limits]
cores = 1.0
memory_mb = 192
sockets = 1024
[module]
nodes = 4
zones = ["hall-a"]
zone = "hall-a"
kinds = ["fast"]
max_attempts = 3
[[class]]
name = "foreman-chat"
first_token = "1.2s"
per_1000_prompt_tokens = "30ms"
token_gap = "100ms"
give_up = "5s"
worth = 5.0
[[tenant]]
name = "stroy-zhol"
share = 1.0
[entries]
source = "list"
[[real_server]]
name = "box-1"
address = "%[2]s"
zone = "hall-a"
kind = "fast"
`

func main() {
	c := rig2.Open()
	engine := c.StartEngine("box-1", func(_ rig2.EngineRequest, s *rig2.Stream) {
		began := time.Now()
		for i := range events {
			if !s.Text(fmt.Sprintf("word-%d ", i)) {
				c.Log("box-1: the node has closed the connection before event %d", i)
				return
			}
			time.Sleep(time.Until(began.Add(time.Duration(i+1) * gap)))
		}
		s.Finish(200, events)
	})
	var fronts []string
	var processes []*rig2.Process
	for i := range nodes {
		name, front := fmt.Sprintf("payroll-%d", i+1), c.FreeAddress()
		file := c.Write(name+"/operator.toml", fmt.Sprintf(config, front, engine.Address, name))
		fronts, processes = append(fronts, front), append(processes, c.Start(name, "serve --config "+file))
	}
	for _, front := range fronts {
		c.Await("the nodes are ready", 20*time.Second, func() bool { return rig2.Healthy(front) })
	}
	listen, node := fronts[0], processes[0]
	answered := make(chan rig2.Answer, 1)
	header := rig2.ChatHeader("foreman-chat", "stroy-zhol", 5*time.Second)
	header["X-Props"] = "prompt_len=200,max_out=800"
	began := time.Now()
	go func() {
		answered <- rig2.Call(http.MethodPost, "http://"+listen+"/v1/chat/completions",
			header,
			[]byte(`{"model":"m","stream":true,"max_tokens":800,"messages":[{"role":"user","content":"All sheets?"}]}`),
			105*time.Second)
	}()
	c.Await("the server has the request", 5*time.Second, func() bool { return len(engine.Requests()) > 0 })
	time.Sleep(2 * time.Second)
	if c.Trouble {
		node.Signal(syscall.SIGTERM)
	}
	answer := <-answered
	got := bytes.Count(answer.Body, []byte("word-"))
	c.Log("client: status %d, %d of %d events after %v, whole %v, %v", answer.Status, got, events, time.Since(began),
		answer.Whole, answer.Err)
	if answer.Status == http.StatusOK && answer.Whole && got == events {
		c.End(rig2.Held, "held: the whole answer came")
	}
	c.End(rig2.Broken, "broken: the answer was cut after %.0f s, with %d of %d events (status %d, %v)",
		time.Since(began).Seconds(), got, events, answer.Status, answer.Err)
}
