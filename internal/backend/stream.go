package backend

import (
	"bytes"
	"encoding/json"
	"errors"
	"slices"
	"strconv"
	"strings"

	"standpoint"
)

// LoadHeader is the name of the load report, as a header and in the comment line at a stream's end.
const LoadHeader = "Endpoint-Load-Metrics"

// parseReport reads a load report in its text form: TEXT x0=0.4, x1=1.2, util=0.61. Nil: there is none, or
// one that cannot be read; half of one would pass for a load that nobody reported.
func parseReport(s string) *standpoint.Report {
	s, ok := strings.CutPrefix(strings.TrimSpace(s), "TEXT ")
	if !ok {
		return nil
	}
	var r standpoint.Report
	found := false
	for _, pair := range strings.Split(s, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(pair), "=")
		to := map[string]*float64{"x0": &r.Memory, "x1": &r.Unread, "util": &r.Slots, "load_share": &r.Slots}[name]
		if to == nil {
			continue
		}
		v, err := strconv.ParseFloat(value, 64)
		if err != nil || !(v >= 0 && v <= reportMost) {
			return nil
		}
		*to, found = v, true
	}
	if !found {
		return nil
	}
	return &r
}

// reportMost is above any load: the largest is that of thousands of tokens unread.
const reportMost = 1e6

// countMost is above any number of tokens that an answer may tell.
const countMost = 1e9

// tail is what the last events of a stream tell: tokens found kept and made, a load report, and that there is no more.
type tail struct {
	kept   float64
	tokens float64
	report *standpoint.Report
	done   bool
	events int // that carry data: comments are none, and may go on without an end
}

var (
	usageKey   = []byte(`"usage"`)
	dataMark   = []byte("data:")
	doneMark   = []byte("[DONE]")
	loadMark   = []byte(": " + LoadHeader + ":")
	otherMarks = [][]byte{[]byte(":"), []byte("event:"), []byte("id:"), []byte("retry:")}
)

// wholeEvents is how many of the bytes are whole events: up to the last empty line. Lines end in LF or in CR LF.
func wholeEvents(b []byte) int {
	plain, long := bytes.LastIndex(b, []byte("\n\n")), bytes.LastIndex(b, []byte("\n\r\n"))
	switch {
	case plain < 0 && long < 0:
		return 0
	case long > plain:
		return long + len("\n\r\n")
	}
	return plain + len("\n\n")
}

// note looks through whole events: each line must be one that an event of a chat stream can have. Only the event
// that carries the usage is decoded.
func (t *tail) note(events []byte) error {
	for line := range bytes.Lines(events) {
		line = bytes.TrimRight(line, "\r\n")
		if report, ok := bytes.CutPrefix(line, loadMark); ok {
			if r := parseReport(string(report)); r != nil {
				t.report = r
			}
			continue
		}
		data, ok := bytes.CutPrefix(line, dataMark)
		data = bytes.TrimSpace(data)
		if ok {
			t.events++
		}
		switch {
		case ok && bytes.Equal(data, doneMark):
			t.done = true
		case ok && (t.done || !json.Valid(data)):
			return errors.New("an event that cannot be read, or one behind the last")
		case ok && bytes.Contains(data, usageKey):
			t.usage(data)
		case !ok && len(line) > 0 && !slices.ContainsFunc(otherMarks, func(m []byte) bool { return bytes.HasPrefix(line, m) }):
			return errors.New("a line that is no part of an event")
		}
	}
	return nil
}

func (t *tail) usage(data []byte) {
	var u struct {
		Usage *struct {
			Tokens  float64 `json:"completion_tokens"`
			Details struct {
				Cached float64 `json:"cached_tokens"`
			} `json:"prompt_tokens_details"`
		} `json:"usage"`
	}
	if json.Unmarshal(data, &u) == nil && u.Usage != nil {
		t.kept, t.tokens = max(0, min(countMost, u.Usage.Details.Cached)), max(0, min(countMost, u.Usage.Tokens))
	}
}
