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
	// counted once more, in Served, TurnedDown (the last response was 429 or 503), Failed, TimedOut (time-out) or
	// NotSent (MaxInFlight was reached). InTime counts the served requests that met their latency objectives.
	Intended, Served, InTime   int
	Rejected, Failed, TimedOut int
	NotSent                    int
	Retries, BatchLines        int
	BatchServed, BatchFailed   int
}

func newFigures() *Results {
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

// Merge adds the figures o to f.
func (f *Results) Merge(o *Results) {
	f.FirstToken.Merge(o.FirstToken)
	f.Total.Merge(o.Total)
	f.TokenGap.Merge(o.TokenGap)
	f.SendLag.Merge(o.SendLag)
	f.SinceSend.Merge(o.SinceSend)
	for _, p := range [][2]*int{{&f.Intended, &o.Intended}, {&f.Served, &o.Served}, {&f.InTime, &o.InTime},
		{&f.Rejected, &o.Rejected}, {&f.Failed, &o.Failed}, {&f.TimedOut, &o.TimedOut}, {&f.NotSent, &o.NotSent},
		{&f.Retries, &o.Retries}, {&f.BatchLines, &o.BatchLines}, {&f.BatchServed, &o.BatchServed},
		{&f.BatchFailed, &o.BatchFailed}} {
		*p[0] += *p[1]
	}
}

// figuresJSON is the form of Figures in files. The histograms are in HdrHistogram's compressed encoding; the field
// names are the keys in the file.
type figuresJSON struct {
	First, Whole, Pace, Lag, Own string
	Counts                       map[string]int
}

// counts returns the counters by their keys in files.
func (f *Results) counts() map[string]*int {
	return map[string]*int{"asked": &f.Intended, "served": &f.Served, "in_time": &f.InTime, "turned_down": &f.Rejected,
		"failed": &f.Failed, "gave_up": &f.TimedOut, "not_sent": &f.NotSent, "retries": &f.Retries,
		"batch_lines": &f.BatchLines, "batch_served": &f.BatchServed, "batch_failed": &f.BatchFailed}
}

// MarshalJSON implements json.Marshaler.
func (f *Results) MarshalJSON() ([]byte, error) {
	w := figuresJSON{Counts: map[string]int{}}
	for name, n := range f.counts() {
		w.Counts[name] = *n
	}
	for _, p := range []struct {
		to   *string
		from *hdrhistogram.Histogram
	}{{&w.First, f.FirstToken}, {&w.Whole, f.Total}, {&w.Pace, f.TokenGap}, {&w.Lag, f.SendLag}, {&w.Own, f.SinceSend}} {
		raw, err := p.from.Encode(hdrhistogram.V2CompressedEncodingCookieBase)
		if err != nil {
			return nil, err
		}
		*p.to = string(raw)
	}
	return json.Marshal(w)
}

// UnmarshalJSON implements json.Unmarshaler.
func (f *Results) UnmarshalJSON(raw []byte) error {
	var w figuresJSON
	if err := json.Unmarshal(raw, &w); err != nil {
		return err
	}
	*f = *newFigures()
	for _, p := range []struct {
		from string
		to   **hdrhistogram.Histogram
	}{{w.First, &f.FirstToken}, {w.Whole, &f.Total}, {w.Pace, &f.TokenGap}, {w.Lag, &f.SendLag}, {w.Own, &f.SinceSend}} {
		h, err := hdrhistogram.Decode([]byte(p.from))
		if err != nil {
			return err
		}
		*p.to = h
	}
	counts := f.counts()
	for name, n := range w.Counts {
		if to := counts[name]; to != nil {
			*to = n
		}
	}
	return nil
}

// Second is the results of the requests whose intended time is in one second of the run.
type Second struct {
	Asked, Served, InTime, TurnedDown, Failed int
	FirstMS                                   float64 // the longest time to the first event, in milliseconds
	Out                                       int     // requests in flight at the end of the second
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

// All returns the merged figures of all classes.
func (r *Report) All() *Results {
	all := newFigures()
	for _, f := range r.Classes {
		all.Merge(f)
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
		for name, f := range r.Classes {
			if merged.Classes[name] == nil {
				merged.Classes[name] = newFigures()
			}
			merged.Classes[name].Merge(f)
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
	writeRow := func(name string, f *Results) {
		fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t\n",
			name, f.Intended, f.Served, f.InTime, f.Rejected, f.Failed, f.TimedOut, f.NotSent,
			ms(f.FirstToken, 50), ms(f.FirstToken, 99), ms(f.FirstToken, 99.9), ms(f.FirstToken, 100),
			ms(f.TokenGap, 50), ms(f.TokenGap, 99), ms(f.SendLag, 99))
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
	inFlight int
}

// update applies a change to the figures of a class and to those of the second that at, an intended time, falls in.
func (t *collector) update(class string, at time.Duration, change func(f *Results, s *Second)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	f := t.classes[class]
	if f == nil {
		f = newFigures()
		t.classes[class] = f
	}
	i := max(0, int(at/time.Second))
	for len(t.seconds) <= i {
		t.seconds = append(t.seconds, Second{Out: t.inFlight})
	}
	change(f, &t.seconds[i])
}
