package cli

import (
	"fmt"
	"net/http"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"standpoint/internal/entries"
)

func (o *options) entriesCommand() *cobra.Command {
	c := &cobra.Command{Use: "entries", Short: "Show the service entries, and where they come from", Args: faulty(cobra.NoArgs),
		RunE: func(c *cobra.Command, _ []string) error { return c.Help() }}
	o.daemonFlags(c)
	c.AddCommand(&cobra.Command{Use: "list", Short: "List all entries, those that are left out too", Args: faulty(cobra.NoArgs),
		Example: "  standpoint entries list --config deploy/operator.toml",
		RunE: func(c *cobra.Command, _ []string) error {
			var all []entries.Origin
			if err := o.call(c.Context(), http.MethodGet, "/v1/entries", nil, &all); err != nil {
				return err
			}
			return o.print(all, func() {
				w := tabwriter.NewWriter(o.Out, 2, 8, 2, ' ', 0)
				fmt.Fprintln(w, "ENTRY\tADDRESS\tSTATE\tCHANGED\tLEFT OUT")
				for _, e := range all {
					fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\n", e.Name, e.Address, e.State, ago(e.Changed), e.Fault)
				}
				w.Flush()
			})
		}}, &cobra.Command{Use: "explain NAME", Short: "Say where an entry comes from, and why it is left out if it is", Args: faulty(cobra.ExactArgs(1)),
		RunE: func(c *cobra.Command, args []string) error {
			var all []entries.Origin
			if err := o.call(c.Context(), http.MethodGet, "/v1/entries", nil, &all); err != nil {
				return err
			}
			for _, e := range all {
				if e.Name == args[0] || e.Instance == args[0] {
					return o.print(e, func() { o.explain(e) })
				}
			}
			return exit{Failed, fmt.Errorf("no entry %q; standpoint entries list has all", args[0])}
		}})
	return c
}

func (o *options) explain(e entries.Origin) {
	if e.Instance == "" {
		fmt.Fprintf(o.Out, "%s is listed by the operator's file, or by the list that it names\n", e.Name)
	} else {
		fmt.Fprintf(o.Out, "%s is the DNS-SD instance %s\n  told by %s, which last answered %s\n", e.Name, e.Instance, e.Server, ago(e.Looked))
	}
	if e.Fault != "" {
		fmt.Fprintf(o.Out, "  left out since %s: %s\n", ago(e.Changed), e.Fault)
		return
	}
	fmt.Fprintf(o.Out, "  %s at %s, unchanged since %s\n", e.State, e.Address, ago(e.Changed))
	if !e.Started.IsZero() {
		fmt.Fprintf(o.Out, "  last started %s\n", ago(e.Started))
	}
}

func ago(t time.Time) string {
	if t.IsZero() {
		return "-"
	}
	return time.Since(t).Round(100*time.Millisecond).String() + " ago"
}
