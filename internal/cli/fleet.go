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
		Args: faulty(cobra.NoArgs),
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
	fmt.Fprintf(o.Out, "seat %s, %s for %.1f s; lease of epoch %d for %.0f s more; the store is led by %q\n", s.Seat, s.Mode, s.Since, s.Epoch, s.Lease, s.Leader)
	w := tabwriter.NewWriter(o.Out, 2, 8, 2, ' ', 0)
	fmt.Fprintln(w, "SEAT\tTHERE\tHEARD\tAGE\tTOKENS")
	for _, p := range s.Peers {
		age := "never"
		if p.Age >= 0 {
			age = fmt.Sprintf("%.1f s", p.Age)
		}
		fmt.Fprintf(w, "%s\t%v\t%v\t%s\t%d\n", p.Seat, p.There, p.Heard, age, p.Tokens)
	}
	fmt.Fprintln(w, "BUDGET\tRIGHTS\tSPENT\tLENT\tBORROWED\tWANTED")
	for _, b := range s.Budgets {
		fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%.0f\n", b.Budget, b.Rights, b.Spent, b.Lent, b.Held, b.Wanted)
	}
	fmt.Fprintln(w, "COUNT\tAT LEAST\tAT MOST\tAGE\tNEVER HEARD")
	for _, key := range slices.Sorted(maps.Keys(s.Counts)) {
		r := s.Counts[key]
		fmt.Fprintf(w, "%s\t%d\t%d\t%.1f s\t%d seats\n", key, r.Lower, r.Upper, float64(r.Age)/1e9, r.Silent)
	}
	w.Flush()
	for _, d := range s.Doubted {
		fmt.Fprintf(o.Out, "others' evidence speaks against %s\n", d)
	}
	for _, rule := range slices.Sorted(maps.Keys(s.Breaches)) {
		fmt.Fprintf(o.Out, "INVARIANT %s did not hold, %d times\n", rule, s.Breaches[rule])
	}
}
