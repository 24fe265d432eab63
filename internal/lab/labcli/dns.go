package labcli

import (
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"standpoint/internal/lab"
	"standpoint/internal/lab/responder"
	"standpoint/internal/lab/stage"
)

// dnsCommand runs a DNS-SD responder.
func dnsCommand(errs io.Writer) *cobra.Command {
	var commandAddress string
	var duration time.Duration
	c := &cobra.Command{Use: "dns FILE",
		Short: "Run a DNS-SD responder for a zone on loopback sockets, with queries, push and mDNS",
		Args:  cobra.ExactArgs(1),
		Long: `Answers queries for the zone of a file, over UDP and TCP, sends push notifications over TCP (and
over TLS with a certificate) and mDNS messages over loopback unicast. Faults come from the file's
[[event]] sections, or from "lab poke".`,
		Example: "  lab dns deploy/lab/hall-a.toml --hand 127.0.0.1:9901\n" +
			"  lab poke --hand 127.0.0.1:9901 withdraw box-1\n" +
			"  lab poke --hand 127.0.0.1:9901 loss 0.3",
		RunE: func(c *cobra.Command, args []string) error {
			z, err := responder.ReadFile(args[0])
			if err != nil {
				return err
			}
			r, err := z.Start()
			if err != nil {
				return err
			}
			defer func() { _ = r.Close() }()
			closeCommands, err := serveCommands(commandAddress, r)
			if err != nil {
				return err
			}
			defer closeCommands()
			fmt.Fprintf(errs, "%s: look-ups and push at %s, mDNS messages at %s", z.Domain, r.Address, r.MDNSAddress)
			if r.TLSAddress != "" {
				fmt.Fprintf(errs, ", push over TLS at %s", r.TLSAddress)
			}
			fmt.Fprintln(errs)
			select {
			case <-c.Context().Done():
			case <-time.After(duration):
			}
			return nil
		}}
	c.Flags().StringVar(&commandAddress, "hand", "",
		"loopback address (host:port) at which lab poke reaches the responder; empty: none")
	c.Flags().DurationVar(&duration, "for", time.Hour, "time after which the responder stops")
	return c
}

// freshCommand simulates a cold backend that joins.
func freshCommand(out io.Writer) *cobra.Command {
	s := lab.NewBackendStudy{}
	c := &cobra.Command{Use: "fresh",
		Short:   "Simulate a cold backend that joins an overloaded fleet, and measure the load that it gets",
		Args:    cobra.NoArgs,
		Example: "  lab fresh --runs 200\n  lab fresh --runs 200 --nodes 10 --rate 60 --boxes 20",
		RunE: func(c *cobra.Command, _ []string) error {
			lab.WriteNewBackendResults(out, s, s.Run(c.Context()))
			return c.Context().Err()
		}}
	f := c.Flags()
	f.IntVar(&s.Runs, "runs", 100, "number of seeded runs")
	f.Uint64Var(&s.FirstSeed, "seed", 1, "first seed")
	f.IntVar(&s.Nodes, "nodes", 3, "number of nodes")
	f.IntVar(&s.Backends, "boxes", 9, "number of backends before the new one")
	f.Float64Var(&s.Rate, "rate", 30, "requests per second; usual load is 2 per backend")
	f.Float64Var(&s.MaxListDelay, "late", 0.5, "seconds within which all nodes learn of the backend")
	f.IntVar(&s.AssumedNodes, "reckoned", 0, "number of nodes that each node assumes; 0: the true number")
	return c
}

// discoveryCommand measures discovery.
func discoveryCommand(out, errs io.Writer) *cobra.Command {
	o := stage.DiscoveryOptions{Out: errs}
	var mechanisms, lossRates, zoneSizes string
	c := &cobra.Command{Use: "discovery",
		Short: "Measure withdrawals under load, or the cost of discovery, with the daemon as a process",
		Args:  cobra.NoArgs,
		Example: "  lab discovery --withdrawals 1000 --ways poll,push,mdns --loss 0,0.1,0.3\n" +
			"  lab discovery --cost --sizes 10,200,2000",
		RunE: func(c *cobra.Command, _ []string) error {
			if o.Program == "" {
				o.Program = siblingProgram("standpoint")
			}
			o.Mechanisms = strings.Split(mechanisms, ",")
			if err := parseNumbers(lossRates, &o.LossRates); err != nil {
				return fmt.Errorf("--loss: %w", err)
			}
			var n []float64
			if err := parseNumbers(zoneSizes, &n); err != nil {
				return fmt.Errorf("--sizes: %w", err)
			}
			for _, v := range n {
				o.ZoneSizes = append(o.ZoneSizes, int(v))
			}
			if o.MeasureCost {
				return stage.Cost(c.Context(), o, out)
			}
			return stage.Withdrawals(c.Context(), o, out)
		}}
	f := c.Flags()
	f.StringVar(&o.Dir, "dir", "discovery", "directory for the operator file, the control socket and the log")
	f.StringVar(&o.Program, "program", "",
		"path of the daemon's program; empty: standpoint in the directory of this program")
	f.IntVar(&o.Withdrawals, "withdrawals", 1000, "number of withdrawals for each mechanism and loss")
	f.StringVar(&mechanisms, "ways", "poll,push,mdns",
		"mechanisms: poll, push, mdns, plain (polls a zone without a serial), all (polls all records every time)")
	f.StringVar(&lossRates, "loss", "0,0.1,0.3", "shares of the packets that are lost, in each direction")
	f.Float64Var(&o.Rate, "rate", 400, "requests per second")
	f.BoolVar(&o.MeasureCost, "cost", false,
		"measure DNS questions per second, and the daemon's CPU time and memory, in a zone without changes instead")
	f.StringVar(&zoneSizes, "sizes", "10,200,2000", "with --cost: numbers of backends in the zone")
	f.DurationVar(&o.Duration, "for", 10*time.Second, "with --cost: duration of each measurement")
	return c
}

// parseNumbers appends the numbers of a comma-separated list.
func parseNumbers(text string, to *[]float64) error {
	for _, part := range strings.Split(text, ",") {
		var v float64
		if _, err := fmt.Sscanf(part, "%g", &v); err != nil {
			return fmt.Errorf("%q is not a number", part)
		}
		*to = append(*to, v)
	}
	return nil
}
