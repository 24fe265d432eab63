// Command changedfile plays the case in which nodes are restarted with a file without one tenant while a batch runs.
package main

import (
	"bytes"
	"fmt"
	"os"
	"slices"
	"syscall"
	"time"

	"standpoint-review/kit"
)

const lines = 24

func main() { kit.Play(os.Args[1], play) }

func play(c *kit.Case) {
	f := c.NewFleet(1, 2)
	f.Tenants = []string{"nur-kurylys", "stroy-zhol", "alatau-montazh"}
	f.Extra = "[batch]\nenabled = true\nlines_at_once = 2\nline_time = \"20s\"\n[batch.defaults]\nclass = \"sheet-import\"\n" +
		"tenant = \"nur-kurylys\"\nmax_tokens = 120\n"
	for i, address := range f.Servers {
		c.StartEngine(fmt.Sprintf("box-%d", i+1), address, func(s *kit.Stream, prompt kit.Prompt) {
			if s.Text("eight hours were worked", 100*time.Millisecond) && s.End("stop", 20, 4) {
				c.Note("server: %s has run (%s)", prompt.Messages[0].Content, prompt.ID)
			}
		})
	}
	f.Start()
	time.Sleep(4 * time.Second) // a node leads the store
	var input bytes.Buffer
	for i := range lines {
		tenant := f.Tenants[i%2]
		if i == lines-1 {
			tenant = "alatau-montazh"
		}
		fmt.Fprintf(&input, `{"custom_id":"line-%d","method":"POST","url":"/v1/chat/completions","body":{"model":"m",`+
			`"metadata":{"tenant":%q},"messages":[{"role":"user","content":"sheet-%02d"}]}}`+"\n", i, tenant, i)
	}
	client := c.BatchClient(f.Nodes[0].Address)
	id := client.Submit(input.Bytes()).ID
	c.WaitFor("half of the lines have a result", 30*time.Second, func() bool {
		state, err := client.State(id)
		return err == nil && state.Counts.Completed >= lines/2
	})
	state, err := client.State(id)
	c.Must(err)
	c.Note("client: %s, %+v", state.Status, state.Counts)
	if c.Trouble {
		node := f.Nodes[0]
		node.Signal(syscall.SIGTERM)
		if !node.Ended(20 * time.Second) {
			c.Stop("the node does not end")
		}
		f.Tenants = slices.Delete(f.Tenants, 2, 3)
		f.WriteFiles()
		node.Start()
		c.WaitFor("the node takes clients again", 30*time.Second, func() bool { return kit.Ready(node.Address) })
	}
	results := client.Results(client.Await(id, 60*time.Second))
	for i := range lines {
		if n := results[fmt.Sprintf("line-%d", i)]; n != 1 {
			c.Breach("line-%d has %d results", i, n)
		}
	}
}
