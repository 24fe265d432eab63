// Command tenantlist plays the case in which a new configuration lists a further tenant.
package main

import (
	"encoding/json"
	"fmt"
	"maps"
	"os"
	"syscall"
	"time"

	"standpoint-review/kit"
)

const (
	promptTokens = 20
	outputTokens = 4
)

func main() { kit.Play(os.Args[1], play) }

func play(c *kit.Case) {
	f := c.NewFleet(3, 2)
	f.Tenants = []string{"nur-kurylys", "stroy-zhol"}
	f.Extra = "[ledger]\ndir = \"ledger-NODE\"\n"
	for i, address := range f.Servers {
		c.StartEngine(fmt.Sprintf("box-%d", i+1), address, func(s *kit.Stream, _ kit.Prompt) {
			if s.Text("eight hours were worked", 20*time.Millisecond) {
				s.End("stop", promptTokens, outputTokens)
			}
		})
	}
	f.Start()
	served := map[string]int{}
	send := func(tenant string, count int) {
		for range count {
			answer := kit.Send(kit.Request{
				Node: f.Nodes[0].Address, Class: "sheet-import", Tenant: tenant, Expiry: "10000m",
				Header: map[string]string{"X-Props": fmt.Sprintf("prompt_len=%d,max_out=50", promptTokens)},
				Body: `{"model":"m","stream":true,"max_tokens":50,"messages":[{"role":"user","content":` +
					`"Shift notes of Friday: crew of nine, from eight to five, concrete at block C."}]}`,
			}, 15*time.Second)
			c.Note("client of %s: %v", tenant, answer)
			if answer.Status == 200 && answer.Whole {
				served[tenant]++
			}
		}
	}
	send("nur-kurylys", 4)
	send("stroy-zhol", 6)
	if c.Trouble {
		f.Tenants = []string{"ak-beton", "nur-kurylys", "stroy-zhol"}
		f.WriteFiles()
		for i, node := range f.Nodes {
			node.Signal(syscall.SIGHUP)
			c.WaitFor(f.Name(i)+" has its new configuration", 10*time.Second, func() bool {
				if refused := node.LogLine("configuration reload failed"); refused != "" {
					c.Stop("the new configuration was refused: %s", refused)
				}
				return node.LogLine("configuration reloaded") != ""
			})
		}
		send("ak-beton", 3)
	}
	send("nur-kurylys", 5)
	send("stroy-zhol", 7)
	sums := map[string]int{}
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end) && !maps.Equal(sums, served); {
		time.Sleep(500 * time.Millisecond) // an entry is written some milliseconds after its answer
		text, err := f.Command(0, "ledger", "-o", "json")
		c.Must(err)
		var ledger struct {
			Sums map[string]struct {
				Entries int `json:"entries"`
			} `json:"sums"`
		}
		c.Must(json.Unmarshal([]byte(text), &ledger))
		clear(sums)
		for tenant, sum := range ledger.Sums {
			sums[tenant] = sum.Entries
		}
	}
	c.Note("served whole, by the clients' count: %v; entries in the ledger: %v", served, sums)
	for _, tenant := range []string{"ak-beton", "nur-kurylys", "stroy-zhol"} {
		if sums[tenant] != served[tenant] {
			c.Breach("tenant %s got %d answers and is charged for %d", tenant, served[tenant], sums[tenant])
		}
	}
	for tenant := range sums {
		if served[tenant] == 0 {
			c.Breach("%d answers are charged to %q, who got none", sums[tenant], tenant)
		}
	}
}
