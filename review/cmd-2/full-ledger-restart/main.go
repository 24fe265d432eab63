// Command full-ledger-restart fills a node's ledger with answers, and then does what the page says: it raises max_mb and
// restarts the node. Each answer that came whole has to be in the ledger.
package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
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
[[tenant]]
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
max_mb = %[5]d
`

const (
	small  = 1   // MB; some 11,000 entries
	large  = 256 // MB, the default
	enough = 14000
	atOnce = 16
)

func main() {
	c := rig2.Open()
	engine := c.StartQuietEngine(func(s *rig2.Stream) {
		s.Text("Done.")
		s.Finish(200, 2)
	})
	listen, raft, fleet := c.FreeAddress(), c.FreeAddress(), c.FreeAddress()
	file := ""
	write := func(megabytes int) {
		file = c.Write("node/operator.toml", fmt.Sprintf(config, listen, engine, raft, fleet, megabytes))
	}
	write(large)
	if c.Trouble {
		write(small)
	}
	node := c.Start("node", "serve --config "+file)
	c.Await("the node is ready", 20*time.Second, func() bool { return rig2.Healthy(listen) })
	time.Sleep(2 * time.Second)

	var whole, refused, last atomic.Int64 // last: when the last whole answer came
	last.Store(int64(c.Elapsed()))
	var clients sync.WaitGroup
	transport := &http.Transport{MaxIdleConnsPerHost: atOnce}
	for range atOnce {
		clients.Go(func() {
			for c.Elapsed() < 60*time.Second && whole.Load() < enough && c.Elapsed()-time.Duration(last.Load()) < 3*time.Second {
				switch ask(transport, listen) {
				case http.StatusOK:
					whole.Add(1)
					last.Store(int64(c.Elapsed()))
				case http.StatusServiceUnavailable:
					refused.Add(1)
					time.Sleep(20 * time.Millisecond)
				}
			}
		})
	}
	clients.Wait()
	c.Log("client: %d whole answers, %d refused", whole.Load(), refused.Load())
	c.Log("before the restart the ledger has %d entries", entries(c, file))
	write(large)
	node.Signal(syscall.SIGTERM)
	<-node.Ended()
	c.Start("node again", "serve --config "+file)
	c.Await("the node is ready again", 20*time.Second, func() bool { return rig2.Healthy(listen) })
	had := 0
	c.Wait(5*time.Second, func() bool { had = entries(c, file); return had == int(whole.Load()) })
	if had < 0 {
		c.Fatal("the ledger cannot be read")
	}
	if had < int(whole.Load()) {
		c.End(rig2.Broken, "broken: %d answers came whole, %d are in the ledger: %d are lost", whole.Load(), had, int(whole.Load())-had)
	}
	c.End(rig2.Held, "held: %d answers came whole, %d are in the ledger", whole.Load(), had)
}

// ask sends one request and returns the status of its whole answer; 0 if it was not whole.
func ask(transport *http.Transport, listen string) int {
	request, err := http.NewRequest(http.MethodPost, "http://"+listen+"/v1/chat/completions", strings.NewReader(
		`{"model":"m","stream":true,"max_tokens":100,"messages":[{"role":"user","content":"Hours?"}]}`))
	if err != nil {
		return 0
	}
	for name, value := range rig2.ChatHeader("foreman-chat", "stroy-zhol", 5*time.Second) {
		request.Header.Set(name, value)
	}
	response, err := transport.RoundTrip(request)
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return 0
	}
	return response.StatusCode
}

// entries returns how many entries the ledger has; -1 if it cannot be read.
func entries(c *rig2.Case, file string) int {
	out, err := exec.Command(filepath.Join(c.Root, "bin", "standpoint"), "ledger", "--config", file, "-o", "json").Output()
	var status struct {
		Entries int `json:"entries"`
		Waiting int `json:"waiting"`
	}
	if err != nil || json.Unmarshal(out, &status) != nil {
		return -1
	}
	c.Log("standpoint ledger: %d entries, %d wait to be written", status.Entries, status.Waiting)
	return status.Entries
}
