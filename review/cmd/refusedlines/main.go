// Command refusedlines plays the case in which lines of a batch are refused for want of rights after a restart.
package main

import (
	"bytes"
	"fmt"
	"os"
	"time"

	"standpoint-review/kit"
)

const (
	lines  = 24
	window = 45 * time.Second // completion window of the batch
	slack  = 20 * time.Second // time beyond it in which the batch is to be over
	tenant = "payroll-office"
)

func main() { kit.Play(os.Args[1], play) }

func play(c *kit.Case) {
	f := c.NewFleet(1, 2)
	f.Tenants = []string{tenant}
	f.Extra = "[[fleet.budget]]\nkind = \"tokens\"\ntenant = \"" + tenant + "\"\namount = 20000\nwindow = \"1s\"\nloan = 4\n" +
		"[batch]\nenabled = true\nlines_at_once = 8\nline_time = \"10s\"\n[batch.defaults]\nclass = \"sheet-import\"\n" +
		"tenant = \"" + tenant + "\"\nmax_tokens = 120\n"
	for i, address := range f.Servers {
		c.StartEngine(fmt.Sprintf("box-%d", i+1), address, func(s *kit.Stream, prompt kit.Prompt) {
			name := prompt.Messages[0].Content
			c.Note("server: %s begins (%s)", name, prompt.ID)
			if s.Text("eight hours were worked by nine people ", 150*time.Millisecond) && s.End("stop", 20, 8) {
				c.Note("server: %s has run (%s)", name, prompt.ID)
			}
		})
	}
	f.Start()
	node := f.Nodes[0]
	single := func() bool {
		answer := kit.Send(kit.Request{
			Node: node.Address, Class: "sheet-import", Tenant: tenant, Expiry: "10000m",
			Header: map[string]string{"X-Props": "prompt_len=20,max_out=120"},
			Body:   `{"model":"m","stream":true,"max_tokens":120,"messages":[{"role":"user","content":"a single request"}]}`,
		}, 15*time.Second)
		c.Note("client: a single request of %s: %d Retry-After %q, whole %v", tenant, answer.Status, answer.RetryAfter, answer.Whole)
		return answer.Status == 200 && answer.Whole
	}
	c.WaitFor("the node has rights", 30*time.Second, func() bool {
		time.Sleep(time.Second)
		return single()
	})

	var input bytes.Buffer
	for i := range lines {
		fmt.Fprintf(&input, `{"custom_id":"line-%d","method":"POST","url":"/v1/chat/completions","body":{"model":"m",`+
			`"messages":[{"role":"user","content":"sheet-%02d"}]}}`+"\n", i, i)
	}
	client := c.BatchClient(node.Address)
	accepted := time.Now()
	id := client.SubmitWithin(input.Bytes(), window.String()).ID
	if c.Trouble {
		c.WaitFor("some lines have a result", 20*time.Second, func() bool {
			state, err := client.State(id)
			return err == nil && state.Counts.Completed >= 6
		})
		node.Kill()
		node.Start()
		c.WaitFor("the node takes clients again", 30*time.Second, func() bool { return kit.Ready(node.Address) })
		c.Note("the node takes clients again")
	}
	var state kit.BatchState
	for until := accepted.Add(window + slack); time.Now().Before(until); time.Sleep(2 * time.Second) {
		next, err := client.State(id)
		if err != nil {
			c.Note("client: %v", err)
			continue
		}
		state = next
		c.Note("client: the batch is %s, %+v", state.Status, state.Counts)
		if state.Status == "completed" || state.Status == "expired" || state.Status == "failed" {
			break
		}
		if c.Trouble {
			single()
		}
	}
	results := client.Results(state)
	missing := 0
	for i := range lines {
		if n := results[fmt.Sprintf("line-%d", i)]; n != 1 {
			missing++
			c.Note("line-%d has %d results", i, n)
		}
	}
	if missing > 0 {
		c.Breach("%d of %d lines have no result %v after the batch was accepted, with a window of %v; it is %s",
			missing, lines, time.Since(accepted).Round(time.Second), window, state.Status)
	}
}
