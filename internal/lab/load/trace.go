package load

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"slices"
	"sync"
)

// Call is one request of a trace: its intended time, class and sizes.
type Call struct {
	At           float64 `json:"at_s"` // seconds since the start of the trace
	Class        string  `json:"class"`
	Tenant       string  `json:"tenant,omitempty"`
	Session      uint64  `json:"session,omitempty"`       // session key; 0: none
	Prefix       uint64  `json:"prefix,omitempty"`        // key of the shared prefix; 0: none
	Prompt       float64 `json:"prompt_tokens"`           // length of the whole prompt
	PrefixTokens float64 `json:"shared_tokens,omitempty"` // length of its shared prefix
	MaxTokens    float64 `json:"max_tokens"`              // maximum length of the response
}

const (
	maxCalls     = 2_000_000
	maxLineBytes = 64 << 10
)

// TraceFaults counts the lines of a trace that could not be used as they are.
type TraceFaults struct {
	Malformed  int `json:"torn"`      // lines that are too long or no valid JSON object; skipped
	OutOfRange int `json:"wrong"`     // lines without a class, or with a time or a size out of range; skipped
	OutOfOrder int `json:"unordered"` // lines with an earlier time than the line before; sorted into place
}

// ReadTrace reads a trace, which has one JSON object per line, and sorts it by time. Times are made relative to the
// earliest call. Invalid lines are skipped and counted.
func ReadTrace(r io.Reader) (calls []Call, faults TraceFaults, err error) {
	b := bufio.NewReaderSize(r, maxLineBytes)
	for {
		line, long, err := b.ReadLine()
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return calls, faults, err
		}
		if long {
			faults.Malformed++
			for long && err == nil {
				_, long, err = b.ReadLine()
			}
			continue
		}
		if len(line) == 0 {
			continue
		}
		var c Call
		if json.Unmarshal(line, &c) != nil {
			faults.Malformed++
			continue
		}
		if c.Class == "" || !(c.At >= 0 && c.At < 1e9) || !(c.Prompt >= 1 && c.Prompt <= 1e6) ||
			!(c.MaxTokens >= 1 && c.MaxTokens <= 1e6) || !(c.PrefixTokens >= 0 && c.PrefixTokens <= c.Prompt) {
			faults.OutOfRange++
			continue
		}
		if len(calls) == maxCalls {
			return calls, faults, fmt.Errorf("trace has more than %d calls", maxCalls)
		}
		if n := len(calls); n > 0 && c.At < calls[n-1].At {
			faults.OutOfOrder++
		}
		calls = append(calls, c)
	}
	slices.SortStableFunc(calls, func(a, b Call) int {
		switch {
		case a.At < b.At:
			return -1
		case a.At > b.At:
			return 1
		}
		return 0
	})
	if len(calls) == 0 {
		return nil, faults, errors.New("trace has no valid call")
	}
	first := calls[0].At
	for i := range calls {
		calls[i].At -= first
	}
	return calls, faults, nil
}

// Recorder writes a trace. It is safe for concurrent use.
type Recorder struct {
	mu  sync.Mutex
	out *bufio.Writer
	err error
}

// NewRecorder returns a recorder that writes to w. Its output is buffered until Flush.
func NewRecorder(w io.Writer) *Recorder { return &Recorder{out: bufio.NewWriter(w)} }

// Write adds a call to the trace. Errors are returned by Flush.
func (r *Recorder) Write(c Call) {
	raw, err := json.Marshal(c)
	r.mu.Lock()
	defer r.mu.Unlock()
	if err == nil {
		_, err = r.out.Write(append(raw, '\n'))
	}
	r.err = errors.Join(r.err, err)
}

// Flush writes the buffered calls and returns all errors so far.
func (r *Recorder) Flush() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	return errors.Join(r.err, r.out.Flush())
}
