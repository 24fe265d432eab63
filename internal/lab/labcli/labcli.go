// Package labcli is the command line of the lab tools: simulations, emulated backends, load generation and
// measurements.
package labcli

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"slices"
	"time"

	"github.com/spf13/cobra"

	"standpoint/internal/lab"
)

// Main runs the command line and returns the exit code.
func Main(ctx context.Context, args []string, out, errs io.Writer) int {
	root := &cobra.Command{Use: "lab",
		Short:         "Simulations in virtual time, emulated backends on sockets, load generation and measurements",
		SilenceErrors: true, SilenceUsage: true}
	root.SetOut(out)
	root.SetErr(errs)
	root.AddCommand(movesCommand(out, errs), boxesCommand(errs), pokeCommand(), stageCommand(out, errs),
		dnsCommand(errs),
		freshCommand(out), discoveryCommand(out, errs), loadCommand(out, errs),
		runCommand(out, errs), compareCommand(out), scaleCommand(out, errs), fleetCommand(out), rigCommand(out),
		proofCommand(out))
	root.SetArgs(args)
	if err := root.ExecuteContext(ctx); err != nil {
		fmt.Fprintln(errs, "lab:", err)
		return 1
	}
	return 0
}

// movesCommand simulates migrations with faults.
func movesCommand(out, errs io.Writer) *cobra.Command {
	var runs int
	var seed uint64
	var large, thresholds bool
	var file string
	var faultNames []string
	c := &cobra.Command{Use: "moves",
		Short:   "Simulate migrations between two pools in virtual time, in seeded runs with and without faults",
		Example: "  lab moves --runs 300 --fixed\n  lab moves --runs 30 --large --trouble 'slower 2x'",
		RunE: func(c *cobra.Command, _ []string) error {
			s := lab.Study{Runs: runs, FirstSeed: seed, Setup: lab.SmallSetup(), Faults: lab.StandardFaults(),
				MaxDuration: 260, RunAfterFault: 100, Settle: 30, WithThresholds: thresholds}
			s.Plan = s.Setup.Plan()
			if large { // the higher rate gives samples faster, so steps are shorter
				s.Setup = lab.LargeSetup()
				s.Plan.MinHold, s.Plan.MinWarmUp, s.Settle, s.MaxDuration, s.RunAfterFault = 6*time.Second, 5*time.Second, 5,
					100, 25
			}
			if faultNames != nil {
				var selected []lab.Fault
				for _, t := range s.Faults {
					if slices.Contains(faultNames, t.Name) {
						selected = append(selected, t)
					}
				}
				if selected == nil {
					return fmt.Errorf("--trouble: %q names no known fault", faultNames)
				}
				s.Faults = selected
			}
			all, err := s.Run(c.Context(), errs)
			lab.WriteTable(out, all)
			if err != nil || file == "" {
				return err
			}
			raw, err := json.MarshalIndent(all, "", "  ")
			if err != nil {
				return err
			}
			return os.WriteFile(file, append(raw, '\n'), 0o644)
		}}
	f := c.Flags()
	f.IntVar(&runs, "runs", 40, "number of seeded runs for each fault")
	f.Uint64Var(&seed, "seed", 1, "first seed")
	f.BoolVar(&large, "large", false,
		"simulate 500 requests per second and pools of 200 backends, in place of 18 and 9")
	f.BoolVar(&thresholds, "fixed", false, "also run drivers with fixed thresholds, on the same seeds")
	f.StringVar(&file, "json", "", "file for the results as JSON")
	f.StringSliceVar(&faultNames, "trouble", nil, "names of the faults to simulate; all if not given")
	return c
}
