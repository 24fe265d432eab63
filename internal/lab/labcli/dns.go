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

func dnsCommand(errs io.Writer) *cobra.Command {
	var commandAddress string
	var duration time.Duration
	c := &cobra.Command{Use: "dns FILE", Short: "Run a DNS-SD responder for a zone on loopback: look-ups, push, mDNS messages", Args: cobra.ExactArgs(1),
		Long: `Answers for the zone of a file, over UDP and TCP, by push over TCP (and over TLS with a certificate), and with mDNS
messages over loopback unicast. What goes wrong, and when, is in the file's [faults] and [[event]] sections, or is
brought about by "lab poke".`,
		Example: "  lab dns deploy/lab/hall-a.toml --hand 127.0.0.1:9901\n  lab poke --hand 127.0.0.1:9901 withdraw box-1\n  lab poke --hand 127.0.0.1:9901 loss 0.3",
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
			fmt.Fprintf(errs, "%s: look-ups and push at %s, mDNS messages at %s", z.Domain, r.Address, r.MDNS)
			if r.Secure != "" {
				fmt.Fprintf(errs, ", push over TLS at %s", r.Secure)
			}
			fmt.Fprintln(errs)
			select {
			case <-c.Context().Done():
			case <-time.After(duration):
			}
			return nil
		}}
	c.Flags().StringVar(&commandAddress, "hand", "", "a loopback address at which lab poke reaches the responder")
	c.Flags().DurationVar(&duration, "for", time.Hour, "after which it ends")
	return c
}

func freshCommand(out io.Writer) *cobra.Command {
	s := lab.NewBackendStudy{}
	c := &cobra.Command{Use: "fresh", Short: "Measure what is sent to a box that appears, cold, before overloaded ones", Args: cobra.NoArgs,
		Example: "  lab fresh --runs 200\n  lab fresh --runs 200 --nodes 10 --rate 60 --boxes 20",
		RunE: func(c *cobra.Command, _ []string) error {
			lab.WriteNewBackendResults(out, s, s.Run(c.Context()))
			return c.Context().Err()
		}}
	f := c.Flags()
	f.IntVar(&s.Runs, "runs", 100, "seeded runs")
	f.Uint64Var(&s.FirstSeed, "seed", 1, "the first seed")
	f.IntVar(&s.Nodes, "nodes", 3, "nodes")
	f.IntVar(&s.Backends, "boxes", 9, "boxes that are there before")
	f.Float64Var(&s.Rate, "rate", 30, "requests a second; 2 a box is usual load")
	f.Float64Var(&s.MaxListDelay, "late", 0.5, "seconds within which all nodes hear of the box")
	f.IntVar(&s.AssumedNodes, "reckoned", 0, "by how many nodes each divides; 0: as many as there are")
	return c
}

func discoveryCommand(out, errs io.Writer) *cobra.Command {
	o := stage.DiscoveryOptions{Out: errs}
	var mechanisms, lossRates, zoneSizes string
	c := &cobra.Command{Use: "discovery", Short: "Measure withdrawals under load, and what discovery costs, with the daemon as a program", Args: cobra.NoArgs,
		Example: "  lab discovery --withdrawals 1000 --ways poll,push,mdns --loss 0,0.1,0.3\n  lab discovery --cost --sizes 10,200,2000",
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
	f.StringVar(&o.Dir, "dir", "discovery", "a folder for the operator's file, the socket and the log")
	f.StringVar(&o.Program, "program", "", "the daemon; else standpoint beside this program")
	f.IntVar(&o.Withdrawals, "withdrawals", 1000, "withdrawals for each way and loss")
	f.StringVar(&mechanisms, "ways", "poll,push,mdns", "ways of news; plain is the poll of a zone without a serial")
	f.StringVar(&lossRates, "loss", "0,0.1,0.3", "parts of the packets that are lost, each way")
	f.Float64Var(&o.Rate, "rate", 400, "requests a second")
	f.BoolVar(&o.MeasureCost, "cost", false, "measure questions a second and the daemon's CPU time in a quiet zone instead")
	f.StringVar(&zoneSizes, "sizes", "10,200,2000", "with --cost: boxes in the zone")
	f.DurationVar(&o.Duration, "for", 10*time.Second, "with --cost: for which each is measured")
	return c
}

// parseNumbers reads a list with commas.
func parseNumbers(text string, to *[]float64) error {
	for _, part := range strings.Split(text, ",") {
		var v float64
		if _, err := fmt.Sscanf(part, "%g", &v); err != nil {
			return fmt.Errorf("%q is no number", part)
		}
		*to = append(*to, v)
	}
	return nil
}
