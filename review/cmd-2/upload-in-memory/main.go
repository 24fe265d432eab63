// Command upload-in-memory runs three nodes whose store is replicated in memory. The link between the leader and one
// other node is cut, a client uploads a file, and the leader is killed and started again as the link heals. The third
// node has been up all the time and has the file: it must not be lost.
package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"mime/multipart"
	"net/http"
	"syscall"
	"time"

	"standpoint-review/rig2"
)

const config = `name = "%[1]s"
listen = "%[2]s"
[limits]
cores = 1.0
memory_mb = 192
sockets = 1024
[module]
nodes = 3
zones = ["hall-a"]
zone = "hall-a"
kinds = ["fast"]
[[class]]
name = "sheet-import"
first_token = "2.5s"
give_up = "10s"
worth = 2.0
[[tenant]]
name = "payroll-office"
share = 1.0
[entries]
source = "list"
[[real_server]]
name = "box-1"
address = "%[3]s"
zone = "hall-a"
kind = "fast"
[batch]
enabled = true
[batch.defaults]
class = "sheet-import"
tenant = "payroll-office"
max_tokens = 120
[store]
kind = "raft"
id = "%[1]s"
`

const (
	nodes = 3
	// In each round one node is killed: two of three at the most, 15 s apart.
	mostRounds = 2
	pause      = 15 * time.Second
	// cutFor is for how long the link is cut before the upload; the pages' longest cut is 6 s.
	cutFor = 3 * time.Second
)

type node struct {
	name, front, raft, file string
	process                 *rig2.Process
}

type fleet struct {
	c      *rig2.Case
	nodes  [nodes]node
	relays [nodes][nodes]*rig2.Relay // from, to
}

func main() {
	c := rig2.Open()
	engine := c.StartEngine("box-1", func(_ rig2.EngineRequest, s *rig2.Stream) { s.Finish(1, 1) })
	f := &fleet{c: c}
	for i := range f.nodes {
		f.nodes[i] = node{name: fmt.Sprintf("payroll-%d", i+1), front: c.FreeAddress(), raft: c.FreeAddress()}
	}
	for i := range f.nodes {
		text := fmt.Sprintf(config, f.nodes[i].name, f.nodes[i].front, engine.Address)
		for j := range f.nodes {
			text += fmt.Sprintf("[[store.member]]\nid = %q\naddress = %q\nfront = %q\n",
				f.nodes[j].name, f.nodes[j].raft, f.nodes[j].front)
			if i != j {
				f.relays[i][j] = c.StartRelay(f.nodes[j].raft)
				text += fmt.Sprintf("reach = %q\n", f.relays[i][j].Address)
			}
		}
		f.nodes[i].file = c.Write(f.nodes[i].name+".toml", text)
		f.start(i)
	}
	c.Await("all nodes are ready", 20*time.Second, f.healthy)
	rounds := 0
	for rounds < mostRounds && c.Elapsed() < 80*time.Second {
		rounds++
		began := c.Elapsed()
		leader := f.leader(15 * time.Second)
		if leader < 0 {
			c.Fatal("no leader")
		}
		apart := (leader + 1) % nodes
		if c.Trouble {
			f.cut(leader, apart, true)
			time.Sleep(cutFor)
		}
		id := f.upload(leader)
		if id == "" {
			c.Log("the upload was not taken; the round does not count")
			f.cut(leader, apart, false)
			rounds--
			time.Sleep(time.Second)
			continue
		}
		third := (leader + 2) % nodes
		if !c.Wait(2*time.Second, func() bool { return f.has(third, id) }) {
			c.Log("round %d: the third node does not have the file yet", rounds)
		}
		if c.Trouble {
			f.nodes[leader].process.Signal(syscall.SIGKILL)
			<-f.nodes[leader].process.Ended()
			f.cut(leader, apart, false)
			f.start(leader)
		}
		time.Sleep(2 * time.Second)
		next := f.leader(15 * time.Second)
		if next < 0 {
			c.Fatal("no leader")
		}
		if !c.Wait(5*time.Second, func() bool { return f.has(f.leader(5*time.Second), id) }) {
			time.Sleep(5 * time.Second) // it does not come back
			next = f.leader(5 * time.Second)
			if next >= 0 && !f.has(next, id) {
				c.End(rig2.Broken, "broken: in round %d %s leads and lacks %s, whose upload to %s was answered 200; "+
					"%s, which was up throughout, has it: %v", rounds, f.nodes[next].name, id, f.nodes[leader].name,
					f.nodes[third].name, f.has(third, id))
			}
		}
		c.Wait(5*time.Second, func() bool { return f.healthy() })
		time.Sleep(pause - (c.Elapsed() - began))
	}
	if rounds < mostRounds {
		c.Fatal("%d of %d rounds were played", rounds, mostRounds)
	}
	c.End(rig2.Held, "held: no file was lost in %d rounds", rounds)
}

func (f *fleet) start(i int) {
	f.nodes[i].process = f.c.Start(f.nodes[i].name, "serve --config "+f.nodes[i].file)
}

func (f *fleet) cut(i, j int, cut bool) {
	f.c.Log("link of %s and %s: cut %v", f.nodes[i].name, f.nodes[j].name, cut)
	f.relays[i][j].SetCut(cut)
	f.relays[j][i].SetCut(cut)
}

func (f *fleet) healthy() bool {
	for i := range f.nodes {
		if !rig2.Healthy(f.nodes[i].front) {
			return false
		}
	}
	return true
}

// leader returns the node that takes writes; -1 if there is none in time.
func (f *fleet) leader(most time.Duration) int {
	found := -1
	f.c.Wait(most, func() bool {
		for i := range f.nodes {
			answer := rig2.Call(http.MethodDelete, "http://"+f.nodes[i].front+"/v1/files/none", nil, nil, time.Second)
			if answer.Status == http.StatusNotFound { // the others redirect, or say that nobody leads
				found = i
				return true
			}
		}
		time.Sleep(50 * time.Millisecond)
		return false
	})
	return found
}

func (f *fleet) has(i int, id string) bool {
	return i >= 0 && rig2.Call(http.MethodGet, "http://"+f.nodes[i].front+"/v1/files/"+id, nil, nil, time.Second).Status == http.StatusOK
}

func (f *fleet) upload(i int) string {
	var form bytes.Buffer
	w := multipart.NewWriter(&form)
	_ = w.WriteField("purpose", "batch")
	part, _ := w.CreateFormFile("file", "sheets.jsonl")
	fmt.Fprintln(part, `{"custom_id":"a","method":"POST","url":"/v1/chat/completions","body":{"messages":[{"role":"user","content":"a"}]}}`)
	_ = w.Close()
	answer := rig2.Call(http.MethodPost, "http://"+f.nodes[i].front+"/v1/files",
		map[string]string{"Content-Type": w.FormDataContentType()}, form.Bytes(), 5*time.Second)
	f.c.Log("client: upload to %s answered %d %s %v", f.nodes[i].name, answer.Status, answer.Body, answer.Err)
	var uploaded struct {
		ID string `json:"id"`
	}
	if answer.Status != http.StatusOK || json.Unmarshal(answer.Body, &uploaded) != nil {
		return ""
	}
	return uploaded.ID
}
