// Command heldup plays the case in which a node is held up for a moment as an answer comes to its tool call.
package main

import (
	"fmt"
	"os"
	"slices"
	"strings"
	"syscall"
	"time"

	"standpoint-review/kit"
)

const hold = 140 * time.Millisecond

func main() { kit.Play(os.Args[1], play) }

func play(c *kit.Case) {
	f := c.NewFleet(3, 2)
	f.Tenants = []string{"nur-kurylys", "stroy-zhol"}
	f.Extra = "[[tool]]\nname = \"crew_hours\"\ndoes = \"pause\"\n[[tool]]\nname = \"wages\"\ndoes = \"refuse\"\n"
	atCall := make(chan struct{}, 1)
	stopped := make(chan struct{}, 1)
	for i, address := range f.Servers {
		c.StartEngine(fmt.Sprintf("box-%d", i+1), address, func(s *kit.Stream, prompt kit.Prompt) {
			tool, _, _ := strings.Cut(prompt.Messages[0].Content, " ")
			s.Text("I look up the days ", 100*time.Millisecond)
			atCall <- struct{}{}
			<-stopped
			s.Text("of the week. ", 20*time.Millisecond)
			s.Call("call-1", tool, `{"crew":7}`)
			s.Wait(20 * time.Millisecond)
			s.End("tool_calls", 20, 12)
		})
	}
	f.Start()
	time.Sleep(3 * time.Second)
	for _, tool := range []string{"crew_hours", "wages"} {
		go func() {
			<-atCall
			if !c.Trouble {
				stopped <- struct{}{}
				return
			}
			f.Nodes[0].Signal(syscall.SIGSTOP)
			stopped <- struct{}{}
			time.Sleep(hold)
			f.Nodes[0].Signal(syscall.SIGCONT)
		}()
		answer := kit.Send(kit.Request{
			Node: f.Nodes[0].Address, Class: "foreman-chat", Tenant: "nur-kurylys", Expiry: "5000m",
			Header: map[string]string{"X-Props": "prompt_len=12,max_out=200"},
			Body: `{"model":"m","stream":true,"max_tokens":200,"tools":[{"type":"function","function":{"name":"crew_hours"}}],` +
				`"messages":[{"role":"user","content":"` + tool + ` of crew 7 this week?"}]}`,
		}, 20*time.Second)
		c.Note("client: %v", answer)
		all := strings.Join(answer.Events, "")
		done := slices.Index(answer.Events, "[DONE]")
		if done >= 0 && done < len(answer.Events)-1 {
			c.Breach("%s: %d events came behind [DONE]: %s", tool, len(answer.Events)-1-done, strings.Join(answer.Events[done+1:], " | "))
		}
		if !strings.Contains(all, "week.") {
			c.Breach("%s: the text before the call is missing: %s", tool, all)
		}
	}
}
