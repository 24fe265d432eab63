// Command plannedstop plays the case in which nodes that keep a ledger are restarted as planned, one after another.
package main

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"standpoint-review/kit"
)

const (
	nodes     = 4
	restarted = 3 // of these, one at a time
	rolls     = 2 // times that they are restarted
	perNode   = 4 // requests that are under way at a node as it is told to end
	apart     = 5 * time.Second
	tenant    = "nur-kurylys"
)

func main() { kit.Play(os.Args[1], play) }

func play(c *kit.Case) {
	f := c.NewFleet(nodes, 2)
	f.Tenants = []string{tenant, "stroy-zhol"}
	f.Extra = "[ledger]\ndir = \"ledger-NODE\"\n"
	for i, address := range f.Servers {
		c.StartEngine(fmt.Sprintf("box-%d", i+1), address, func(s *kit.Stream, _ kit.Prompt) {
			if s.Text("eight hours were worked by each of nine people from eight to five ", 60*time.Millisecond) {
				s.End("stop", 20, 13)
			}
		})
	}
	f.Start()
	time.Sleep(2 * time.Second) // the nodes have their seats
	served := 0
	for turn := range rolls * nodes {
		i := turn % nodes
		node := f.Nodes[i]
		began := time.Now()
		answers := make(chan kit.Answer, perNode)
		for range perNode {
			go func() {
				answers <- kit.Send(kit.Request{
					Node: node.Address, Class: "sheet-import", Tenant: tenant, Expiry: "10000m",
					Header: map[string]string{"X-Props": "prompt_len=20,max_out=50"},
					Body: `{"model":"m","stream":true,"max_tokens":50,"messages":[{"role":"user","content":` +
						`"Shift notes of Friday: crew of nine, from eight to five, concrete at block C."}]}`,
				}, 15*time.Second)
			}()
			time.Sleep(100 * time.Millisecond)
		}
		stop := c.Trouble && i < restarted
		if stop {
			node.Signal(syscall.SIGTERM)
		}
		for range perNode {
			answer := <-answers
			c.Note("client of %s: status %d, whole %v, %d events", f.Name(i), answer.Status, answer.Whole, len(answer.Events))
			if answer.Status == 200 && answer.Whole {
				served++
			}
		}
		if stop {
			if !node.Ended(20 * time.Second) {
				c.Stop("%s does not end", f.Name(i))
			}
			node.Start()
			c.WaitFor(f.Name(i)+" takes clients again", 30*time.Second, func() bool { return kit.Ready(node.Address) })
			c.Note("%s takes clients again", f.Name(i))
		}
		time.Sleep(time.Until(began.Add(apart)))
	}
	known := 0
	for end := time.Now().Add(15 * time.Second); time.Now().Before(end) && known < served; time.Sleep(time.Second) {
		known = max(known, entries(c, f, nodes-1)) // the node that was never restarted gets the others' entries
	}
	for i := range f.Nodes {
		known = max(known, entries(c, f, i))
	}
	var ends sync.WaitGroup
	for _, node := range f.Nodes {
		ends.Go(node.Kill)
	}
	ends.Wait()
	for i := range f.Nodes {
		_, err := c.Command("ledger", "verify", filepath.Join(c.Dir, "ledger-"+f.Name(i)))
		c.Must(err)
	}
	c.Note("%d answers served whole; %d entries at the node that knows most", served, known)
	if known != served {
		c.Breach("clients got %d whole answers, and the ledgers of all nodes have entries of %d", served, known)
	}
}

// entries returns the number of the tenant's entries that a node knows.
func entries(c *kit.Case, f *kit.Fleet, node int) int {
	text, err := f.Command(node, "ledger", "-o", "json")
	c.Must(err)
	var ledger struct {
		Sums map[string]struct {
			Entries int `json:"entries"`
		} `json:"sums"`
	}
	c.Must(json.Unmarshal([]byte(text), &ledger))
	return ledger.Sums[tenant].Entries
}
