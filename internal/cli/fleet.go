package cli

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"time"

	"github.com/spf13/cobra"

	"standpoint/internal/fleet"
)

func (o *options) fleetCommand() *cobra.Command {
	c := &cobra.Command{
		Use:   "fleet",
		Short: "Show this node's fleet membership, its part of the shared budgets, and the state of the other nodes",
		Long: `Shows the node's mode, its seat with the remaining lease in seconds, the last report of each other seat, each
budget with this node's quota and its use in the present window, and the fleet-wide counts with their bounds.`,
		Args: usageArgs(cobra.NoArgs),
		RunE: printResponse(o, "/v1/fleet", o.writeFleet),
	}
	o.registerDaemonFlags(c)
	return c
}

func (o *options) writeFleet(s fleet.Status) {
	fmt.Fprintf(o.Out, "seat %s, %s for %.1f s; lease of epoch %d for %.0f s more; the store is led by %q\n",
		s.Slot, s.State, s.StateAge, s.FencingToken, s.LeaseRemaining, s.Leader)
	o.writeTable("SEAT\tTHERE\tHEARD\tAGE\tTOKENS", func(w io.Writer) {
		writePeers(w, s)
		writeBudgets(w, s)
		writeCounters(w, s)
	})
	for _, backend := range s.SuspectBackends {
		fmt.Fprintf(o.Out, "others' evidence speaks against %s\n", backend)
	}
	for _, rule := range slices.Sorted(maps.Keys(s.Violations)) {
		fmt.Fprintf(o.Out, "INVARIANT %s did not hold, %d times\n", rule, s.Violations[rule])
	}
}

func writePeers(w io.Writer, s fleet.Status) {
	for _, p := range s.Peers {
		age := "never"
		if p.ReportAge >= 0 {
			age = fmt.Sprintf("%.1f s", p.ReportAge)
		}
		fmt.Fprintf(w, "%s\t%v\t%v\t%s\t%d\n", p.Slot, p.Listed, p.Alive, age, p.Tokens)
	}
}

func writeBudgets(w io.Writer, s fleet.Status) {
	fmt.Fprintln(w, "BUDGET\tRIGHTS\tSPENT\tLENT\tBORROWED\tWANTED")
	for _, b := range s.Budgets {
		fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%.0f\n", b.Budget, b.Quota, b.Spent, b.Lent, b.Borrowed, b.Demand)
	}
}

func writeCounters(w io.Writer, s fleet.Status) {
	fmt.Fprintln(w, "COUNT\tAT LEAST\tAT MOST\tAGE\tNEVER HEARD")
	for _, name := range slices.Sorted(maps.Keys(s.Counters)) {
		r := s.Counters[name]
		age := time.Duration(r.Age).Seconds()
		fmt.Fprintf(w, "%s\t%d\t%d\t%.1f s\t%d seats\n", name, r.Lower, r.Upper, age, r.Unreported)
	}
}
