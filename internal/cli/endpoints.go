package cli

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"time"

	"github.com/spf13/cobra"

	"standpoint/internal/dnssd/record"
	"standpoint/internal/dnssd/resolver"
	"standpoint/internal/endpoints"
)

const entriesPath = "/v1/entries"

func (o *options) endpointsCommand() *cobra.Command {
	c := group("entries", "Show the endpoints and their sources", "")
	o.registerDaemonFlags(c)
	c.AddCommand(
		o.endpointsListCommand(),
		o.endpointsExplainCommand(),
		o.endpointsWatchCommand(),
		o.servicesCommand(),
	)
	return c
}

// origins returns all endpoints, including those that are left out of routing because of a fault.
func (o *options) origins(ctx context.Context) ([]endpoints.Origin, error) {
	var all []endpoints.Origin
	err := o.call(ctx, http.MethodGet, entriesPath, nil, &all)
	return all, err
}

func (o *options) endpointsListCommand() *cobra.Command {
	return &cobra.Command{
		Use:     "list",
		Short:   "List all entries, including those that are left out because of a fault",
		Example: "  standpoint entries list --config deploy/operator.toml",
		Args:    usageArgs(cobra.NoArgs),
		RunE:    printResponse(o, entriesPath, o.writeOrigins),
	}
}

func (o *options) writeOrigins(all []endpoints.Origin) {
	o.writeTable("ENTRY\tADDRESS\tSTATE\tNEWS\tTTL\tCHANGED\tLEFT OUT", func(w io.Writer) {
		for _, e := range all {
			fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\t%s\n", e.Name, orDash(e.Address), formatState(e),
				orDash(e.Mechanism), formatTTL(e), formatAge(e.ChangedAt), e.Fault)
		}
	})
}

func (o *options) endpointsExplainCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "explain NAME",
		Short: "Show the source of an entry, and the reason if it is left out",
		Args:  usageArgs(cobra.ExactArgs(1)),
		RunE: func(c *cobra.Command, args []string) error {
			all, err := o.origins(c.Context())
			if err != nil {
				return err
			}
			matches := func(e endpoints.Origin) bool { return e.Name == args[0] || e.Instance == args[0] }
			i := slices.IndexFunc(all, matches)
			if i < 0 {
				return exitError{Failed, fmt.Errorf("entry %q: not found; standpoint entries list shows all entries", args[0])}
			}
			return o.print(all[i], func() { explain(o.Out, all[i]) })
		},
	}
}

// explain writes the source of an endpoint and its state.
func explain(w io.Writer, e endpoints.Origin) {
	explainSource(w, e)
	if e.Fault != "" {
		fmt.Fprintf(w, "  left out since %s: %s\n", formatAge(e.ChangedAt), e.Fault)
		return
	}
	fmt.Fprintf(w, "  %s at %s, unchanged since %s\n", e.State, e.Address, formatAge(e.ChangedAt))
	if e.TTL > 0 {
		fmt.Fprintf(w, "  its records have a TTL of %s, until %s\n", formatTTL(e), e.ExpiresAt.Format(time.TimeOnly))
	}
	if e.Stale {
		fmt.Fprintf(w, "  stale: its records have expired, so other entries are preferred to it\n")
	}
	if !e.StartedAt.IsZero() {
		fmt.Fprintf(w, "  last started %s\n", formatAge(e.StartedAt))
	}
}

func explainSource(w io.Writer, e endpoints.Origin) {
	switch {
	case e.Mechanism == endpoints.MechanismStore:
		fmt.Fprintf(w, "%s is from the persisted list; %s has not confirmed it since this node started\n", e.Name, e.Server)
	case e.Instance == "":
		fmt.Fprintf(w, "%s is listed by the operator's file, or by the list that it names\n", e.Name)
	default:
		fmt.Fprintf(w, "%s is the DNS-SD instance %s\n", e.Name, e.Instance)
		fmt.Fprintf(w, "  listed by %s, last confirmed %s; changes are discovered by %s\n", e.Server,
			formatAge(e.CheckedAt), e.Mechanism)
	}
}

// servicesCommand returns the command that queries a DNS server for the services of a domain (RFC 6763, section 9).
func (o *options) servicesCommand() *cobra.Command {
	var server string
	c := &cobra.Command{
		Use:     "services DOMAIN",
		Short:   "Query a DNS server for the service types of a domain",
		Example: "  standpoint entries services hall-a.example.org --server 127.0.0.1:5353",
		Args:    usageArgs(cobra.ExactArgs(1)),
		RunE: func(c *cobra.Command, args []string) error {
			client := &resolver.Client{Server: server}
			response, err := client.Query(c.Context(), record.EnumerationName(args[0]), record.PTR)
			if err != nil {
				return exitError{Failed, err}
			}
			var services []string
			for _, record := range response.Records {
				services = append(services, record.Target)
			}
			slices.Sort(services)
			return o.printLines(services)
		},
	}
	c.Flags().StringVar(&server, "server", "127.0.0.1:53", "address of the DNS server, host:port")
	return c
}

func orDash(text string) string { return firstNonEmpty(text, "-") }

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

// formatAge returns how long ago t was, to 100 ms, or "-" for the zero time.
func formatAge(t time.Time) string {
	if t.IsZero() {
		return "-"
	}
	return time.Since(t).Round(100*time.Millisecond).String() + " ago"
}
