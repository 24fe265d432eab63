package labcli

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"runtime"
	"slices"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"standpoint/internal/lab/fleetsim"
	"standpoint/internal/lab/mutation"
	"standpoint/internal/lab/rig"
)

// fleetCommand simulates the members of a fleet in virtual time.
func fleetCommand(out io.Writer) *cobra.Command {
	var nodes []int
	var seeds int
	var firstSeed uint64
	var duration time.Duration
	c := &cobra.Command{Use: "fleet",
		Short:   "Simulate the state that nodes share, in virtual time, under losses, partitions and kills",
		Example: "  lab fleet --nodes 3,30,300 --seeds 200",
		RunE: func(c *cobra.Command, _ []string) error {
			w := tabwriter.NewWriter(out, 2, 8, 2, ' ', 0)
			fmt.Fprintln(w,
				"NODES\tTROUBLE\tLOSS\tSEEDS\tOVERSPENT\tUSED (LEAST)\tIN THE CUT\tAGREED 50, 99\tTOGETHER 99\t"+
					"BYTES/S\tRIGHT AFTER\tALONE\tFALSE\tALONE\tBROKEN")
			for _, n := range nodes {
				for _, set := range []struct {
					fault fleetsim.Fault
					loss  float64
				}{{fleetsim.None, 0}, {fleetsim.None, 0.1}, {fleetsim.None, 0.3}, {fleetsim.Partition, 0.1},
					{fleetsim.OneWay, 0.1}, {fleetsim.Flap, 0.1}, {fleetsim.Killed, 0.1}} {
					p := fleetsim.Plan{Nodes: n, Duration: duration, Fault: set.fault, Loss: set.loss,
						MaxClockError: 200 * time.Millisecond, Window: time.Second, Demand: 0.95, DemandingShare: 0.34, Backends: 12}
					shared, isolated := runSeeds(c.Context(), p, firstSeed, seeds)
					if err := c.Context().Err(); err != nil {
						return err
					}
					writeRow(w, p, shared, isolated)
				}
			}
			return w.Flush()
		}}
	f := c.Flags()
	f.IntSliceVar(&nodes, "nodes", []int{3, 30}, "numbers of nodes in the fleet")
	f.IntVar(&seeds, "seeds", 20, "number of seeded runs for each fault and loss")
	f.Uint64Var(&firstSeed, "seed", 1, "first seed")
	f.DurationVar(&duration, "span", 45*time.Second,
		"duration of a run in virtual time; its faults occur in the middle third")
	return c
}

// runSeeds runs a plan on several seeds, each with and without sharing between the nodes. Of the results without it,
// writeRow uses those on the exclusion of backends.
func runSeeds(ctx context.Context, p fleetsim.Plan, firstSeed uint64, seeds int) (shared, isolated []fleetsim.Result) {
	shared, isolated = make([]fleetsim.Result, seeds), make([]fleetsim.Result, seeds)
	var workers sync.WaitGroup
	slots := make(chan struct{}, runtime.GOMAXPROCS(0))
	for i := range seeds {
		slots <- struct{}{}
		workers.Go(func() {
			defer func() { <-slots }()
			if ctx.Err() != nil {
				return
			}
			q := p
			q.Seed, q.Sharing = firstSeed+uint64(i), true
			shared[i] = fleetsim.Run(q)
			q.Sharing = false
			isolated[i] = fleetsim.Run(q)
		})
	}
	workers.Wait()
	return shared, isolated
}

// writeRow writes the table's row of a plan.
func writeRow(w io.Writer, p fleetsim.Plan, shared, isolated []fleetsim.Result) {
	sortedValues := func(all []fleetsim.Result, value func(fleetsim.Result) float64) []float64 {
		var values []float64
		for _, r := range all {
			values = append(values, value(r))
		}
		slices.Sort(values)
		return values
	}
	quantile := func(values []float64, q float64) float64 { return values[int(q*float64(len(values)-1)+0.5)] }
	mean := func(values []float64) float64 {
		sum := 0.0
		for _, x := range values {
			sum += x
		}
		return sum / float64(len(values))
	}
	maxOverspent, broken := int64(0), 0
	for _, r := range shared {
		maxOverspent, broken = max(maxOverspent, r.Overspent), broken+len(r.Violations)
	}
	used := sortedValues(shared, func(r fleetsim.Result) float64 { return r.Used })
	duringFault := sortedValues(shared, func(r fleetsim.Result) float64 { return r.UsedDuringFault })
	converged := sortedValues(shared, func(r fleetsim.Result) float64 { return r.ConvergedAfter })
	healed := sortedValues(shared, func(r fleetsim.Result) float64 { return r.HealedAfter })
	excludedAfter := func(r fleetsim.Result) float64 { return r.ExcludedAfter }
	falseCount := func(r fleetsim.Result) float64 { return float64(r.FalseExclusions) }
	fmt.Fprintf(w,
		"%d\t%s\t%.0f%%\t%d\t%d\t%.3f (%.3f)\t%.3f\t%.2f, %.2f s\t%.2f s\t%.0f\t%.1f s\t%.1f s\t%.2f\t%.2f\t%d\n",
		p.Nodes, p.Fault, 100*p.Loss, len(shared), max(0, maxOverspent),
		mean(used), used[0], mean(duringFault), quantile(converged, 0.5), quantile(converged, 0.99), quantile(healed, 0.99),
		mean(sortedValues(shared, func(r fleetsim.Result) float64 { return r.Bytes })),
		quantile(sortedValues(shared, excludedAfter), 0.5), quantile(sortedValues(isolated, excludedAfter), 0.5),
		mean(sortedValues(shared, falseCount)), mean(sortedValues(isolated, falseCount)), broken)
}

// rigCommand runs several daemon processes with faults between them.
func rigCommand(out io.Writer) *cobra.Command {
	var nodes, seeds int
	var firstSeed uint64
	var duration time.Duration
	var program, parentDir string
	c := &cobra.Command{Use: "rig",
		Short:   "Run several daemon processes with network faults between them, over many seeds",
		Example: "  lab rig --program bin/standpoint --nodes 5 --seeds 100",
		RunE: func(c *cobra.Command, _ []string) error {
			failed := 0
			for seed := firstSeed; seed < firstSeed+uint64(seeds) && c.Context().Err() == nil; seed++ {
				dir, err := os.MkdirTemp(parentDir, fmt.Sprintf("rig-%d-", seed))
				if err != nil {
					return err
				}
				path, err := filepath.Abs(program)
				if err != nil {
					return err
				}
				v, err := rig.RunBudgets(c.Context(), rig.Options{Program: path, Dir: dir, Nodes: nodes,
					Backends: nodes, Seed: seed, BudgetWindow: 400 * time.Millisecond,
					MaxClockOffset: 150 * time.Millisecond, TokenInterval: time.Millisecond,
					Tenants: []rig.Tenant{{Name: "acme", Amount: 1500}, {Name: "free"},
						{Name: "bolt", Amount: 600}}}, duration, 60)
				if err != nil {
					failed++
					fmt.Fprintf(out, "seed %d: %v\n  what it left is in %s\n", seed, err, dir)
					continue
				}
				fmt.Fprintf(out,
					"seed %d: %d asked, %d served, %d refused; %d windows, the most %d; together %v after the end\n",
					seed, v.Load.Requests, v.Load.Served, v.Load.Rejected, v.Windows, v.MaxSpent,
					v.TogetherAfter.Round(time.Millisecond))
				_ = os.RemoveAll(dir) // created by this command
			}
			if failed > 0 {
				return fmt.Errorf("%d of %d seeds failed", failed, seeds)
			}
			return c.Context().Err()
		}}
	f := c.Flags()
	f.StringVar(&program, "program", "bin/standpoint", "path of the daemon's program")
	f.StringVar(&parentDir, "dir", "",
		"parent directory of the runs' files, which stay after a failure; empty: the system's temporary directory")
	f.IntVar(&nodes, "nodes", 3, "number of processes, 3 to 7")
	f.IntVar(&seeds, "seeds", 10, "number of seeded runs")
	f.Uint64Var(&firstSeed, "seed", 1, "first seed")
	f.DurationVar(&duration, "span", 10*time.Second, "duration of the faults of each run")
	return c
}

// proofCommand removes safety checks and shows whether the tests notice.
func proofCommand(out io.Writer) *cobra.Command {
	var root string
	c := &cobra.Command{Use: "proof",
		Short: "Remove the safety checks of the fleet's decision code one by one, in a copy, and show which tests fail",
		RunE: func(c *cobra.Command, _ []string) error {
			missed, err := mutation.Run(c.Context(), root, out)
			if err == nil && missed > 0 {
				err = fmt.Errorf("%d safety checks can be removed without a failing test", missed)
			}
			return err
		}}
	c.Flags().StringVar(&root, "root", ".", "directory of the source tree")
	return c
}
