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

// Call is one request of a trace: what is asked, and when it was meant to come.
type Call struct {
	At      float64 `json:"at_s"` // from the trace's start
	Class   string  `json:"class"`
	Tenant  string  `json:"tenant,omitempty"`
	Session uint64  `json:"session,omitempty"`
	Prefix  uint64  `json:"prefix,omitempty"`
	Prompt  float64 `json:"prompt_tokens"`
	Shared  float64 `json:"shared_tokens,omitempty"`
	Out     float64 `json:"max_tokens"`
}

const (
	callsMost = 2_000_000
	lineMost  = 64 << 10
)

// TraceFaults say what of a trace could not be used.
type TraceFaults struct {
	Torn      int `json:"torn"`      // lines that are no whole object
	Wrong     int `json:"wrong"`     // with a time or a size that cannot be
	Unordered int `json:"unordered"` // that came before their time; they were put in their place
}

// ReadTrace reads a trace, a JSON object a line, and puts it in order. Times count from the earliest call. Lines that
// cannot be used are passed over and counted.
func ReadTrace(r io.Reader) (calls []Call, faults TraceFaults, err error) {
	b := bufio.NewReaderSize(r, lineMost)
	for {
		line, long, err := b.ReadLine()
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return calls, faults, err
		}
		if long {
			faults.Torn++
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
			faults.Torn++
			continue
		}
		if c.Class == "" || !(c.At >= 0 && c.At < 1e9) || !(c.Prompt >= 1 && c.Prompt <= 1e6) || !(c.Out >= 1 && c.Out <= 1e6) || !(c.Shared >= 0 && c.Shared <= c.Prompt) {
			faults.Wrong++
			continue
		}
		if len(calls) == callsMost {
			return calls, faults, fmt.Errorf("more than %d calls", callsMost)
		}
		if n := len(calls); n > 0 && c.At < calls[n-1].At {
			faults.Unordered++
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
		return nil, faults, errors.New("the trace has no call that can be used")
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

// NewRecorder writes to w.
func NewRecorder(w io.Writer) *Recorder { return &Recorder{out: bufio.NewWriter(w)} }

// Write adds a call.
func (r *Recorder) Write(c Call) {
	raw, err := json.Marshal(c)
	r.mu.Lock()
	defer r.mu.Unlock()
	if err == nil {
		_, err = r.out.Write(append(raw, '\n'))
	}
	r.err = errors.Join(r.err, err)
}

// Flush writes what is left and gives the first error.
func (r *Recorder) Flush() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	return errors.Join(r.err, r.out.Flush())
}
