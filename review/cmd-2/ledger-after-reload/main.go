// Command ledger-after-reload gives a node a file with one more tenant and SIGHUP, sends requests of one tenant, and reads
// the ledger. It must have the usage of that tenant, and none of the others.
package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os/exec"
	"path/filepath"
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
[control]
listen = "unix:control.sock"
[ledger]
dir = "ledger"
max_mb = 256
`

// added is the tenant that the changed file has more, before the others.
const added = `[[tenant]]
name = "ak-beton"
share = 0.2
`

const requests = 5

func main() {
	c := rig2.Open()
	engine := c.StartEngine("box-1", func(_ rig2.EngineRequest, s *rig2.Stream) {
		s.Text("Done.")
		s.Finish(200, 2)
	})
	listen, raft, fleet := c.FreeAddress(), c.FreeAddress(), c.FreeAddress()
	file := ""
	write := func(more string) {
		file = c.Write("node/operator.toml", fmt.Sprintf(config, listen, engine.Address, raft, fleet, more))
	}
	write("")
	node := c.Start("node", "serve --config "+file)
	c.Await("the node is ready", 20*time.Second, func() bool { return rig2.Healthy(listen) })
	time.Sleep(1500 * time.Millisecond)
	if c.Trouble {
		write(added)
		node.Signal(syscall.SIGHUP)
		c.Await("the new file is taken on", 10*time.Second, func() bool { return node.LogContains("configuration reloaded") })
	}
	time.Sleep(time.Second)
	served := 0
	c.Await("the requests are served", 20*time.Second, func() bool {
		answer := rig2.Call(http.MethodPost, "http://"+listen+"/v1/chat/completions",
			rig2.ChatHeader("foreman-chat", "stroy-zhol", 5*time.Second),
			[]byte(`{"model":"m","stream":true,"max_tokens":100,"messages":[{"role":"user","content":"Hours?"}]}`), 8*time.Second)
		c.Log("client: stroy-zhol answered %d whole %v", answer.Status, answer.Whole)
		if answer.Status == http.StatusOK && answer.Whole {
			served++
		}
		return served == requests
	})
	var status struct {
		Totals map[string]struct {
			Entries int `json:"entries"`
		} `json:"sums"`
	}
	var entries map[string]int
	c.Wait(5*time.Second, func() bool {
		out, err := exec.Command(filepath.Join(c.Root, "bin", "standpoint"), "ledger", "--config", file, "-o", "json").Output()
		c.Log("standpoint ledger: %s %v", out, err)
		if err != nil || json.Unmarshal(out, &status) != nil {
			return false
		}
		entries = map[string]int{}
		sum := 0
		for tenant, t := range status.Totals {
			entries[tenant] = t.Entries
			sum += t.Entries
		}
		return sum == requests
	})
	if entries == nil {
		c.Fatal("the ledger cannot be read")
	}
	if len(entries) == 1 && entries["stroy-zhol"] == requests {
		c.End(rig2.Held, "held: the ledger has %d entries of stroy-zhol, and no others", requests)
	}
	c.End(rig2.Broken, "broken: %d requests of stroy-zhol were served; the ledger's entries by tenant: %v", requests, entries)
}
