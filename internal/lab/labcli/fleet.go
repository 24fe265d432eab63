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

// fleetCommand plays the members of a fleet in virtual time.
func fleetCommand(out io.Writer) *cobra.Command {
	var nodes []int
	var seeds int
	var first uint64
	var span time.Duration
	c := &cobra.Command{Use: "fleet", Short: "Play what nodes share, in virtual time: losses, cuts, kills, over many seeds",
		Example: "  lab fleet --nodes 3,30,300 --seeds 200",
		RunE: func(c *cobra.Command, _ []string) error {
			w := tabwriter.NewWriter(out, 2, 8, 2, ' ', 0)
			fmt.Fprintln(w, "NODES\tTROUBLE\tLOSS\tSEEDS\tOVERSPENT\tUSED (LEAST)\tIN THE CUT\tAGREED 50, 99\tTOGETHER 99\tBYTES/S\tRIGHT AFTER\tALONE\tFALSE\tALONE\tBROKEN")
			for _, n := range nodes {
				for _, set := range []struct {
					trouble fleetsim.Trouble
					loss    float64
				}{{fleetsim.None, 0}, {fleetsim.None, 0.1}, {fleetsim.None, 0.3}, {fleetsim.Third, 0.1}, {fleetsim.OneWay, 0.1}, {fleetsim.Flap, 0.1}, {fleetsim.Killed, 0.1}} {
					p := fleetsim.Plan{Nodes: n, Span: span, Trouble: set.trouble, Loss: set.loss, Clock: 200 * time.Millisecond, Window: time.Second, Wanted: 0.95, Few: 0.34, Servers: 12}
					shared, alone := plays(c.Context(), p, first, seeds)
					if err := c.Context().Err(); err != nil {
						return err
					}
					row(w, p, shared, alone)
				}
			}
			return w.Flush()
		}}
	f := c.Flags()
	f.IntSliceVar(&nodes, "nodes", []int{3, 30}, "sizes of the fleet")
	f.IntVar(&seeds, "seeds", 20, "plays of each kind")
	f.Uint64Var(&first, "seed", 1, "the first seed")
	f.DurationVar(&span, "span", 45*time.Second, "of a play; its troubles are in the middle third")
	return c
}

// plays plays a plan over seeds, with sharing and without; the second for what it says of servers.
func plays(ctx context.Context, p fleetsim.Plan, first uint64, seeds int) (shared, alone []fleetsim.Result) {
	shared, alone = make([]fleetsim.Result, seeds), make([]fleetsim.Result, seeds)
	var all sync.WaitGroup
	places := make(chan struct{}, runtime.GOMAXPROCS(0))
	for i := range seeds {
		places <- struct{}{}
		all.Go(func() {
			defer func() { <-places }()
			if ctx.Err() != nil {
				return
			}
			q := p
			q.Seed, q.Sharing = first+uint64(i), true
			shared[i] = fleetsim.Play(q)
			q.Sharing = false
			alone[i] = fleetsim.Play(q)
		})
	}
	all.Wait()
	return shared, alone
}

func row(w io.Writer, p fleetsim.Plan, shared, alone []fleetsim.Result) {
	of := func(all []fleetsim.Result, value func(fleetsim.Result) float64) []float64 {
		var some []float64
		for _, r := range all {
			some = append(some, value(r))
		}
		slices.Sort(some)
		return some
	}
	part := func(some []float64, q float64) float64 { return some[int(q*float64(len(some)-1)+0.5)] }
	mean := func(some []float64) float64 {
		sum := 0.0
		for _, x := range some {
			sum += x
		}
		return sum / float64(len(some))
	}
	over, broken := int64(0), 0
	for _, r := range shared {
		over, broken = max(over, r.Overspent), broken+len(r.Broken)
	}
	used := of(shared, func(r fleetsim.Result) float64 { return r.Used })
	cut := of(shared, func(r fleetsim.Result) float64 { return r.UsedInCut })
	agreed := of(shared, func(r fleetsim.Result) float64 { return r.Agreed })
	healed := of(shared, func(r fleetsim.Result) float64 { return r.Healed })
	right := func(r fleetsim.Result) float64 { return r.RightAfter }
	wrong := func(r fleetsim.Result) float64 { return float64(r.False) }
	fmt.Fprintf(w, "%d\t%s\t%.0f%%\t%d\t%d\t%.3f (%.3f)\t%.3f\t%.2f, %.2f s\t%.2f s\t%.0f\t%.1f s\t%.1f s\t%.2f\t%.2f\t%d\n", p.Nodes, p.Trouble, 100*p.Loss, len(shared), max(0, over),
		mean(used), used[0], mean(cut), part(agreed, 0.5), part(agreed, 0.99), part(healed, 0.99), mean(of(shared, func(r fleetsim.Result) float64 { return r.Bytes })),
		part(of(shared, right), 0.5), part(of(alone, right), 0.5), mean(of(shared, wrong)), mean(of(alone, wrong)), broken)
}

// rigCommand plays real processes with faults between them.
func rigCommand(out io.Writer) *cobra.Command {
	var nodes, seeds int
	var first uint64
	var span time.Duration
	var program, keep string
	c := &cobra.Command{Use: "rig", Short: "Play several processes of the program with faults between them, over many seeds",
		Example: "  lab rig --program bin/standpoint --nodes 5 --seeds 100",
		RunE: func(c *cobra.Command, _ []string) error {
			failed := 0
			for seed := first; seed < first+uint64(seeds) && c.Context().Err() == nil; seed++ {
				dir, err := os.MkdirTemp(keep, fmt.Sprintf("rig-%d-", seed))
				if err != nil {
					return err
				}
				path, err := filepath.Abs(program)
				if err != nil {
					return err
				}
				v, err := rig.RunBudgets(c.Context(), rig.Options{Program: path, Dir: dir, Nodes: nodes, Backends: nodes, Seed: seed, BudgetWindow: 400 * time.Millisecond,
					MaxClockOffset: 150 * time.Millisecond, TokenInterval: time.Millisecond, Tenants: []rig.Tenant{{Name: "acme", Amount: 1500}, {Name: "free"}, {Name: "bolt", Amount: 600}}}, span, 60)
				if err != nil {
					failed++
					fmt.Fprintf(out, "seed %d: %v\n  what it left is in %s\n", seed, err, dir)
					continue
				}
				fmt.Fprintf(out, "seed %d: %d asked, %d served, %d refused; %d windows, the most %d; together %v after the end\n", seed, v.Load.Requests, v.Load.Served, v.Load.Rejected, v.Windows, v.MaxSpent, v.Agreed.Round(time.Millisecond))
				_ = os.RemoveAll(dir) // its own
			}
			if failed > 0 {
				return fmt.Errorf("%d of %d seeds failed", failed, seeds)
			}
			return c.Context().Err()
		}}
	f := c.Flags()
	f.StringVar(&program, "program", "bin/standpoint", "the program")
	f.StringVar(&keep, "dir", "", "where failed plays are kept; else the system's folder for such files")
	f.IntVar(&nodes, "nodes", 3, "processes, 3 to 7")
	f.IntVar(&seeds, "seeds", 10, "plays")
	f.Uint64Var(&first, "seed", 1, "the first seed")
	f.DurationVar(&span, "span", 10*time.Second, "of the troubles of each play")
	return c
}

// proofCommand takes guards out and shows that the tests find it.
func proofCommand(out io.Writer) *cobra.Command {
	var root string
	c := &cobra.Command{Use: "proof", Short: "Take the guards of the fleet's deciders out, one by one, in a copy, and show what finds it",
		RunE: func(c *cobra.Command, _ []string) error {
			missed, err := mutation.Run(c.Context(), root, out)
			if err == nil && missed > 0 {
				err = fmt.Errorf("%d guards can go without a test that finds it", missed)
			}
			return err
		}}
	c.Flags().StringVar(&root, "root", ".", "the tree")
	return c
}
