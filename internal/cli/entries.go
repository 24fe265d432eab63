package cli

import (
	"fmt"
	"net/http"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"standpoint/internal/endpoints"
	"standpoint/internal/find/dnssd"
	"standpoint/internal/find/lookup"
)

func (o *options) entriesCommand() *cobra.Command {
	c := &cobra.Command{Use: "entries", Short: "Show the endpoints, and where they come from", Args: invalidUsageArgs(cobra.NoArgs),
		RunE: func(c *cobra.Command, _ []string) error { return c.Help() }}
	o.daemonFlags(c)
	c.AddCommand(&cobra.Command{Use: "list", Short: "List all entries, those that are left out too", Args: invalidUsageArgs(cobra.NoArgs),
		Example: "  standpoint entries list --config deploy/operator.toml",
		RunE: func(c *cobra.Command, _ []string) error {
			var all []endpoints.Origin
			if err := o.call(c.Context(), http.MethodGet, "/v1/entries", nil, &all); err != nil {
				return err
			}
			return o.print(all, func() {
				w := tabwriter.NewWriter(o.Out, 2, 8, 2, ' ', 0)
				fmt.Fprintln(w, "ENTRY\tADDRESS\tSTATE\tNEWS\tTTL\tCHANGED\tLEFT OUT")
				for _, e := range all {
					fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\t%s\n", e.Name, orDash(e.Address), formatState(e), orDash(e.News), formatTTL(e), formatAge(e.Changed), e.Fault)
				}
				w.Flush()
			})
		}}, &cobra.Command{Use: "explain NAME", Short: "Say where an entry comes from, and why it is left out if it is", Args: invalidUsageArgs(cobra.ExactArgs(1)),
		RunE: func(c *cobra.Command, args []string) error {
			var all []endpoints.Origin
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
	c.AddCommand(o.watchEntries(), o.servicesCommand())
	return c
}

// watchEntries prints what changes, a line each, until it is ended.
func (o *options) watchEntries() *cobra.Command {
	var every time.Duration
	c := &cobra.Command{Use: "watch", Short: "Print every change of the entries as it is seen, until Ctrl-C", Args: invalidUsageArgs(cobra.NoArgs),
		Long: `Prints a line for each entry that comes, goes, or changes its address, its state, the way its news comes or why it
is left out. With -o json each line is an object.`,
		RunE: func(c *cobra.Command, _ []string) error {
			if every < 50*time.Millisecond {
				return exit{InvalidUsage, fmt.Errorf("--every: %v is shorter than 50ms", every)}
			}
			known := map[string]endpoints.Origin{}
			for first := true; ; first = false {
				var all []endpoints.Origin
				if err := o.call(c.Context(), http.MethodGet, "/v1/entries", nil, &all); err != nil {
					if c.Context().Err() != nil {
						return nil
					}
					return err
				}
				for _, change := range endpointChanges(known, all, first) {
					if err := o.print(change, func() { fmt.Fprintln(o.Out, change) }); err != nil {
						return err
					}
				}
				select {
				case <-c.Context().Done():
					return nil
				case <-time.After(every):
				}
			}
		}}
	c.Flags().DurationVar(&every, "every", 250*time.Millisecond, "between two looks")
	return c
}

// EndpointChange is a line of entries watch.
type EndpointChange struct {
	At       time.Time        `json:"at"`
	Kind     string           `json:"what"` // there, new, changed or gone
	Endpoint endpoints.Origin `json:"entry"`
}

// String implements fmt.Stringer.
func (c EndpointChange) String() string {
	s := fmt.Sprintf("%s %-7s %s", c.At.Format("15:04:05.000"), c.Kind, c.Endpoint.Name)
	if c.Kind == "gone" {
		return s
	}
	if c.Endpoint.Fault != "" {
		return s + ", left out: " + c.Endpoint.Fault
	}
	return s + fmt.Sprintf(" %s at %s, by %s", formatState(c.Endpoint), c.Endpoint.Address, orDash(c.Endpoint.News))
}

// endpointChanges compares two lists, and brings known up to date.
func endpointChanges(known map[string]endpoints.Origin, all []endpoints.Origin, first bool) (changes []EndpointChange) {
	now := time.Now()
	here := map[string]bool{}
	for _, e := range all {
		here[e.Name] = true
		was, ok := known[e.Name]
		known[e.Name] = e
		same := was.Address == e.Address && was.State == e.State && was.Fault == e.Fault && was.News == e.News &&
			was.Started.Equal(e.Started) && was.Stale == e.Stale
		switch {
		case first:
			changes = append(changes, EndpointChange{now, "there", e})
		case !ok:
			changes = append(changes, EndpointChange{now, "new", e})
		case !same:
			changes = append(changes, EndpointChange{now, "changed", e})
		}
	}
	for name, e := range known {
		if !here[name] {
			delete(known, name)
			changes = append(changes, EndpointChange{now, "gone", e})
		}
	}
	return changes
}

// servicesCommand asks a server which services a domain has (RFC 6763, 9).
func (o *options) servicesCommand() *cobra.Command {
	var server string
	c := &cobra.Command{Use: "services DOMAIN", Short: "Ask a DNS server which services a domain offers", Args: invalidUsageArgs(cobra.ExactArgs(1)),
		Example: "  standpoint entries services hall-a.example.org --server 127.0.0.1:5353",
		RunE: func(c *cobra.Command, args []string) error {
			client := &lookup.Client{Server: server}
			a, err := client.Ask(c.Context(), dnssd.Enumeration(args[0]), dnssd.PTR)
			if err != nil {
				return exit{Failed, err}
			}
			all := []string{}
			for _, r := range a.Records {
				all = append(all, r.Target)
			}
			slices.Sort(all)
			return o.print(all, func() {
				for _, name := range all {
					fmt.Fprintln(o.Out, name)
				}
			})
		}}
	c.Flags().StringVar(&server, "server", "127.0.0.1:53", "the server")
	return c
}

func orDash(s string) string {
	if s == "" {
		return "-"
	}
	return s
}

func formatState(e endpoints.Origin) string {
	if e.Stale {
		return e.State + ", stale"
	}
	return orDash(e.State)
}

func formatTTL(e endpoints.Origin) string {
	if e.TTL == 0 {
		return "-"
	}
	return (time.Duration(e.TTL) * time.Second).String()
}

func (o *options) explain(e endpoints.Origin) {
	if e.News == "store" {
		fmt.Fprintf(o.Out, "%s is as the store last had it; %s has not told since this node started\n", e.Name, e.Server)
	} else if e.Instance == "" {
		fmt.Fprintf(o.Out, "%s is listed by the operator's file, or by the list that it names\n", e.Name)
	} else {
		fmt.Fprintf(o.Out, "%s is the DNS-SD instance %s\n  told by %s, which last answered %s; news comes by %s\n", e.Name, e.Instance, e.Server, formatAge(e.Looked), e.News)
	}
	if e.Fault != "" {
		fmt.Fprintf(o.Out, "  left out since %s: %s\n", formatAge(e.Changed), e.Fault)
		return
	}
	fmt.Fprintf(o.Out, "  %s at %s, unchanged since %s\n", e.State, e.Address, formatAge(e.Changed))
	if e.TTL > 0 {
		fmt.Fprintf(o.Out, "  its records live %s, until %s\n", formatTTL(e), e.Until.Format(time.TimeOnly))
	}
	if e.Stale {
		fmt.Fprintf(o.Out, "  stale: its records' time is over, so it is tried last\n")
	}
	if !e.Started.IsZero() {
		fmt.Fprintf(o.Out, "  last started %s\n", formatAge(e.Started))
	}
}

func formatAge(t time.Time) string {
	if t.IsZero() {
		return "-"
	}
	return time.Since(t).Round(100*time.Millisecond).String() + " ago"
}
