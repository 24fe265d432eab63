package labcli

import (
	"fmt"
	"io"
	"path/filepath"
	"strings"

	"github.com/spf13/cobra"

	"standpoint/internal/lab/experiment"
	"standpoint/internal/lab/load"
)

// runCommand runs an experiment.
func runCommand(out, errs io.Writer) *cobra.Command {
	var dir string
	var seeds int
	var sockets bool
	var program string
	c := &cobra.Command{Use: "run EXPERIMENT",
		Short: "Run an experiment's variants on the same seeds, in virtual time or on sockets, and report",
		Args:  cobra.ExactArgs(1),
		Long: `Runs every variant of a file on the same seeds, with the decision module or a policy that it is
compared with, and writes report.html (a page that needs no other file), report.json and PNG plots.
After Ctrl-C the report covers the seeds that all variants completed. The exit code is 1 if the
module breaks a rule; rules that other policies break are only reported.`,
		Example: "  lab run deploy/lab/policies.toml --dir /tmp/policies",
		RunE: func(c *cobra.Command, args []string) error {
			f, err := experiment.Read(args[0])
			if err != nil {
				return err
			}
			if seeds > 0 {
				f.Seeds = seeds
			}
			if dir == "" {
				dir = strings.TrimSuffix(filepath.Base(args[0]), filepath.Ext(args[0])) + "-report"
			}
			var r *experiment.Report
			if sockets {
				if program == "" {
					program = siblingProgram("standpoint")
				}
				r, err = experiment.RunOnSockets(c.Context(), f, program, filepath.Join(dir, "nodes"), errs)
			} else {
				r, err = experiment.Run(c.Context(), f, errs)
			}
			if err != nil {
				return err
			}
			raw, err := r.JSON()
			if err != nil {
				return err
			}
			if err := r.Save(dir, raw); err != nil {
				return err
			}
			r.Write(out)
			fmt.Fprintln(out, filepath.Join(dir, "report.html"))
			if r.ModuleBrokeRules() {
				return fmt.Errorf("the module broke rules; see the report")
			}
			return nil
		}}
	c.Flags().StringVar(&dir, "dir", "",
		"directory for the report; empty: one in the working directory, named after the file")
	c.Flags().BoolVar(&sockets, "sockets", false,
		"run the daemon as processes and emulated backends on sockets, in real time")
	c.Flags().StringVar(&program, "program", "",
		"with --sockets: path of the daemon's program; empty: standpoint in the directory of this program")
	c.Flags().IntVar(&seeds, "seeds", 0, "number of seeds, in place of the file's")
	return c
}

// compareCommand compares two reports.
func compareCommand(out io.Writer) *cobra.Command {
	var minChange float64
	c := &cobra.Command{Use: "compare BEFORE AFTER",
		Short: "Compare two reports, seed by seed; the exit code is 1 on a regression that the intervals support",
		Args:  cobra.ExactArgs(2),
		RunE: func(_ *cobra.Command, args []string) error {
			before, err := load.ReadFile[experiment.Report](args[0])
			if err != nil {
				return err
			}
			after, err := load.ReadFile[experiment.Report](args[1])
			if err != nil {
				return err
			}
			found, err := experiment.Regressions(before, after, minChange)
			if err != nil {
				return err
			}
			for _, line := range found {
				fmt.Fprintln(out, line)
			}
			if len(found) > 0 {
				return fmt.Errorf("%d regressions", len(found))
			}
			fmt.Fprintln(out, "no regression")
			return nil
		}}
	c.Flags().Float64Var(&minChange, "least", 0.005,
		"smallest change of a metric that counts as a regression, as a share of its value before")
	return c
}
