// Command lostanswer plays the case in which the answer to the creation of a batch at a server gets lost.
package main

import (
	"bytes"
	"fmt"
	"maps"
	"os"
	"slices"
	"sync/atomic"
	"time"

	"standpoint-review/kit"
)

const lines = 16

func main() { kit.Play(os.Args[1], play) }

func play(c *kit.Case) {
	free := c.Addresses(3)
	ledger := &kit.BatchLedger{}
	var creations atomic.Int32
	for i := range 2 {
		c.StartBatchServer(&kit.BatchServer{
			Name:       fmt.Sprintf("files-%d", i+1),
			Address:    free[1+i],
			LineTime:   4 * time.Second,
			Slots:      8,
			Ledger:     ledger,
			LoseAnswer: func() bool { return creations.Add(1) == 1 && c.Trouble },
		})
	}
	file := c.Write("node.toml", fmt.Sprintf(`name = "payroll-1"
listen = %q
[limits]
cores = 1.0
memory_mb = 192
sockets = 1024
[module]
nodes = 1
zones = ["hall-a", "hall-b"]
zone = "hall-a"
kinds = ["fast", "standard", "slow"]
max_attempts = 3
[[class]]
name = "sheet-import"
first_token = "2.5s"
per_1000_prompt_tokens = "60ms"
token_gap = "50ms"
give_up = "10s"
worth = 2.0
[[tenant]]
name = "payroll-office"
share = 1.0
[[real_server]]
name = "files-1"
address = %q
zone = "hall-a"
mode = "batch"
kind = "slow"
[[real_server]]
name = "files-2"
address = %q
zone = "hall-b"
mode = "batch"
kind = "slow"
[batch]
enabled = true
[batch.defaults]
class = "sheet-import"
tenant = "payroll-office"
max_tokens = 120
`, free[0], free[1], free[2]), 0o600)
	c.StartNode("payroll-1", file)
	c.WaitFor("the node takes clients", 20*time.Second, func() bool { return kit.Ready(free[0]) })

	var input bytes.Buffer
	for i := range lines {
		fmt.Fprintf(&input, `{"custom_id":"line-%d","method":"POST","url":"/v1/chat/completions","body":{"model":"m",`+
			`"messages":[{"role":"user","content":"sheet-%02d"}]}}`+"\n", i, i)
	}
	client := c.BatchClient(free[0])
	state := client.Await(client.Submit(input.Bytes()).ID, 80*time.Second)
	results := client.Results(state)
	time.Sleep(6 * time.Second) // what still runs at the servers is recorded to its end

	runs := ledger.Runs()
	for _, line := range slices.Sorted(maps.Keys(runs)) {
		for i, run := range runs[line] {
			c.Note("%s: run %d at %s for %v", line, i+1, run.Server, run.Ended.Sub(run.Begun).Round(time.Millisecond))
			if i == 0 {
				continue
			}
			if before := runs[line][i-1]; run.Begun.Before(before.Ended) {
				c.Breach("%s ran at %s and at %s at the same time, for %v", line, before.Server, run.Server,
					before.Ended.Sub(run.Begun).Round(time.Millisecond))
			}
		}
	}
	for i := range lines {
		if n := results[fmt.Sprintf("line-%d", i)]; n != 1 {
			c.Breach("line-%d has %d results", i, n)
		}
	}
}
