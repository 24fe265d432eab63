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
		Short: "Show the token usage of each tenant that this node knows of, and the state of its ledger",
		Args:  usageArgs(cobra.NoArgs),
		RunE:  printResponse(o, "/v1/ledger", o.writeLedger),
	}
	o.registerDaemonFlags(c)
	c.AddCommand(o.ledgerVerifyCommand())
	return c
}

func (o *options) writeLedger(s replication.Status) {
	o.writeTotals(s.Totals)
	fmt.Fprintf(o.Out,
		"%d entries of %d lives, %d bytes; %d charged here, %d from others, %d lacking; %d wait to be written\n",
		s.Entries, s.Sources, s.Bytes, s.Charged, s.Received, s.Unfetched, s.Queued)
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
		Short: "Verify a ledger directory that no process has open",
		Long: `Reads every segment of a ledger and compares each record with its checksum, and the totals with the entries.
Each corruption is printed on a line that begins with DAMAGE, and the exit code is 1. An incomplete last write is no
corruption: it was not charged to any tenant.`,
		Example: "  standpoint ledger verify state/ledger",
		Args:    usageArgs(cobra.ExactArgs(1)),
		RunE:    func(_ *cobra.Command, args []string) error { return o.verifyLedger(args[0]) },
	}
}

// verifyLedger reads the ledger in dir, and prints its totals and its corruptions. Any corruption is an error.
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
		if c.Torn { // a write that a crash interrupted
			fmt.Fprintln(o.Out, "incomplete last write:", c)
			continue
		}
		corrupt = true
		fmt.Fprintln(o.Out, "DAMAGE", c)
	}
	if corrupt || !index.Verify() {
		return errors.New("ledger verify: corrupt records, or totals that do not match the entries")
	}
	fmt.Fprintf(o.Out, "%d entries hold\n", index.Count())
	return nil
}
