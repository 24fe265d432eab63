// Command file-after-kill runs four nodes whose only server takes files, kills the one that leads the store while a file of
// a batch is at that server, and starts it again. The server must never hold two attempts of a line at once.
package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"mime/multipart"
	"net/http"
	"slices"
	"strings"
	"syscall"
	"time"

	"standpoint-review/rig2"
)

const (
	lines = 8
	// nodes is the number of nodes; one of them is killed, which is a quarter.
	nodes = 4
	// busy is for how long the server works on what others have given it. It is above the node's line_time of 60 s and
	// far below the completion window of 24 h that the node asks the server for.
	busy = 75 * time.Second
	// most is the time at which the case ends in any case.
	most = 112 * time.Second
)

const config = `name = "%[3]s"
listen = "%[1]s"
[limits]
cores = 1.0
memory_mb = 192
sockets = 1024
[module]
nodes = 4
zones = ["hall-a"]
zone = "hall-a"
kinds = ["fast", "slow"]
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
[entries]
source = "list"
[[real_server]]
name = "files-1"
address = "%[2]s"
mode = "batch"
zone = "hall-a"
kind = "slow"
[batch_server]
gather = "200ms"
lines = 100
poll = "500ms"
lost = "10s"
[batch]
enabled = true
lines_at_once = 8
line_time = "60s"
tries = 5
file_mb = 16
[batch.defaults]
class = "sheet-import"
tenant = "payroll-office"
max_tokens = 120
[store]
kind = "raft"
id = "%[3]s"
dir = "state"
`

func main() {
	c := rig2.Open()
	book := rig2.NewBook()
	server := c.StartFileServer("files-1", book, time.Now().Add(busy), 200*time.Millisecond)
	var fronts, files, names []string
	members := ""
	for i := range nodes {
		names = append(names, fmt.Sprintf("payroll-%d", i+1))
		fronts = append(fronts, c.FreeAddress())
		members += fmt.Sprintf("[[store.member]]\nid = %q\naddress = %q\nfront = %q\n", names[i], c.FreeAddress(), fronts[i])
	}
	var processes []*rig2.Process
	for i := range nodes {
		text := fmt.Sprintf(config, fronts[i], server.Address, names[i]) + members
		files = append(files, c.Write(names[i]+"/operator.toml", text))
		processes = append(processes, c.Start(names[i], "serve --config "+files[i]))
	}
	for i := range nodes {
		c.Await("the nodes are ready", 20*time.Second, func() bool { return rig2.Healthy(fronts[i]) })
	}
	leader := -1
	c.Await("a node leads", 20*time.Second, func() bool {
		leader = slices.IndexFunc(fronts, leads)
		return leader >= 0
	})
	base := "http://" + fronts[leader]
	batch := submit(c, base)
	c.Await("the server has the lines", 20*time.Second, func() bool { return server.Created() >= lines })
	if c.Trouble {
		time.Sleep(time.Second)
		processes[leader].Signal(syscall.SIGKILL)
		<-processes[leader].Ended()
		time.Sleep(time.Second)
		c.Start(names[leader], "serve --config "+files[leader])
	}
	status := ""
	for status != "completed" && c.Elapsed() < most && len(book.Overlaps()) == 0 {
		time.Sleep(300 * time.Millisecond)
		status = statusOf(base, batch)
	}
	if len(book.Overlaps()) > 0 { // what comes of it
		c.Wait(most-c.Elapsed(), func() bool { status = statusOf(base, batch); return status == "completed" })
		time.Sleep(500 * time.Millisecond)
	}
	c.Log("batch is %q; runs of each line: %v", status, book.Runs())
	if overlaps := book.Overlaps(); len(overlaps) > 0 {
		twice := 0
		for _, n := range book.Runs() {
			if n > 1 {
				twice++
			}
		}
		c.End(rig2.Broken, "broken: %d lines had two attempts out at once (%s), %d of them ran twice",
			len(overlaps), strings.Join(overlaps, ", "), twice)
	}
	if status != "completed" {
		c.Fatal("the batch is %q after %v", status, c.Elapsed())
	}
	c.End(rig2.Held, "held: no line had two attempts out at once")
}

// leads reports whether the node with this address takes writes: the others redirect, or say that nobody leads.
func leads(front string) bool {
	return rig2.Call(http.MethodDelete, "http://"+front+"/v1/files/none", nil, nil, time.Second).Status == http.StatusNotFound
}

// submit uploads a file of lines and makes a batch of it.
func submit(c *rig2.Case, base string) string {
	var form bytes.Buffer
	w := multipart.NewWriter(&form)
	_ = w.WriteField("purpose", "batch")
	part, _ := w.CreateFormFile("file", "sheets.jsonl")
	for i := range lines {
		fmt.Fprintf(part, `{"custom_id":"sheet-%[1]d","method":"POST","url":"/v1/chat/completions",`+
			`"body":{"model":"m","messages":[{"role":"user","content":"sheet %[1]d"}]}}`+"\n", i)
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

// statusOf returns the status of a batch; "" if the node does not tell it.
func statusOf(base, id string) string {
	var batch struct {
		Status string `json:"status"`
	}
	answer := rig2.Call(http.MethodGet, base+"/v1/batches/"+id, nil, nil, 2*time.Second)
	if answer.Status != http.StatusOK || json.Unmarshal(answer.Body, &batch) != nil {
		return ""
	}
	return batch.Status
}
