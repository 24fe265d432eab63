package backend

import (
	"bytes"
	"encoding/json"
	"errors"
	"slices"

	"standpoint"
)

// maxTokenCount is above any number of tokens that an answer may report.
const maxTokenCount = 1e9

// answerSummary is what the events of a stream have told so far: its usage, a load report, and whether it is done.
type answerSummary struct {
	cachedTokens float64 // of the prompt
	outputTokens float64
	report       *standpoint.Report
	done         bool // its last event has come
	events       int  // with data: comments do not count, and may go on without an end
}

var (
	usageKey      = []byte(`"usage"`)
	dataField     = []byte("data:")
	doneData      = []byte("[DONE]")
	reportComment = []byte(": " + LoadHeader + ":")
	otherFields   = [][]byte{[]byte(":"), []byte("event:"), []byte("id:"), []byte("retry:")}
)

// completeEvents is how many of the bytes are complete events: up to the last empty line. Lines end in LF or in CR LF.
func completeEvents(received []byte) int {
	lf, crlf := bytes.LastIndex(received, []byte("\n\n")), bytes.LastIndex(received, []byte("\n\r\n"))
	switch {
	case lf < 0 && crlf < 0:
		return 0
	case crlf > lf:
		return crlf + len("\n\r\n")
	}
	return lf + len("\n\n")
}

// scan takes complete events in. Each line has to be one that an event of a chat stream can have. Only the event with
// the usage is decoded.
func (s *answerSummary) scan(events []byte) error {
	for line := range bytes.Lines(events) {
		line = bytes.TrimRight(line, "\r\n")
		if report, ok := bytes.CutPrefix(line, reportComment); ok {
			if r := parseReport(string(report)); r != nil {
				s.report = r
			}
			continue
		}
		data, ok := bytes.CutPrefix(line, dataField)
		data = bytes.TrimSpace(data)
		if ok {
			s.events++
		}
		switch {
		case ok && bytes.Equal(data, doneData):
			s.done = true
		case ok && (s.done || !json.Valid(data)):
			return errors.New("an event that cannot be read, or one behind the last")
		case ok && bytes.Contains(data, usageKey):
			s.readUsage(data)
		case !ok && len(line) > 0 && !slices.ContainsFunc(otherFields, func(m []byte) bool { return bytes.HasPrefix(line, m) }):
			return errors.New("a line that is no part of an event")
		}
	}
	return nil
}

func (s *answerSummary) readUsage(data []byte) {
	var event struct {
		Usage *struct {
			Tokens  float64 `json:"completion_tokens"`
			Details struct {
				Cached float64 `json:"cached_tokens"`
			} `json:"prompt_tokens_details"`
		} `json:"usage"`
	}
	if json.Unmarshal(data, &event) == nil && event.Usage != nil {
		s.cachedTokens = max(0, min(maxTokenCount, event.Usage.Details.Cached))
		s.outputTokens = max(0, min(maxTokenCount, event.Usage.Tokens))
	}
}
