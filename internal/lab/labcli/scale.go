package labcli

import (
	"fmt"
	"io"
	"time"

	"github.com/spf13/cobra"

	"standpoint/internal/lab"
	"standpoint/internal/lab/experiment"
	"standpoint/internal/lab/load"
)

// scaleCommand compares policies over fleet sizes.
func scaleCommand(out, _ io.Writer) *cobra.Command {
	var sizes, nodes string
	var seeds int
	var perBackend float64
	var duration time.Duration
	var policies []string
	c := &cobra.Command{Use: "scale",
		Short: "Compare the module with other policies as the fleet grows, at equal load per backend",
		Args:  cobra.NoArgs,
		Example: "  lab scale --sizes 10,100,1000,3000 --seeds 4\n" +
			"  lab scale --sizes 1000 --nodes 50 --per-box 20 --for 5s --seeds 1",
		RunE: func(c *cobra.Command, _ []string) error {
			var backendCounts, nodeCounts []float64
			if err := parseNumbers(sizes, &backendCounts); err != nil {
				return fmt.Errorf("--sizes: %w", err)
			}
			if err := parseNumbers(nodes, &nodeCounts); err != nil {
				return fmt.Errorf("--nodes: %w", err)
			}
			for i, n := range backendCounts {
				f := &experiment.File{Name: "scale", Seeds: seeds, FirstSeed: 1, Settle: load.Duration(10 * time.Second),
					Duration: load.Duration(duration)}
				f.Parameters = experiment.Parameters{Backends: int(n),
					Nodes: int(nodeCounts[min(i, len(nodeCounts)-1)]), Pattern: fmt.Sprintf("steady(%g)", n*perBackend)}
				for _, p := range policies {
					f.Variants = append(f.Variants, experiment.Variant{Name: p,
						Parameters: experiment.Parameters{Policy: p}})
				}
				began := time.Now()
				r, err := experiment.Run(c.Context(), f, nil)
				if err != nil {
					return err
				}
				elapsed := time.Since(began).Seconds()
				virtual := float64(len(r.Variants[0].Runs)*len(policies)) * (duration.Seconds() + 22)
				fmt.Fprintf(out, "%g boxes, %d nodes, %g requests a second: %.1f virtual seconds a real one\n", n,
					f.Nodes, n*perBackend, virtual/elapsed)
				r.Write(out)
			}
			return nil
		}}
	f := c.Flags()
	f.StringVar(&sizes, "sizes", "10,100,1000,3000", "numbers of backends")
	f.StringVar(&nodes, "nodes", "3", "number of nodes for each size; the last one holds for the remaining sizes")
	f.Float64Var(&perBackend, "per-box", 3, "requests per second for each backend")
	f.IntVar(&seeds, "seeds", 4, "number of seeds")
	f.DurationVar(&duration, "for", 20*time.Second,
		"measured time of each run, in virtual time, after 10s that are not measured")
	f.StringSliceVar(&policies, "policies", []string{"module", "ceiling", "prefix", "two_choices", "random"},
		fmt.Sprint("policies to compare, of ", lab.Policies))
	return c
}
