package cli

import (
	"errors"
	"fmt"
	"maps"
	"net/http"
	"os"
	"slices"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"standpoint/internal/fleet/ledger"
	"standpoint/internal/fleet/ledger/replication"
)

func (o *options) ledgerCommand() *cobra.Command {
	c := &cobra.Command{Use: "ledger", Short: "Show what tenants have used, as far as this node knows, and how its ledger stands", Args: invalidUsageArgs(cobra.NoArgs),
		RunE: func(c *cobra.Command, _ []string) error {
			var s replication.Status
			if err := o.call(c.Context(), http.MethodGet, "/v1/ledger", nil, &s); err != nil {
				return err
			}
			return o.print(s, func() {
				o.showSums(s.Totals)
				fmt.Fprintf(o.Out, "%d entries of %d lives, %d bytes; %d charged here, %d from others, %d lacking; %d wait to be written\n",
					s.Entries, s.Sources, s.Bytes, s.Charged, s.Received, s.Missing, s.Queued)
				for _, d := range s.Corruptions {
					fmt.Fprintln(o.Out, "DAMAGE", d)
				}
			})
		}}
	o.daemonFlags(c)
	c.AddCommand(&cobra.Command{Use: "verify DIR", Short: "Read a ledger's folder, that no process has open, and say whether it holds",
		Long: `Reads every segment of a ledger and holds each record against its checksum, and the sums against the entries. Exit code 1: something
does not hold; it is named. A last write that was not finished is no damage: it was charged to nobody.`,
		Example: "  standpoint ledger verify state/ledger", Args: invalidUsageArgs(cobra.ExactArgs(1)),
		RunE: func(_ *cobra.Command, args []string) error {
			if _, err := os.Stat(args[0]); err != nil {
				return exit{InvalidUsage, err}
			}
			book := ledger.NewIndex(nil)
			damages, err := ledger.Inspect(args[0], func(e *ledger.Entry) { book.Add(e) })
			if err != nil {
				return err
			}
			o.showSums(book.Totals())
			bad := 0
			for _, d := range damages {
				if d.Torn {
					fmt.Fprintln(o.Out, "not finished:", d)
					continue
				}
				bad++
				fmt.Fprintln(o.Out, "DAMAGE", d)
			}
			if bad > 0 || !book.Verify() {
				return errors.New("the ledger does not hold")
			}
			fmt.Fprintf(o.Out, "%d entries hold\n", book.Count())
			return nil
		}})
	return c
}

func (o *options) showSums(sums map[string]ledger.Totals) {
	w := tabwriter.NewWriter(o.Out, 2, 8, 2, ' ', 0)
	fmt.Fprintln(w, "TENANT\tENTRIES\tIN\tKEPT\tOUT")
	for _, tenant := range slices.Sorted(maps.Keys(sums)) {
		s := sums[tenant]
		fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\n", tenant, s.Entries, s.InputTokens, s.CachedTokens, s.OutputTokens)
	}
	w.Flush()
}
