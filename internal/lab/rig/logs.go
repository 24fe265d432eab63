package rig

import (
	"bufio"
	"bytes"
	"encoding/json"
	"os"
)

// logLine is a line of a node's log, with the fields that SpentByWindow reads.
type logLine struct {
	Msg    string `json:"msg"`
	Budget string `json:"budget"`
	Window int64  `json:"window"`
	Amount int64  `json:"amount"`
}

// SpentByWindow returns the tokens spent of each budget in each window, by budget and window. It adds up the log lines
// of all incarnations of all nodes. A node logs what it admits before it sends anything on.
func (r *Rig) SpentByWindow() (map[string]map[int64]int64, error) {
	spent := map[string]map[int64]int64{}
	for _, node := range r.Nodes {
		raw, err := os.ReadFile(node.logPath)
		if err != nil {
			return nil, err
		}
		lines := bufio.NewScanner(bytes.NewReader(raw))
		lines.Buffer(nil, 1<<20)
		for lines.Scan() {
			var line logLine
			if json.Unmarshal(lines.Bytes(), &line) != nil || line.Msg != "spent" && line.Msg != "given back" {
				continue
			}
			if spent[line.Budget] == nil {
				spent[line.Budget] = map[int64]int64{}
			}
			if line.Msg == "given back" {
				line.Amount = -line.Amount
			}
			spent[line.Budget][line.Window] += line.Amount
		}
		if err := lines.Err(); err != nil {
			return nil, err
		}
	}
	return spent, nil
}
