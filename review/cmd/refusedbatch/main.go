// Command refusedbatch plays the case in which a batch is refused by a leader that is cut off for a moment.
package main

import (
	"bytes"
	"fmt"
	"maps"
	"net/http"
	"os"
	"slices"
	"strconv"
	"sync"
	"time"

	"standpoint-review/kit"
)

const (
	lines  = 12
	cutFor = 800 * time.Millisecond
)

func main() { kit.Play(os.Args[1], play) }

func play(c *kit.Case) {
	f := c.NewFleet(3, 2)
	f.Tenants = []string{"payroll-office"}
	f.Extra = "[batch]\nenabled = true\nline_time = \"20s\"\n[batch.defaults]\nclass = \"sheet-import\"\n" +
		"tenant = \"payroll-office\"\nmax_tokens = 120\n"
	var mu sync.Mutex
	runs := map[string]int{}
	for i, address := range f.Servers {
		c.StartEngine(fmt.Sprintf("box-%d", i+1), address, func(s *kit.Stream, prompt kit.Prompt) {
			line := prompt.Messages[0].Content
			if s.Text("eight hours were worked", 50*time.Millisecond) && s.End("stop", 20, 4) {
				mu.Lock()
				runs[line]++
				c.Note("server: %s has run (%s), time %d", line, prompt.ID, runs[line])
				mu.Unlock()
			}
		})
	}
	f.Start()
	leader := -1
	c.WaitFor("a node leads the store", 20*time.Second, func() bool {
		for i, node := range f.Nodes {
			if node.LogLine("running batches as leader") != "" {
				leader = i
			}
		}
		return leader >= 0
	})
	time.Sleep(2 * time.Second)
	c.Note("%s leads", f.Name(leader))
	var input bytes.Buffer
	for i := range lines {
		fmt.Fprintf(&input, `{"custom_id":"line-%d","method":"POST","url":"/v1/chat/completions","body":{"model":"m",`+
			`"messages":[{"role":"user","content":"sheet-%02d"}]}}`+"\n", i, i)
	}
	client := c.BatchClient(f.Nodes[leader].Address)
	file := client.Upload(input.Bytes())
	healed := make(chan struct{})
	if c.Trouble {
		f.Cut(leader, true)
		go func() {
			defer close(healed)
			time.Sleep(cutFor)
			f.Cut(leader, false)
		}()
	} else {
		close(healed)
	}
	var accepted []string
	for end := time.Now().Add(40 * time.Second); time.Now().Before(end) && len(accepted) == 0; {
		state, status, retryAfter, err := client.TryCreate(file)
		switch {
		case err != nil:
			c.Stop("the client does not know what became of its call: %v", err)
		case status == http.StatusOK:
			accepted = append(accepted, state.ID)
		case status == http.StatusServiceUnavailable:
			seconds, err := strconv.ParseFloat(retryAfter, 64)
			c.Must(err)
			time.Sleep(time.Duration(seconds * float64(time.Second)))
		default:
			c.Stop("status %d", status)
		}
	}
	<-healed
	state := client.Await(accepted[0], 60*time.Second)
	client.Results(state)
	time.Sleep(8 * time.Second) // what else runs is recorded to its end
	client.List()
	mu.Lock()
	defer mu.Unlock()
	for _, line := range slices.Sorted(maps.Keys(runs)) {
		if runs[line] > 1 {
			c.Breach("%s has run %d times", line, runs[line])
		}
	}
}
