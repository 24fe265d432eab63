package load

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"slices"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// The histograms' range, from 1 µs to one hour in microseconds, and precision.
const (
	minRecorded        = 1
	maxRecorded        = int64(time.Hour / time.Microsecond)
	significantFigures = 3
)

// Results are the results of a run, for one class or for all. Those of several processes can be merged.
type Results struct {
	// The histograms are of served requests, in microseconds.
	FirstToken *hdrhistogram.Histogram // from the intended time to the first event
	Total      *hdrhistogram.Histogram // from the intended time to the end of the response
	TokenGap   *hdrhistogram.Histogram // mean time between the tokens of a response
	SendLag    *hdrhistogram.Histogram // from the time at which the served attempt was due to its sending
	SinceSend  *hdrhistogram.Histogram // from the sending to the first event, as a closed loop would measure it

	// Intended counts the intended requests, less those that the end of the run interrupted. Each that has ended is
	// counted once more, in Served, Rejected (the last response was 429 or 503), Failed, TimedOut (an attempt reached
	// Class.Timeout) or NotSent (Plan.MaxInFlight was reached). InTime counts the served requests that met their latency
	// objectives.
	Intended, Served, InTime   int
	Rejected, Failed, TimedOut int
	NotSent                    int
	Retries, BatchLines        int
	BatchServed, BatchFailed   int
}

func newResults() *Results {
	newHistogram := func() *hdrhistogram.Histogram {
		return hdrhistogram.New(minRecorded, maxRecorded, significantFigures)
	}
	return &Results{FirstToken: newHistogram(), Total: newHistogram(), TokenGap: newHistogram(), SendLag: newHistogram(),
		SinceSend: newHistogram()}
}

// recordDuration adds a duration to a histogram, limited to the histogram's range.
func recordDuration(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(maxRecorded, max(minRecorded, d.Microseconds()))) // cannot fail within the range
}

// Merge adds the results o to r.
func (r *Results) Merge(o *Results) {
	r.FirstToken.Merge(o.FirstToken)
	r.Total.Merge(o.Total)
	r.TokenGap.Merge(o.TokenGap)
	r.SendLag.Merge(o.SendLag)
	r.SinceSend.Merge(o.SinceSend)
	for _, p := range [][2]*int{{&r.Intended, &o.Intended}, {&r.Served, &o.Served}, {&r.InTime, &o.InTime},
		{&r.Rejected, &o.Rejected}, {&r.Failed, &o.Failed}, {&r.TimedOut, &o.TimedOut}, {&r.NotSent, &o.NotSent},
		{&r.Retries, &o.Retries}, {&r.BatchLines, &o.BatchLines}, {&r.BatchServed, &o.BatchServed},
		{&r.BatchFailed, &o.BatchFailed}} {
		*p[0] += *p[1]
	}
}

// resultsJSON is the form of Results in files. The histograms are in HdrHistogram's compressed encoding; the field
// names are the keys in the file.
type resultsJSON struct {
	First, Whole, Pace, Lag, Own string
	Counts                       map[string]int
}

// counts returns the counters by their keys in files.
func (r *Results) counts() map[string]*int {
	return map[string]*int{"asked": &r.Intended, "served": &r.Served, "in_time": &r.InTime, "turned_down": &r.Rejected,
		"failed": &r.Failed, "gave_up": &r.TimedOut, "not_sent": &r.NotSent, "retries": &r.Retries,
		"batch_lines": &r.BatchLines, "batch_served": &r.BatchServed, "batch_failed": &r.BatchFailed}
}

// MarshalJSON implements json.Marshaler.
func (r *Results) MarshalJSON() ([]byte, error) {
	w := resultsJSON{Counts: map[string]int{}}
	for name, n := range r.counts() {
		w.Counts[name] = *n
	}
	for _, p := range []struct {
		to   *string
		from *hdrhistogram.Histogram
	}{{&w.First, r.FirstToken}, {&w.Whole, r.Total}, {&w.Pace, r.TokenGap}, {&w.Lag, r.SendLag}, {&w.Own, r.SinceSend}} {
		raw, err := p.from.Encode(hdrhistogram.V2CompressedEncodingCookieBase)
		if err != nil {
			return nil, err
		}
		*p.to = string(raw)
	}
	return json.Marshal(w)
}

// UnmarshalJSON implements json.Unmarshaler.
func (r *Results) UnmarshalJSON(raw []byte) error {
	var w resultsJSON
	if err := json.Unmarshal(raw, &w); err != nil {
		return err
	}
	*r = *newResults()
	for _, p := range []struct {
		from string
		to   **hdrhistogram.Histogram
	}{{w.First, &r.FirstToken}, {w.Whole, &r.Total}, {w.Pace, &r.TokenGap}, {w.Lag, &r.SendLag}, {w.Own, &r.SinceSend}} {
		h, err := hdrhistogram.Decode([]byte(p.from))
		if err != nil {
			return err
		}
		*p.to = h
	}
	counts := r.counts()
	for name, n := range w.Counts {
		if to := counts[name]; to != nil {
			*to = n
		}
	}
	return nil
}

// Second is the results of the requests whose intended time is in one second of the run. The field names are the keys
// in report files: Asked counts the requests that were intended, TurnedDown those that were rejected, and Failed also
// those that timed out or were not sent.
type Second struct {
	Asked, Served, InTime, TurnedDown, Failed int
	FirstMS                                   float64 // the longest time to the first event, in milliseconds
	Out                                       int     // collector.inFlight at the second's first change
}

// Report is the result of a run.
type Report struct {
	Target      string              `json:"target"`
	Pattern     string              `json:"pattern"`
	Seed        uint64              `json:"seed"`
	Began       time.Time           `json:"began"`
	For         float64             `json:"for_s"`           // duration of the run in seconds
	Interrupted bool                `json:"cut,omitempty"`   // whether the run was interrupted
	Marks       []string            `json:"marks,omitempty"` // reasons why the results are not valid for this pattern
	Trace       *TraceFaults        `json:"trace,omitempty"` // with a trace: its faults
	Classes     map[string]*Results `json:"classes"`
	Seconds     []Second            `json:"seconds"`
}

// All returns the merged results of all classes.
func (r *Report) All() *Results {
	all := newResults()
	for _, res := range r.Classes {
		all.Merge(res)
	}
	return all
}

// Names returns the names of the classes in alphabetical order.
func (r *Report) Names() (names []string) {
	for n := range r.Classes {
		names = append(names, n)
	}
	slices.Sort(names)
	return names
}

// MergeReports merges the reports of several processes. Seconds are matched by their distance from each run's start.
func MergeReports(reports ...*Report) (*Report, error) {
	if len(reports) == 0 {
		return nil, errors.New("no report to merge")
	}
	merged := &Report{Target: reports[0].Target, Pattern: reports[0].Pattern, Began: reports[0].Began,
		Classes: map[string]*Results{}}
	for _, r := range reports {
		merged.For, merged.Interrupted = max(merged.For, r.For), merged.Interrupted || r.Interrupted
		merged.Marks = append(merged.Marks, r.Marks...)
		if r.Began.Before(merged.Began) {
			merged.Began = r.Began
		}
		for name, res := range r.Classes {
			if merged.Classes[name] == nil {
				merged.Classes[name] = newResults()
			}
			merged.Classes[name].Merge(res)
		}
		for i, s := range r.Seconds {
			if i == len(merged.Seconds) {
				merged.Seconds = append(merged.Seconds, Second{})
			}
			o := &merged.Seconds[i]
			o.Asked, o.Served, o.InTime, o.TurnedDown, o.Failed =
				o.Asked+s.Asked, o.Served+s.Served, o.InTime+s.InTime, o.TurnedDown+s.TurnedDown, o.Failed+s.Failed
			o.FirstMS, o.Out = max(o.FirstMS, s.FirstMS), o.Out+s.Out
		}
	}
	return merged, nil
}

// ReadFile reads a JSON file, such as a report. Errors name the file.
func ReadFile[T any](path string) (*T, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	v := new(T)
	if err := json.Unmarshal(raw, v); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return v, nil
}

// Write writes the report as a table.
func (r *Report) Write(out io.Writer) {
	for _, m := range r.Marks {
		fmt.Fprintf(out, "MARKED: %s\n", m)
	}
	if r.Interrupted {
		fmt.Fprintln(out, "cut off before its time")
	}
	w := tabwriter.NewWriter(out, 2, 8, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "class\tasked\tserved\tin time\tturned down\tfailed\tgave up\tnot sent\t"+
		"first ms 50th\t99th\t99.9th\tmost\tpace ms 50th\t99th\tlag ms 99th\t")
	ms := func(h *hdrhistogram.Histogram, q float64) string {
		if h.TotalCount() == 0 {
			return "-"
		}
		return fmt.Sprintf("%.1f", float64(h.ValueAtQuantile(q))/1000)
	}
	writeRow := func(name string, res *Results) {
		fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t\n",
			name, res.Intended, res.Served, res.InTime, res.Rejected, res.Failed, res.TimedOut, res.NotSent,
			ms(res.FirstToken, 50), ms(res.FirstToken, 99), ms(res.FirstToken, 99.9), ms(res.FirstToken, 100),
			ms(res.TokenGap, 50), ms(res.TokenGap, 99), ms(res.SendLag, 99))
	}
	for _, name := range r.Names() {
		writeRow(name, r.Classes[name])
	}
	if len(r.Classes) > 1 {
		writeRow("all", r.All())
	}
	w.Flush()
	if all := r.All(); all.BatchLines > 0 {
		fmt.Fprintf(out, "batch lines: %d, answered %d, failed %d\n", all.BatchLines, all.BatchServed, all.BatchFailed)
	}
}

// collector gathers the results during a run.
type collector struct {
	mu       sync.Mutex
	classes  map[string]*Results
	seconds  []Second
	inFlight int // requests in flight at the last call of Options.Progress; 0 without one
}

// update applies a change to the results of a class and to those of the second that contains at, an intended time.
func (c *collector) update(class string, at time.Duration, change func(f *Results, s *Second)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	res := c.classes[class]
	if res == nil {
		res = newResults()
		c.classes[class] = res
	}
	i := max(0, int(at/time.Second))
	for len(c.seconds) <= i {
		c.seconds = append(c.seconds, Second{Out: c.inFlight})
	}
	change(res, &c.seconds[i])
}
