package backend

import (
	"bytes"
	"encoding/json"
	"errors"
	"slices"

	"standpoint"
)

// maxTokenCount is the limit that reported token counts are clamped to; it is above any actual count.
const maxTokenCount = 1e9

// responseSummary is what the events of a stream have reported so far.
type responseSummary struct {
	cachedTokens float64            // tokens of the prompt that the backend had cached
	outputTokens float64            // tokens that the backend generated
	report       *standpoint.Report // the latest load report; nil if there was none
	done         bool               // the last event was received
	// events is the number of events with data. Comments are not counted, since a backend may send them without end.
	events int
}

var (
	usageKey      = []byte(`"usage"`)
	dataField     = []byte("data:")
	doneData      = []byte("[DONE]")
	reportComment = []byte(": " + LoadHeader + ":")
	otherFields   = [][]byte{[]byte(":"), []byte("event:"), []byte("id:"), []byte("retry:")}
)

// completeEvents returns how many of the received bytes are complete events: those up to the last empty line. Lines end
// with LF or CR LF.
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

// scan updates the summary with complete events. It returns an error if a line cannot be part of an event of a chat
// stream. Only the event with the usage is decoded.
func (s *responseSummary) scan(events []byte) error {
	for line := range bytes.Lines(events) {
		line = bytes.TrimRight(line, "\r\n")
		if report, ok := bytes.CutPrefix(line, reportComment); ok {
			if parsed := parseReport(string(report)); parsed != nil {
				s.report = parsed
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
			return errors.New("invalid event stream: data is not valid JSON, or follows the last event")
		case ok && bytes.Contains(data, usageKey):
			s.readUsage(data)
		case !ok && len(line) > 0 &&
			!slices.ContainsFunc(otherFields, func(field []byte) bool { return bytes.HasPrefix(line, field) }):
			return errors.New("invalid event stream: line has no known field")
		}
	}
	return nil
}

// readUsage reads the token counts from the data of an event with a usage object.
func (s *responseSummary) readUsage(data []byte) {
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
