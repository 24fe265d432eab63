package experiment

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"runtime"
	"slices"
	"sync"
	"text/tabwriter"
	"time"

	"standpoint/internal/lab"
)

// Report has the results of an experiment. In virtual time the same file gives the same bytes on every machine.
type Report struct {
	File       *File           `json:"file"`
	Incomplete bool            `json:"cut,omitempty"` // interrupted; it has only the seeds that all variants completed
	Variants   []VariantResult `json:"variants"`
}

// VariantResult has the results of a variant.
type VariantResult struct {
	Name string        `json:"name"`
	Runs []lab.Outcome `json:"runs"`
	// PerSecond has, for each second, the sums over the runs, and the maximum of the 99th percentiles of the time to
	// first token. The runs' own seconds are left out.
	PerSecond    []lab.OutcomeSecond `json:"over_time"`
	Breaches     map[string]int      `json:"breaches,omitempty"`
	AgainstFirst []Difference        `json:"against_first,omitempty"`
}

// Difference is the mean difference of a metric to the first variant, paired by seed, with its 95% interval (bootstrap
// over seeds).
type Difference struct {
	Metric          string          `json:"figure"`
	Mean, Low, High float64         `json:"-"`
	Values          [3]RoundedFloat `json:"mean_low_top"`
	HigherIsBetter  bool            `json:"higher_is_better"`
}

// RoundedFloat is a number in reports. It has six significant digits, so that its bytes are the same on all machines.
type RoundedFloat float64

// MarshalJSON implements json.Marshaler.
func (f RoundedFloat) MarshalJSON() ([]byte, error) { return fmt.Appendf(nil, "%.6g", float64(f)), nil }

// Metric is a value of an outcome by which variants are compared.
type Metric struct {
	Name           string
	HigherIsBetter bool
	Value          func(o *lab.Outcome) float64
}

// Metrics are the metrics that are compared.
var Metrics = []Metric{
	{"service", true, func(o *lab.Outcome) float64 { return o.Service }},
	{"least_10_s", true, func(o *lab.Outcome) float64 { return o.MinService }},
	{"first_50", false, func(o *lab.Outcome) float64 { return o.TTFT50 }},
	{"first_99", false, func(o *lab.Outcome) float64 { return o.TTFT99 }},
	{"turned_down", false, func(o *lab.Outcome) float64 { return o.RejectionRatio }},
	{"waste", false, func(o *lab.Outcome) float64 { return o.ExtraAttempts }},
	{"skew", false, func(o *lab.Outcome) float64 { return o.Skew }},
}

// Run runs all variants on all seeds in virtual time, on all cores. If ctx ends early, the report has the seeds that
// all variants completed.
func Run(ctx context.Context, f *File, progress io.Writer) (*Report, error) {
	r := &Report{File: f}
	all := make([][]*lab.Outcome, f.Seeds) // by seed, then by variant
	var mu sync.Mutex
	done, began := 0, time.Now()
	next := make(chan int)
	var workers sync.WaitGroup
	for range runtime.GOMAXPROCS(0) {
		workers.Go(func() {
			for i := range next {
				row := make([]*lab.Outcome, len(f.Variants))
				for k, v := range f.Variants {
					setup, err := f.Parameters.override(v.Parameters).setup(f.FirstSeed + uint64(i))
					if err != nil || ctx.Err() != nil {
						return
					}
					o := lab.Trial{Setup: setup, Events: f.faultEvents(), Settle: time.Duration(f.Settle).Seconds(),
						Duration: time.Duration(f.Duration).Seconds()}.Run()
					row[k] = &o
				}
				mu.Lock()
				all[i] = row
				done++
				if progress != nil && (done%max(1, f.Seeds/10) == 0 || done == f.Seeds) {
					fmt.Fprintf(progress, "%d of %d seeds, %.0f s\n", done, f.Seeds, time.Since(began).Seconds())
				}
				mu.Unlock()
			}
		})
	}
	for i := 0; i < f.Seeds && ctx.Err() == nil; i++ {
		select {
		case next <- i:
		case <-ctx.Done():
		}
	}
	close(next)
	workers.Wait()
	all = slices.DeleteFunc(all, func(row []*lab.Outcome) bool { return row == nil })
	r.Incomplete = len(all) < f.Seeds
	if len(all) == 0 {
		return nil, errors.New("no seed was run to its end")
	}
	for k, v := range f.Variants {
		result := VariantResult{Name: v.Name, Breaches: map[string]int{}}
		for _, row := range all {
			result.addRun(*row[k])
		}
		r.Variants = append(r.Variants, result)
	}
	for k := 1; k < len(r.Variants); k++ {
		r.Variants[k].AgainstFirst = pairedDifferences(r.Variants[0].Runs, r.Variants[k].Runs)
	}
	return r, nil
}

// addRun adds a run. Of its seconds only the sums are stored.
func (v *VariantResult) addRun(o lab.Outcome) {
	for name, n := range o.Breaches {
		v.Breaches[name] += n
	}
	for i, s := range o.Seconds {
		if i == len(v.PerSecond) {
			v.PerSecond = append(v.PerSecond, lab.OutcomeSecond{})
		}
		to := &v.PerSecond[i]
		to.OfferedWeight, to.OnTimeWeight, to.Rejections = to.OfferedWeight+s.OfferedWeight,
			to.OnTimeWeight+s.OnTimeWeight, to.Rejections+s.Rejections
		to.TTFT99 = max(to.TTFT99, s.TTFT99)
		for backend, n := range s.AttemptsByBackend {
			if backend == len(to.AttemptsByBackend) {
				to.AttemptsByBackend = append(to.AttemptsByBackend, 0)
			}
			to.AttemptsByBackend[backend] += n
		}
	}
	o.Seconds = nil
	v.Runs = append(v.Runs, o)
}

// pairedDifferences returns the differences of b to a, paired by seed, over the seeds that both have.
func pairedDifferences(a, b []lab.Outcome) (all []Difference) {
	bySeed := map[uint64]*lab.Outcome{}
	for i := range a {
		bySeed[a[i].Seed] = &a[i]
	}
	for _, metric := range Metrics {
		var diffs []float64
		for i := range b {
			if before := bySeed[b[i].Seed]; before != nil {
				diffs = append(diffs, metric.Value(&b[i])-metric.Value(before))
			}
		}
		if len(diffs) == 0 {
			continue
		}
		mean, low, high := bootstrap(diffs)
		all = append(all, Difference{metric.Name, mean, low, high,
			[3]RoundedFloat{RoundedFloat(mean), RoundedFloat(low), RoundedFloat(high)}, metric.HigherIsBetter})
	}
	return all
}

const resamples = 4000 // bootstrap resamples

// bootstrap returns the mean of the values with its 95% percentile interval. The same values give the same interval.
func bootstrap(values []float64) (mean, low, high float64) {
	rng := rand.New(rand.NewPCG(uint64(len(values)), 0xb007))
	means := make([]float64, resamples)
	for i := range means {
		for range values {
			means[i] += values[rng.IntN(len(values))]
		}
		means[i] /= float64(len(values))
	}
	for _, v := range values {
		mean += v / float64(len(values))
	}
	slices.Sort(means)
	return mean, means[resamples*25/1000], means[resamples*975/1000]
}

// Regressions describes the metrics that became worse from one report to the other, for each variant that both have. A
// change counts if its whole interval is worse by more than minChange, as a share of the mean in the report before. A
// rule that is broken more often than before always counts.
func Regressions(before, after *Report, minChange float64) (found []string, err error) {
	same := 0
	for _, a := range before.Variants {
		for _, b := range after.Variants {
			if a.Name != b.Name {
				continue
			}
			same++
			for _, d := range pairedDifferences(a.Runs, b.Runs) {
				base := 0.0
				for i := range a.Runs {
					for _, metric := range Metrics {
						if metric.Name == d.Metric {
							base += metric.Value(&a.Runs[i]) / float64(len(a.Runs))
						}
					}
				}
				threshold := minChange * max(0, base)
				worse := d.HigherIsBetter && d.High < -threshold || !d.HigherIsBetter && d.Low > threshold
				if worse && d.Metric != "skew" { // uneven load is not a fault in itself
					found = append(found, fmt.Sprintf("%s: %s is worse by %.4g [%.4g, %.4g]", a.Name, d.Metric, d.Mean,
						d.Low, d.High))
				}
			}
			for name, n := range b.Breaches {
				if n > a.Breaches[name] {
					found = append(found, fmt.Sprintf("%s: %s: %d, before %d", a.Name, name, n, a.Breaches[name]))
				}
			}
		}
	}
	if same == 0 {
		return nil, errors.New("the two reports have no variant in common")
	}
	slices.Sort(found)
	return found, nil
}

// ModuleBrokeRules reports whether a variant with the decision module broke a rule. The policies that it is compared
// with do not implement all of the rules, so theirs do not count.
func (r *Report) ModuleBrokeRules() bool {
	for i, v := range r.Variants {
		policy := r.File.Parameters.override(r.File.Variants[i].Parameters).Policy
		if len(v.Breaches) > 0 && (policy == "" || policy == "module") {
			return true
		}
	}
	return false
}

// Write writes the report as a text table.
func (r *Report) Write(out io.Writer) {
	if r.Incomplete {
		fmt.Fprintf(out, "cut off: %d of %d seeds\n", len(r.Variants[0].Runs), r.File.Seeds)
	}
	w := tabwriter.NewWriter(out, 2, 8, 2, ' ', tabwriter.AlignRight)
	fmt.Fprint(w, "variant\t")
	for _, metric := range Metrics {
		fmt.Fprintf(w, "%s\t", metric.Name)
	}
	fmt.Fprint(w, "service against the first\tbreaches\t\n")
	for _, v := range r.Variants {
		fmt.Fprintf(w, "%s\t", v.Name)
		for _, metric := range Metrics {
			fmt.Fprintf(w, "%.3f\t", v.mean(metric))
		}
		against := "-"
		if len(v.AgainstFirst) > 0 {
			d := v.AgainstFirst[0]
			against = fmt.Sprintf("%+.3f [%+.3f, %+.3f]", d.Mean, d.Low, d.High)
		}
		n := 0
		for _, k := range v.Breaches {
			n += k
		}
		fmt.Fprintf(w, "%s\t%d\t\n", against, n)
	}
	w.Flush()
	for _, v := range r.Variants {
		for _, name := range sortedKeys(v.Breaches) {
			fmt.Fprintf(out, "BREACH %s: %s: %d\n", v.Name, name, v.Breaches[name])
		}
	}
}

// mean returns the mean of a metric over the runs.
func (v *VariantResult) mean(metric Metric) (mean float64) {
	for i := range v.Runs {
		mean += metric.Value(&v.Runs[i]) / float64(len(v.Runs))
	}
	return mean
}

func sortedKeys(m map[string]int) (keys []string) {
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}

// JSON returns the report as JSON.
func (r *Report) JSON() ([]byte, error) {
	raw, err := json.MarshalIndent(r, "", " ")
	return append(raw, '\n'), err
}

// fileText returns the experiment's file as JSON.
func (r *Report) fileText() (string, error) {
	raw, err := json.MarshalIndent(r.File, "", "  ")
	return string(raw), err
}
