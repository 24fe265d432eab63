// Command session-after-reload pauses a session at a tool call, gives the node a file with one more tenant and SIGHUP, and
// then brings the tool's result. The session must go on.
package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"syscall"
	"time"

	"standpoint-review/rig2"
)

const config = `name = "payroll-1"
listen = "%[1]s"
[limits]
cores = 1.0
memory_mb = 192
sockets = 1024
[module]
nodes = 1
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
%[5]s[[tenant]]
name = "stroy-zhol"
share = 0.5
[[tenant]]
name = "nur-kurylys"
share = 0.3
[entries]
source = "list"
[[real_server]]
name = "box-1"
address = "%[2]s"
zone = "hall-a"
kind = "fast"
[store]
kind = "raft"
id = "payroll-1"
dir = "state"
[[store.member]]
id = "payroll-1"
address = "%[3]s"
front = "%[1]s"
[fleet]
listen = "%[4]s"
dir = "fleet"
clock_error = "500ms"
lease = "10m"
[[fleet.seat]]
name = "payroll-1"
address = "%[4]s"
weight = 1
[[tool]]
name = "crew_hours"
does = "pause"
wait = "30s"
result_kb = 64
[sessions]
decode = "60s"
keep = "10m"
`

// added is the tenant that the changed file has more, before the others.
const added = `[[tenant]]
name = "ak-beton"
share = 0.2
`

const call = `{"choices":[{"index":0,"delta":{"tool_calls":[{"index":0,"id":"call-1","type":"function",` +
	`"function":{"name":"crew_hours","arguments":"{\"crew\":7}"}}]},"finish_reason":null}]}`

func main() {
	c := rig2.Open()
	engine := c.StartEngine("box-1", func(r rig2.EngineRequest, s *rig2.Stream) {
		last := r.Messages[len(r.Messages)-1]
		if last.Role == "tool" {
			s.Text("The crew has " + string(bytes.Trim(last.Content, `"`)) + " hours.")
			s.Finish(240, 8)
			return
		}
		s.Text("Let me look.")
		s.Event(call)
		s.Event(`{"choices":[{"index":0,"delta":{},"finish_reason":"tool_calls"}]}`)
		s.Event("[DONE]")
	})
	listen, raft, fleet := c.FreeAddress(), c.FreeAddress(), c.FreeAddress()
	write := func(more string) string {
		return c.Write("node/operator.toml", fmt.Sprintf(config, listen, engine.Address, raft, fleet, more))
	}
	node := c.Start("node", "serve --config "+write(""))
	c.Await("the node is ready", 20*time.Second, func() bool { return rig2.Healthy(listen) })
	url := "http://" + listen + "/v1/chat/completions"

	key := ""
	c.Await("a session pauses", 20*time.Second, func() bool {
		answer := rig2.Call(http.MethodPost, url, rig2.ChatHeader("foreman-chat", "stroy-zhol", 5*time.Second), []byte(
			`{"model":"m","stream":true,"max_tokens":100,"messages":[{"role":"user","content":"Hours of crew 7?"}],`+
				`"tools":[{"type":"function","function":{"name":"crew_hours"}}]}`), 8*time.Second)
		c.Log("client: answered %d whole %v %q", answer.Status, answer.Whole, answer.Body)
		if key = keyOf(answer.Body); key == "" {
			time.Sleep(300 * time.Millisecond)
		}
		return key != ""
	})
	paused := time.Now()
	time.Sleep(time.Second) // SIGHUP never comes in the node's first second
	if c.Trouble {
		write(added)
		node.Signal(syscall.SIGHUP)
		c.Await("the new file is taken on", 10*time.Second, func() bool { return node.LogContains("configuration reloaded") })
	}
	time.Sleep(2 * time.Second)

	// The client brings the result until the session's time is nearly over, as often as it is told to come again.
	for time.Since(paused) < 25*time.Second {
		header := rig2.ChatHeader("foreman-chat", "stroy-zhol", 5*time.Second)
		header["X-Resume"] = key
		answer := rig2.Call(http.MethodPost, url, header,
			[]byte(`{"messages":[{"role":"tool","tool_call_id":"call-1","content":"41"}]}`), 8*time.Second)
		c.Log("client: result answered %d whole %v %q", answer.Status, answer.Whole, answer.Body)
		switch {
		case answer.Status == http.StatusOK && answer.Whole && bytes.Contains(answer.Body, []byte("41 hours")):
			c.End(rig2.Held, "held: the session went on")
		case answer.Err != nil || answer.Status == 503 || answer.Status == 429 || answer.Header.Get("Retry-After") != "":
			time.Sleep(500 * time.Millisecond)
		default:
			c.End(rig2.Broken, "broken: %.1f s after its pause the session's result was answered %d: %s",
				time.Since(paused).Seconds(), answer.Status, bytes.TrimSpace(answer.Body))
		}
	}
	c.End(rig2.Broken, "broken: the session did not go on within 25 s of the 30 s that it has")
}

// keyOf returns the resume key in an answer; "" if it has none.
func keyOf(body []byte) string {
	for line := range strings.Lines(string(body)) {
		var event struct {
			Standpoint struct {
				Resume string `json:"resume"`
			} `json:"standpoint"`
		}
		data, ok := strings.CutPrefix(line, "data:")
		if ok && json.Unmarshal([]byte(data), &event) == nil && event.Standpoint.Resume != "" {
			return event.Standpoint.Resume
		}
	}
	return ""
}
