package backend

import (
	"bytes"
	"encoding/json"
	"errors"
	"slices"

	"standpoint"
)

// maxTokenCount is above any number of tokens that an answer may tell.
const maxTokenCount = 1e9

// answerSummary is what the last events of a stream tell: tokens found kept and made, a load report, and that there is no more.
type answerSummary struct {
	cachedTokens float64
	outputTokens float64
	report       *standpoint.Report
	done         bool
	events       int // that carry data: comments are none, and may go on without an end
}

var (
	usageKey      = []byte(`"usage"`)
	dataField     = []byte("data:")
	doneData      = []byte("[DONE]")
	reportComment = []byte(": " + LoadHeader + ":")
	otherFields   = [][]byte{[]byte(":"), []byte("event:"), []byte("id:"), []byte("retry:")}
)

// completeEvents is how many of the bytes are whole events: up to the last empty line. Lines end in LF or in CR LF.
func completeEvents(b []byte) int {
	plain, long := bytes.LastIndex(b, []byte("\n\n")), bytes.LastIndex(b, []byte("\n\r\n"))
	switch {
	case plain < 0 && long < 0:
		return 0
	case long > plain:
		return long + len("\n\r\n")
	}
	return plain + len("\n\n")
}

// scan looks through whole events: each line must be one that an event of a chat stream can have. Only the event
// that carries the usage is decoded.
func (t *answerSummary) scan(events []byte) error {
	for line := range bytes.Lines(events) {
		line = bytes.TrimRight(line, "\r\n")
		if report, ok := bytes.CutPrefix(line, reportComment); ok {
			if r := parseReport(string(report)); r != nil {
				t.report = r
			}
			continue
		}
		data, ok := bytes.CutPrefix(line, dataField)
		data = bytes.TrimSpace(data)
		if ok {
			t.events++
		}
		switch {
		case ok && bytes.Equal(data, doneData):
			t.done = true
		case ok && (t.done || !json.Valid(data)):
			return errors.New("an event that cannot be read, or one behind the last")
		case ok && bytes.Contains(data, usageKey):
			t.readUsage(data)
		case !ok && len(line) > 0 && !slices.ContainsFunc(otherFields, func(m []byte) bool { return bytes.HasPrefix(line, m) }):
			return errors.New("a line that is no part of an event")
		}
	}
	return nil
}

func (t *answerSummary) readUsage(data []byte) {
	var u struct {
		Usage *struct {
			Tokens  float64 `json:"completion_tokens"`
			Details struct {
				Cached float64 `json:"cached_tokens"`
			} `json:"prompt_tokens_details"`
		} `json:"usage"`
	}
	if json.Unmarshal(data, &u) == nil && u.Usage != nil {
		t.cachedTokens = max(0, min(maxTokenCount, u.Usage.Details.Cached))
		t.outputTokens = max(0, min(maxTokenCount, u.Usage.Tokens))
	}
}
