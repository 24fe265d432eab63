package lab

import (
	"context"
	"fmt"
	"io"
	"math"
	"runtime"
	"slices"
	"sync"
	"text/tabwriter"

	"standpoint/internal/migration"
)

// Study is a number of seeded moves for each trouble, by the mover and by fixed thresholds on the same seeds.
type Study struct {
	Runs     int
	First    uint64 // seed
	Setup    Setup
	Plan     migration.Plan
	Troubles []Trouble
	// Most is the length of a run, and For how long it goes on after the trouble, in seconds.
	Most, For, Settle float64
	Fixed             bool // fixed thresholds beside the mover
}

// Summary is what the runs of one trouble and one driver gave.
type Summary struct {
	Trouble  string  `json:"trouble"`
	Driver   string  `json:"driver"`
	Runs     int     `json:"runs"`
	Reached  int     `json:"reached"` // runs in which the trouble came, the move having got that far
	WentBack int     `json:"went_back"`
	Early    int     `json:"early"` // went back before the trouble came
	Within60 int     `json:"within_60_s"`
	Halt50   float64 `json:"halt_median_s"`
	Halt99   float64 `json:"halt_99th_s"`
	Back50   float64 `json:"back_median_s"`
	Back99   float64 `json:"back_99th_s"`
	// LeastRatio is the least service of any 10 s over the least that the old pool alone gives on the same seed.
	LeastRatio   float64 `json:"least_ratio_min"`
	LeastRatio01 float64 `json:"least_ratio_1st"`
	UnderFloor   int     `json:"under_floor"` // runs in which it was under 0.9
	MeanService  float64 `json:"mean_service"`
	BaseService  float64 `json:"base_service"`
	Fell         int     `json:"boxes_pushed_over"`
	Done         int     `json:"done"`
}

// fixedThresholds are the usual settings: a check each 10 s, one failed or three in a row.
func fixedThresholds() map[string]func(migration.Plan) Driver {
	return map[string]func(migration.Plan) Driver{
		"threshold, 1 check": func(p migration.Plan) Driver {
			return &Threshold{Plan: p, Every: 10, Failures: 1, Late: 0.1, Errors: 0.05}
		},
		"threshold, 3 checks": func(p migration.Plan) Driver {
			return &Threshold{Plan: p, Every: 10, Failures: 3, Late: 0.1, Errors: 0.05}
		},
	}
}

// Run runs the study on all cores and writes a line a summary as it goes.
func (s Study) Run(ctx context.Context, progress io.Writer) ([]Summary, error) {
	drivers := map[string]func(migration.Plan) Driver{"mover": nil}
	if s.Fixed {
		for name, d := range fixedThresholds() {
			drivers[name] = d
		}
	}
	names := []string{"mover", "threshold, 1 check", "threshold, 3 checks"}[:len(drivers)]
	base := make([]Result, s.Runs)
	parallel(ctx, s.Runs, func(i int) {
		c := s.oneCase(i, Trouble{})
		c.None = true
		base[i] = c.Run()
	})
	var all []Summary
	for _, t := range s.Troubles {
		for _, name := range names {
			results := make([]Result, s.Runs)
			parallel(ctx, s.Runs, func(i int) {
				c := s.oneCase(i, t)
				c.Driver = drivers[name]
				results[i] = c.Run()
				results[i].Base = base[i].Least
				results[i].Seconds = nil
			})
			if ctx.Err() != nil {
				return all, ctx.Err()
			}
			sum := summarize(t, name, results, base)
			all = append(all, sum)
			if progress != nil {
				fmt.Fprintf(progress, "%-18s %-20s back %3d/%3d early %d halt %.0f s (99th %.0f) back %.0f s (99th %.0f) least %.3f (1st %.3f, under floor %d) service %.3f of %.3f\n",
					t.Name, name, sum.WentBack, sum.Reached, sum.Early, sum.Halt50, sum.Halt99, sum.Back50, sum.Back99, sum.LeastRatio, sum.LeastRatio01,
					sum.UnderFloor, sum.MeanService, sum.BaseService)
			}
		}
	}
	return all, nil
}

// oneCase is the run of one seed. The trouble comes somewhere in the middle of some step.
func (s Study) oneCase(i int, t Trouble) Case {
	setup := s.Setup
	setup.Seed = s.First + uint64(i)
	after := float64(4 + i/4%12)
	if hold := s.Plan.MinHold.Seconds(); after > hold-1 { // a short hold is over by then
		after = 0.5 + float64(i/4%12)/12*(hold-1.5)
	}
	return Case{Setup: setup, Plan: s.Plan, Trouble: t, Step: i % (len(s.Plan.Steps) - 1), After: after, For: s.For,
		Most: s.Most, Settle: s.Settle}
}

// parallel does things on all cores; once ctx ends it begins no further one.
func parallel(ctx context.Context, n int, do func(i int)) {
	var wait sync.WaitGroup
	next := make(chan int)
	for range runtime.GOMAXPROCS(0) {
		wait.Go(func() {
			for i := range next {
				do(i)
			}
		})
	}
	for i := 0; i < n && ctx.Err() == nil; i++ {
		select {
		case next <- i:
		case <-ctx.Done():
		}
	}
	close(next)
	wait.Wait()
}

func summarize(t Trouble, driver string, results, base []Result) Summary {
	s := Summary{Trouble: t.Name, Driver: driver, Runs: len(results), LeastRatio: math.Inf(1)}
	var halts, backs, ratios []float64
	for i, r := range results {
		s.Fell += r.Fell
		s.MeanService += r.Mean / float64(len(results))
		s.BaseService += base[i].Mean / float64(len(results))
		ratio := r.Least / max(r.Base, 1e-9)
		ratios = append(ratios, ratio)
		if ratio < 0.9 {
			s.UnderFloor++
		}
		if r.State == migration.Done {
			s.Done++
		}
		if math.IsNaN(r.TroubleAt) {
			if r.State == migration.Undone || r.State == migration.Returning || r.State == migration.Halted {
				s.Early++
			}
			continue
		}
		s.Reached++
		if !math.IsNaN(r.Halted) {
			s.WentBack++
			halts = append(halts, r.Halted)
			if !math.IsNaN(r.Back) {
				backs = append(backs, r.Back)
				if r.Back <= 60 {
					s.Within60++
				}
			}
		}
	}
	if len(halts) > 0 {
		s.Halt50, s.Halt99 = quantile(halts, 0.5), quantile(halts, 0.99)
	}
	if len(backs) > 0 {
		s.Back50, s.Back99 = quantile(backs, 0.5), quantile(backs, 0.99)
	}
	slices.Sort(ratios)
	s.LeastRatio, s.LeastRatio01 = ratios[0], quantile(ratios, 0.01)
	return s
}

// WriteTable writes the summaries as a table in Markdown.
func WriteTable(w io.Writer, all []Summary) {
	t := tabwriter.NewWriter(w, 0, 1, 1, ' ', tabwriter.Debug)
	fmt.Fprintln(t, "| trouble\t driver\t went back\t within 60 s\t halt, median and 99th\t all back, median and 99th\t least 10 s over the old pool's, least and 1st percentile\t service (old pool alone)\t")
	fmt.Fprintln(t, "| ---\t ---\t ---\t ---\t ---\t ---\t ---\t ---\t")
	for _, s := range all {
		fmt.Fprintf(t, "| %s\t %s\t %d of %d\t %d\t %.0f s, %.0f s\t %.0f s, %.0f s\t %.3f, %.3f\t %.3f (%.3f)\t\n", s.Trouble, s.Driver, s.WentBack, s.Reached,
			s.Within60, s.Halt50, s.Halt99, s.Back50, s.Back99, s.LeastRatio, s.LeastRatio01, s.MeanService, s.BaseService)
	}
	t.Flush()
}

// Small and Large are the worlds of the measurements: about 18 requests a second before pools of 9 boxes, and 500
// before pools of 200.
func Small() Setup { return Setup{Nodes: 3, Rate: 18, Old: 9, New: 9, Spread: 0.1} }

// Large is described at Small.
func Large() Setup { return Setup{Nodes: 4, Rate: 500, Old: 200, New: 200, Spread: 0.1} }
