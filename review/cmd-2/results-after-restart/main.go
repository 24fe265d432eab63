// Command results-after-restart restarts a node, with a file that lacks one tenant, while a batch is half done. Each line
// of the batch must get one result in the end, those above all that were served before.
package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"mime/multipart"
	"net/http"
	"strings"
	"syscall"
	"time"

	"standpoint-review/rig2"
)

const (
	lines = 8
	// leaving is from which line on the lines are of the tenant that the changed file lacks.
	leaving = 6
	most    = 100 * time.Second
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
name = "sheet-import"
first_token = "2.5s"
per_1000_prompt_tokens = "60ms"
token_gap = "50ms"
give_up = "10s"
worth = 2.0
[[tenant]]
name = "stroy-zhol"
share = 0.5
%[4]s[entries]
source = "list"
[[real_server]]
name = "box-1"
address = "%[2]s"
zone = "hall-a"
kind = "fast"
[batch]
enabled = true
lines_at_once = 2
line_time = "20s"
tries = 5
file_mb = 16
[batch.fields]
tenant = "tenant"
[batch.defaults]
class = "sheet-import"
tenant = "stroy-zhol"
max_tokens = 120
[store]
kind = "raft"
id = "payroll-1"
dir = "state"
[[store.member]]
id = "payroll-1"
address = "%[3]s"
front = "%[1]s"
`

// gone is the tenant that the changed file lacks.
const gone = `[[tenant]]
name = "ertis-build"
share = 0.1
`

func main() {
	c := rig2.Open()
	engine := c.StartEngine("box-1", func(r rig2.EngineRequest, s *rig2.Stream) {
		time.Sleep(1500 * time.Millisecond)
		s.Text("done: " + string(bytes.Trim(r.Messages[0].Content, `"`)))
		s.Finish(20, 3)
	})
	listen, raft := c.FreeAddress(), c.FreeAddress()
	write := func(tenants string) string {
		return c.Write("node/operator.toml", fmt.Sprintf(config, listen, engine.Address, raft, tenants))
	}
	file := write(gone)
	node := c.Start("node", "serve --config "+file)
	c.Await("the node is ready", 20*time.Second, func() bool { return rig2.Healthy(listen) })
	base := "http://" + listen
	id := submit(c, base)
	c.Await("four lines are served", 30*time.Second, func() bool { return get(c, base, id).Counts.Completed >= 4 })
	before := get(c, base, id)
	c.Log("client: %s with %d of %d lines completed", before.Status, before.Counts.Completed, before.Counts.Total)
	if c.Trouble {
		node.Signal(syscall.SIGTERM)
		<-node.Ended()
		write("")
		c.Start("node again", "serve --config "+file)
	}
	var b batch
	over := c.Wait(most-c.Elapsed(), func() bool {
		time.Sleep(200 * time.Millisecond)
		b = get(c, base, id)
		return b.Status == "completed" || b.Status == "failed" || b.Status == "expired" || b.Status == "cancelled"
	})
	if !over {
		c.Fatal("the batch is %q after %v", b.Status, c.Elapsed())
	}
	raw, _ := json.Marshal(b)
	c.Log("client: the batch is over: %s", raw)
	results := map[string]int{}
	for _, file := range []string{b.Output, b.Errors} {
		if file == "" {
			continue
		}
		content := rig2.Call(http.MethodGet, base+"/v1/files/"+file+"/content", nil, nil, 5*time.Second)
		c.Log("client: %s: %d %s", file, content.Status, content.Body)
		for line := range bytes.Lines(content.Body) {
			var result struct {
				ID string `json:"custom_id"`
			}
			if json.Unmarshal(line, &result) == nil {
				results[result.ID]++
			}
		}
	}
	var lacking []string
	for i := range lines {
		if name := fmt.Sprintf("sheet-%d", i); results[name] != 1 {
			lacking = append(lacking, fmt.Sprintf("%s has %d", name, results[name]))
		}
	}
	if len(lacking) > 0 {
		c.End(rig2.Broken, "broken: the batch, %d lines of which had been completed, is %q; results: %s",
			before.Counts.Completed, b.Status, strings.Join(lacking, ", "))
	}
	c.End(rig2.Held, "held: each of %d lines has one result", lines)
}

// batch is the batch object of the public API.
type batch struct {
	Status string `json:"status"`
	Output string `json:"output_file_id"`
	Errors string `json:"error_file_id"`
	Counts struct {
		Total     int `json:"total"`
		Completed int `json:"completed"`
		Failed    int `json:"failed"`
	} `json:"request_counts"`
	Faults json.RawMessage `json:"errors"`
}

func get(c *rig2.Case, base, id string) (b batch) {
	answer := rig2.Call(http.MethodGet, base+"/v1/batches/"+id, nil, nil, 2*time.Second)
	if answer.Status == http.StatusOK {
		_ = json.Unmarshal(answer.Body, &b)
	}
	return b
}

// submit uploads a file of lines and makes a batch of it.
func submit(c *rig2.Case, base string) string {
	var form bytes.Buffer
	w := multipart.NewWriter(&form)
	_ = w.WriteField("purpose", "batch")
	part, _ := w.CreateFormFile("file", "sheets.jsonl")
	for i := range lines {
		tenant := "stroy-zhol"
		if i >= leaving {
			tenant = "ertis-build"
		}
		fmt.Fprintf(part, `{"custom_id":"sheet-%[1]d","method":"POST","url":"/v1/chat/completions",`+
			`"body":{"model":"m","metadata":{"tenant":%[2]q},"messages":[{"role":"user","content":"sheet %[1]d"}]}}`+"\n", i, tenant)
	}
	_ = w.Close()
	var uploaded, created struct {
		ID string `json:"id"`
	}
	c.Await("the upload", 20*time.Second, func() bool {
		answer := rig2.Call(http.MethodPost, base+"/v1/files", map[string]string{"Content-Type": w.FormDataContentType()},
			form.Bytes(), 5*time.Second)
		c.Log("client: upload answered %d %s %v", answer.Status, answer.Body, answer.Err)
		if answer.Status == http.StatusOK && json.Unmarshal(answer.Body, &uploaded) == nil {
			return true
		}
		time.Sleep(300 * time.Millisecond)
		return false
	})
	answer := rig2.Call(http.MethodPost, base+"/v1/batches", nil, fmt.Appendf(nil,
		`{"input_file_id":%q,"endpoint":"/v1/chat/completions","completion_window":"24h"}`, uploaded.ID), 5*time.Second)
	c.Log("client: batch answered %d %s %v", answer.Status, answer.Body, answer.Err)
	if answer.Status != http.StatusOK || json.Unmarshal(answer.Body, &created) != nil {
		c.Fatal("no batch was made")
	}
	return created.ID
}
