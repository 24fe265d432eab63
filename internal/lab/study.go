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

// Study runs seeded migrations for each fault, with the migration state machine and, if wanted, with drivers of fixed
// thresholds on the same seeds.
type Study struct {
	Runs      int
	FirstSeed uint64
	Setup     Setup
	Plan      migration.Plan
	Faults    []Fault
	// MaxDuration is the longest duration of a run, RunAfterFault how long it continues after the fault, and Settle how
	// long it runs before the migration starts, all in seconds.
	MaxDuration, RunAfterFault, Settle float64
	WithThresholds                     bool // run the drivers with fixed thresholds too
}

// Summary has the results of all runs of one fault with one driver. Times are in seconds.
type Summary struct {
	Fault         string `json:"trouble"`
	Driver        string `json:"driver"`
	Runs          int    `json:"runs"`
	FaultOccurred int    `json:"reached"` // runs in which the migration reached the step and time of the fault
	// WentBack is the number of these runs in which the migration halted or was undone after the fault.
	WentBack         int     `json:"went_back"`
	WentBackEarly    int     `json:"early"`         // runs in which it did so before the fault
	ReturnedWithin60 int     `json:"within_60_s"`   // runs in which all traffic was back within 60 s of the fault
	HaltDelay50      float64 `json:"halt_median_s"` // time from the fault to the halt, median
	HaltDelay99      float64 `json:"halt_99th_s"`
	ReturnDelay50    float64 `json:"back_median_s"` // time from the fault until all traffic was back, median
	ReturnDelay99    float64 `json:"back_99th_s"`
	// MinServiceRatio is the minimum over the runs of the lowest service of any 10 s, divided by the lowest that the
	// old pool alone gives on the same seed.
	MinServiceRatio   float64 `json:"least_ratio_min"`
	MinServiceRatio01 float64 `json:"least_ratio_1st"` // 1st percentile of this ratio over the runs
	BelowFloor        int     `json:"under_floor"`     // runs in which this ratio was below 0.9
	MeanService       float64 `json:"mean_service"`
	BaselineService   float64 `json:"base_service"`      // mean service of the old pool alone
	Collapsed         int     `json:"boxes_pushed_over"` // cold backends that were overloaded and went down
	Done              int     `json:"done"`
}

// thresholdDrivers returns drivers with common fixed thresholds: a check every 10 s, of which one fails or three in a
// row.
func thresholdDrivers() map[string]func(migration.Plan) Driver {
	return map[string]func(migration.Plan) Driver{
		"threshold, 1 check": func(p migration.Plan) Driver {
			return &ThresholdDriver{Plan: p, CheckEvery: 10, MaxFailures: 1, MaxLateShare: 0.1, MaxErrorShare: 0.05}
		},
		"threshold, 3 checks": func(p migration.Plan) Driver {
			return &ThresholdDriver{Plan: p, CheckEvery: 10, MaxFailures: 3, MaxLateShare: 0.1, MaxErrorShare: 0.05}
		},
	}
}

// Run runs the study on all cores and writes one line of progress per summary.
func (s Study) Run(ctx context.Context, progress io.Writer) ([]Summary, error) {
	drivers := map[string]func(migration.Plan) Driver{"mover": nil}
	if s.WithThresholds {
		for name, d := range thresholdDrivers() {
			drivers[name] = d
		}
	}
	names := []string{"mover", "threshold, 1 check", "threshold, 3 checks"}[:len(drivers)]
	baselines := make([]MigrationResult, s.Runs)
	parallel(ctx, s.Runs, func(i int) {
		c := s.migrationCase(i, Fault{})
		c.NoMove = true
		baselines[i] = c.Run()
	})
	var all []Summary
	for _, fault := range s.Faults {
		for _, name := range names {
			results := make([]MigrationResult, s.Runs)
			parallel(ctx, s.Runs, func(i int) {
				c := s.migrationCase(i, fault)
				c.NewDriver = drivers[name]
				results[i] = c.Run()
				results[i].BaselineMinService = baselines[i].MinService
				results[i].Seconds = nil
			})
			if ctx.Err() != nil {
				return all, ctx.Err()
			}
			sum := summarize(fault, name, results, baselines)
			all = append(all, sum)
			if progress != nil {
				fmt.Fprintf(progress,
					"%-18s %-20s back %3d/%3d early %d halt %.0f s (99th %.0f) back %.0f s (99th %.0f) "+
						"least %.3f (1st %.3f, under floor %d) service %.3f of %.3f\n",
					fault.Name, name, sum.WentBack, sum.FaultOccurred, sum.WentBackEarly, sum.HaltDelay50,
					sum.HaltDelay99, sum.ReturnDelay50, sum.ReturnDelay99, sum.MinServiceRatio, sum.MinServiceRatio01,
					sum.BelowFloor, sum.MeanService, sum.BaselineService)
			}
		}
	}
	return all, nil
}

// migrationCase returns the run of one seed. The step of the fault, and its time within the step, vary with the seed.
func (s Study) migrationCase(i int, fault Fault) MigrationCase {
	setup := s.Setup
	setup.Seed = s.FirstSeed + uint64(i)
	faultAfter := float64(4 + i/4%12)
	if holdSeconds := s.Plan.MinHold.Seconds(); faultAfter > holdSeconds-1 { // a shorter hold would end before the fault
		faultAfter = 0.5 + float64(i/4%12)/12*(holdSeconds-1.5)
	}
	return MigrationCase{Setup: setup, Plan: s.Plan, Fault: fault, FaultStep: i % (len(s.Plan.Steps) - 1),
		FaultAfter: faultAfter, RunAfterFault: s.RunAfterFault,
		MaxDuration: s.MaxDuration, Settle: s.Settle}
}

// parallel calls do for 0 to n-1 on all cores. Once ctx ends it starts no further call.
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

// summarize computes the summary of a fault's runs; baselines are the runs of the same seeds with the old pool alone.
func summarize(fault Fault, driver string, results, baselines []MigrationResult) Summary {
	s := Summary{Fault: fault.Name, Driver: driver, Runs: len(results), MinServiceRatio: math.Inf(1)}
	var halts, returns, ratios []float64
	for i, r := range results {
		s.Collapsed += r.Collapsed
		s.MeanService += r.MeanService / float64(len(results))
		s.BaselineService += baselines[i].MeanService / float64(len(results))
		ratio := r.MinService / max(r.BaselineMinService, 1e-9)
		ratios = append(ratios, ratio)
		if ratio < 0.9 {
			s.BelowFloor++
		}
		if r.State == migration.Done {
			s.Done++
		}
		if math.IsNaN(r.FaultAt) {
			if r.State == migration.Undone || r.State == migration.Returning || r.State == migration.Halted {
				s.WentBackEarly++
			}
			continue
		}
		s.FaultOccurred++
		if !math.IsNaN(r.HaltDelay) {
			s.WentBack++
			halts = append(halts, r.HaltDelay)
			if !math.IsNaN(r.ReturnDelay) {
				returns = append(returns, r.ReturnDelay)
				if r.ReturnDelay <= 60 {
					s.ReturnedWithin60++
				}
			}
		}
	}
	if len(halts) > 0 {
		s.HaltDelay50, s.HaltDelay99 = quantile(halts, 0.5), quantile(halts, 0.99)
	}
	if len(returns) > 0 {
		s.ReturnDelay50, s.ReturnDelay99 = quantile(returns, 0.5), quantile(returns, 0.99)
	}
	slices.Sort(ratios)
	s.MinServiceRatio, s.MinServiceRatio01 = ratios[0], quantile(ratios, 0.01)
	return s
}

// WriteTable writes the summaries as a Markdown table.
func WriteTable(w io.Writer, all []Summary) {
	t := tabwriter.NewWriter(w, 0, 1, 1, ' ', tabwriter.Debug)
	fmt.Fprintln(t,
		"| trouble\t driver\t went back\t within 60 s\t halt, median and 99th\t all back, median and 99th\t "+
			"least 10 s over the old pool's, least and 1st percentile\t service (old pool alone)\t")
	fmt.Fprintln(t, "| ---\t ---\t ---\t ---\t ---\t ---\t ---\t ---\t")
	for _, s := range all {
		fmt.Fprintf(t, "| %s\t %s\t %d of %d\t %d\t %.0f s, %.0f s\t %.0f s, %.0f s\t %.3f, %.3f\t %.3f (%.3f)\t\n",
			s.Fault, s.Driver, s.WentBack, s.FaultOccurred,
			s.ReturnedWithin60, s.HaltDelay50, s.HaltDelay99, s.ReturnDelay50, s.ReturnDelay99, s.MinServiceRatio,
			s.MinServiceRatio01, s.MeanService, s.BaselineService)
	}
	t.Flush()
}

// SmallSetup returns the small setup of the measurements: 18 requests per second and two pools of 9 backends.
func SmallSetup() Setup {
	return Setup{Nodes: 3, Rate: 18, OldBackends: 9, NewBackends: 9, SpeedSpread: 0.1}
}

// LargeSetup returns the large setup of the measurements: 500 requests per second and two pools of 200 backends.
func LargeSetup() Setup {
	return Setup{Nodes: 4, Rate: 500, OldBackends: 200, NewBackends: 200, SpeedSpread: 0.1}
}
