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

// Histograms count in microseconds up to an hour, to three figures.
const (
	least   = 1
	longest = int64(time.Hour / time.Microsecond)
	figures = 3
)

// Figures are what came of a run, of one class or of all. Those of several processes can be put together.
type Figures struct {
	First *hdrhistogram.Histogram // from the intended moment to the first event
	Whole *hdrhistogram.Histogram // and to the end
	Pace  *hdrhistogram.Histogram // between events
	Lag   *hdrhistogram.Histogram // from the intended moment to the sending
	Own   *hdrhistogram.Histogram // from the sending to the first event, as a closed loop would count

	Asked, Served, InTime      int
	TurnedDown, Failed, GaveUp int
	NotSent                    int // the generator's own bound was reached
	Retries, BatchLines        int
	BatchServed, BatchFailed   int
}

func newFigures() *Figures {
	h := func() *hdrhistogram.Histogram { return hdrhistogram.New(least, longest, figures) }
	return &Figures{First: h(), Whole: h(), Pace: h(), Lag: h(), Own: h()}
}

func note(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(longest, max(least, d.Microseconds()))) // within its bounds
}

// Merge adds others' figures.
func (f *Figures) Merge(o *Figures) {
	f.First.Merge(o.First)
	f.Whole.Merge(o.Whole)
	f.Pace.Merge(o.Pace)
	f.Lag.Merge(o.Lag)
	f.Own.Merge(o.Own)
	for _, p := range [][2]*int{{&f.Asked, &o.Asked}, {&f.Served, &o.Served}, {&f.InTime, &o.InTime}, {&f.TurnedDown, &o.TurnedDown},
		{&f.Failed, &o.Failed}, {&f.GaveUp, &o.GaveUp}, {&f.NotSent, &o.NotSent}, {&f.Retries, &o.Retries}, {&f.BatchLines, &o.BatchLines},
		{&f.BatchServed, &o.BatchServed}, {&f.BatchFailed, &o.BatchFailed}} {
		*p[0] += *p[1]
	}
}

// wire is the form in files: the histograms in HdrHistogram's own compressed form.
type wire struct {
	First, Whole, Pace, Lag, Own string
	Counts                       map[string]int
}

func (f *Figures) counts() map[string]*int {
	return map[string]*int{"asked": &f.Asked, "served": &f.Served, "in_time": &f.InTime, "turned_down": &f.TurnedDown, "failed": &f.Failed,
		"gave_up": &f.GaveUp, "not_sent": &f.NotSent, "retries": &f.Retries, "batch_lines": &f.BatchLines, "batch_served": &f.BatchServed,
		"batch_failed": &f.BatchFailed}
}

// MarshalJSON implements json.Marshaler.
func (f *Figures) MarshalJSON() ([]byte, error) {
	w := wire{Counts: map[string]int{}}
	for name, n := range f.counts() {
		w.Counts[name] = *n
	}
	for _, p := range []struct {
		to   *string
		from *hdrhistogram.Histogram
	}{{&w.First, f.First}, {&w.Whole, f.Whole}, {&w.Pace, f.Pace}, {&w.Lag, f.Lag}, {&w.Own, f.Own}} {
		raw, err := p.from.Encode(hdrhistogram.V2CompressedEncodingCookieBase)
		if err != nil {
			return nil, err
		}
		*p.to = string(raw)
	}
	return json.Marshal(w)
}

// UnmarshalJSON implements json.Unmarshaler.
func (f *Figures) UnmarshalJSON(raw []byte) error {
	var w wire
	if err := json.Unmarshal(raw, &w); err != nil {
		return err
	}
	*f = *newFigures()
	for _, p := range []struct {
		from string
		to   **hdrhistogram.Histogram
	}{{w.First, &f.First}, {w.Whole, &f.Whole}, {w.Pace, &f.Pace}, {w.Lag, &f.Lag}, {w.Own, &f.Own}} {
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

// Second is what came of the requests that were meant to come in one second.
type Second struct {
	Asked, Served, InTime, TurnedDown, Failed int
	FirstMS                                   float64 // the slowest first event
	Out                                       int     // requests out at its end
}

// Report is a run's.
type Report struct {
	Target  string              `json:"target"`
	Pattern string              `json:"pattern"`
	Seed    uint64              `json:"seed"`
	Began   time.Time           `json:"began"`
	For     float64             `json:"for_s"`
	Cut     bool                `json:"cut,omitempty"` // ended before its time
	Marks   []string            `json:"marks,omitempty"`
	Trace   *TraceFaults        `json:"trace,omitempty"`
	Classes map[string]*Figures `json:"classes"`
	Seconds []Second            `json:"seconds"`
}

// All are the figures of all classes together.
func (r *Report) All() *Figures {
	all := newFigures()
	for _, f := range r.Classes {
		all.Merge(f)
	}
	return all
}

// Names are the classes in order.
func (r *Report) Names() (names []string) {
	for n := range r.Classes {
		names = append(names, n)
	}
	slices.Sort(names)
	return names
}

// MergeReports puts several processes' reports together, second by second of their own starts.
func MergeReports(all ...*Report) (*Report, error) {
	if len(all) == 0 {
		return nil, errors.New("no report")
	}
	out := &Report{Target: all[0].Target, Pattern: all[0].Pattern, Began: all[0].Began, Classes: map[string]*Figures{}}
	for _, r := range all {
		out.For, out.Cut = max(out.For, r.For), out.Cut || r.Cut
		out.Marks = append(out.Marks, r.Marks...)
		if r.Began.Before(out.Began) {
			out.Began = r.Began
		}
		for name, f := range r.Classes {
			if out.Classes[name] == nil {
				out.Classes[name] = newFigures()
			}
			out.Classes[name].Merge(f)
		}
		for i, s := range r.Seconds {
			if i == len(out.Seconds) {
				out.Seconds = append(out.Seconds, Second{})
			}
			o := &out.Seconds[i]
			o.Asked, o.Served, o.InTime, o.TurnedDown, o.Failed = o.Asked+s.Asked, o.Served+s.Served, o.InTime+s.InTime, o.TurnedDown+s.TurnedDown, o.Failed+s.Failed
			o.FirstMS, o.Out = max(o.FirstMS, s.FirstMS), o.Out+s.Out
		}
	}
	return out, nil
}

// ReadFile reads a report's file, of this kind or another; its error names the file.
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

// Write writes a table for people.
func (r *Report) Write(out io.Writer) {
	for _, m := range r.Marks {
		fmt.Fprintf(out, "MARKED: %s\n", m)
	}
	if r.Cut {
		fmt.Fprintln(out, "cut off before its time")
	}
	w := tabwriter.NewWriter(out, 2, 8, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "class\tasked\tserved\tin time\tturned down\tfailed\tgave up\tnot sent\tfirst ms 50th\t99th\t99.9th\tmost\tpace ms 50th\t99th\tlag ms 99th\t")
	ms := func(h *hdrhistogram.Histogram, q float64) string {
		if h.TotalCount() == 0 {
			return "-"
		}
		return fmt.Sprintf("%.1f", float64(h.ValueAtQuantile(q))/1000)
	}
	line := func(name string, f *Figures) {
		fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t\n", name, f.Asked, f.Served, f.InTime, f.TurnedDown, f.Failed, f.GaveUp, f.NotSent,
			ms(f.First, 50), ms(f.First, 99), ms(f.First, 99.9), ms(f.First, 100), ms(f.Pace, 50), ms(f.Pace, 99), ms(f.Lag, 99))
	}
	for _, name := range r.Names() {
		line(name, r.Classes[name])
	}
	if len(r.Classes) > 1 {
		line("all", r.All())
	}
	w.Flush()
	if all := r.All(); all.BatchLines > 0 {
		fmt.Fprintf(out, "batch lines: %d, answered %d, failed %d\n", all.BatchLines, all.BatchServed, all.BatchFailed)
	}
}

// tally collects while a run goes on.
type tally struct {
	mu      sync.Mutex
	classes map[string]*Figures
	seconds []Second
	out     int
}

func (t *tally) do(class string, at time.Duration, change func(f *Figures, s *Second)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	f := t.classes[class]
	if f == nil {
		f = newFigures()
		t.classes[class] = f
	}
	i := max(0, int(at/time.Second))
	for len(t.seconds) <= i {
		t.seconds = append(t.seconds, Second{Out: t.out})
	}
	change(f, &t.seconds[i])
}
