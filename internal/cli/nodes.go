package cli

import (
	"fmt"
	"net/http"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"standpoint/internal/peers"
)

func (o *options) nodesCommand() *cobra.Command {
	c := &cobra.Command{Use: "nodes", Short: "Show the installation's nodes as this one finds them, and by how many it divides", Args: invalidUsageArgs(cobra.NoArgs),
		RunE: func(c *cobra.Command, _ []string) error {
			var status struct {
				Reckoned int          `json:"reckoned"`
				Nodes    []peers.Node `json:"nodes"`
			}
			if err := o.call(c.Context(), http.MethodGet, "/v1/nodes", nil, &status); err != nil {
				return err
			}
			return o.print(status, func() {
				w := tabwriter.NewWriter(o.Out, 2, 8, 2, ' ', 0)
				fmt.Fprintln(w, "NODE\tFRONT")
				for _, n := range status.Nodes {
					fmt.Fprintf(w, "%s\t%s\n", n.Name, n.Address)
				}
				w.Flush()
				fmt.Fprintf(o.Out, "what all nodes may do together is divided by %d\n", status.Reckoned)
			})
		}}
	o.daemonFlags(c)
	return c
}
