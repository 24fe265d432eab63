package cli

import (
	"fmt"
	"maps"
	"net/http"
	"slices"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"standpoint/internal/fleet"
)

func (o *options) fleetCommand() *cobra.Command {
	c := &cobra.Command{Use: "fleet", Short: "Show how this node stands to its fleet, what it holds of shared budgets, and what is known of the others",
		Long: `Shows the node's mode, its seat and how long it has it, the other seats as last heard, the budgets with what this node may
spend and has spent in the present window, and the fleet's counts with the bounds between which they lie.`,
		Args: invalidUsageArgs(cobra.NoArgs),
		RunE: func(c *cobra.Command, _ []string) error {
			var s fleet.Status
			if err := o.call(c.Context(), http.MethodGet, "/v1/fleet", nil, &s); err != nil {
				return err
			}
			return o.print(s, func() { o.showFleet(s) })
		}}
	o.daemonFlags(c)
	return c
}

func (o *options) showFleet(s fleet.Status) {
	fmt.Fprintf(o.Out, "seat %s, %s for %.1f s; lease of epoch %d for %.0f s more; the store is led by %q\n", s.Slot, s.State, s.StateAge, s.FencingToken, s.LeaseRemaining, s.Leader)
	w := tabwriter.NewWriter(o.Out, 2, 8, 2, ' ', 0)
	fmt.Fprintln(w, "SEAT\tTHERE\tHEARD\tAGE\tTOKENS")
	for _, p := range s.Peers {
		age := "never"
		if p.ReportAge >= 0 {
			age = fmt.Sprintf("%.1f s", p.ReportAge)
		}
		fmt.Fprintf(w, "%s\t%v\t%v\t%s\t%d\n", p.Slot, p.Listed, p.Alive, age, p.Tokens)
	}
	fmt.Fprintln(w, "BUDGET\tRIGHTS\tSPENT\tLENT\tBORROWED\tWANTED")
	for _, b := range s.Budgets {
		fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%.0f\n", b.Budget, b.Quota, b.Spent, b.Lent, b.Borrowed, b.Demand)
	}
	fmt.Fprintln(w, "COUNT\tAT LEAST\tAT MOST\tAGE\tNEVER HEARD")
	for _, key := range slices.Sorted(maps.Keys(s.Counters)) {
		r := s.Counters[key]
		fmt.Fprintf(w, "%s\t%d\t%d\t%.1f s\t%d seats\n", key, r.Lower, r.Upper, float64(r.Age)/1e9, r.Unreported)
	}
	w.Flush()
	for _, d := range s.SuspectBackends {
		fmt.Fprintf(o.Out, "others' evidence speaks against %s\n", d)
	}
	for _, rule := range slices.Sorted(maps.Keys(s.Violations)) {
		fmt.Fprintf(o.Out, "INVARIANT %s did not hold, %d times\n", rule, s.Violations[rule])
	}
}
