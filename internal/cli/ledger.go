package cli

import (
	"errors"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"

	"github.com/spf13/cobra"

	"standpoint/internal/fleet/ledger"
	"standpoint/internal/fleet/ledger/replication"
)

func (o *options) ledgerCommand() *cobra.Command {
	c := &cobra.Command{
		Use:   "ledger",
		Short: "Show what tenants have used, as far as this node knows, and how its ledger stands",
		Args:  usageArgs(cobra.NoArgs),
		RunE:  printAnswer(o, "/v1/ledger", o.writeLedger),
	}
	o.registerDaemonFlags(c)
	c.AddCommand(o.ledgerVerifyCommand())
	return c
}

func (o *options) writeLedger(s replication.Status) {
	o.writeTotals(s.Totals)
	fmt.Fprintf(o.Out,
		"%d entries of %d lives, %d bytes; %d charged here, %d from others, %d lacking; %d wait to be written\n",
		s.Entries, s.Sources, s.Bytes, s.Charged, s.Received, s.Missing, s.Queued)
	for _, corruption := range s.Corruptions {
		fmt.Fprintln(o.Out, "DAMAGE", corruption)
	}
}

func (o *options) writeTotals(totals map[string]ledger.Totals) {
	o.writeTable("TENANT\tENTRIES\tIN\tKEPT\tOUT", func(w io.Writer) {
		for _, tenant := range slices.Sorted(maps.Keys(totals)) {
			t := totals[tenant]
			fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\n", tenant, t.Entries, t.InputTokens, t.CachedTokens, t.OutputTokens)
		}
	})
}

func (o *options) ledgerVerifyCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "verify DIR",
		Short: "Read a ledger's folder, that no process has open, and say whether it holds",
		Long: `Reads every segment of a ledger and holds each record against its checksum, and the sums against the entries. Exit code 1: something
does not hold; it is named. A last write that was not finished is no damage: it was charged to nobody.`,
		Example: "  standpoint ledger verify state/ledger",
		Args:    usageArgs(cobra.ExactArgs(1)),
		RunE:    func(_ *cobra.Command, args []string) error { return o.verifyLedger(args[0]) },
	}
}

func (o *options) verifyLedger(dir string) error {
	if _, err := os.Stat(dir); err != nil {
		return exitError{InvalidUsage, err}
	}
	index := ledger.NewIndex(nil)
	corruptions, err := ledger.Inspect(dir, func(e *ledger.Entry) { index.Add(e) })
	if err != nil {
		return err
	}
	o.writeTotals(index.Totals())
	corrupt := false
	for _, c := range corruptions {
		if c.Torn { // a write that a crash cut off
			fmt.Fprintln(o.Out, "not finished:", c)
			continue
		}
		corrupt = true
		fmt.Fprintln(o.Out, "DAMAGE", c)
	}
	if corrupt || !index.Verify() {
		return errors.New("the ledger does not hold")
	}
	fmt.Fprintf(o.Out, "%d entries hold\n", index.Count())
	return nil
}
