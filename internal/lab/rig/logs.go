package rig

import (
	"bufio"
	"bytes"
	"encoding/json"
	"os"
)

// logLine is a line of a node's log, as far as it is read here.
type logLine struct {
	Msg    string `json:"msg"`
	Budget string `json:"budget"`
	Window int64  `json:"window"`
	Amount int64  `json:"amount"`
}

// Spent adds up, from the logs of all lives of all nodes, what was spent of each budget in each window. A node writes
// what it admits before anything is sent on.
func (r *Rig) Spent() (map[string]map[int64]int64, error) {
	all := map[string]map[int64]int64{}
	for _, n := range r.Nodes {
		raw, err := os.ReadFile(n.log)
		if err != nil {
			return nil, err
		}
		lines := bufio.NewScanner(bytes.NewReader(raw))
		lines.Buffer(nil, 1<<20)
		for lines.Scan() {
			var l logLine
			if json.Unmarshal(lines.Bytes(), &l) != nil || l.Msg != "spent" && l.Msg != "given back" {
				continue
			}
			if all[l.Budget] == nil {
				all[l.Budget] = map[int64]int64{}
			}
			if l.Msg == "given back" {
				l.Amount = -l.Amount
			}
			all[l.Budget][l.Window] += l.Amount
		}
		if err := lines.Err(); err != nil {
			return nil, err
		}
	}
	return all, nil
}
