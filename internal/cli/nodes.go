package cli

import (
	"fmt"
	"io"

	"github.com/spf13/cobra"

	"standpoint/internal/peers"
)

// nodesStatus is the response to GET /v1/nodes.
type nodesStatus struct {
	Count int          `json:"reckoned"` // number of nodes by which limits of the whole installation are divided
	Nodes []peers.Node `json:"nodes"`
}

func (o *options) nodesCommand() *cobra.Command {
	c := &cobra.Command{
		Use:   "nodes",
		Short: "Show the nodes that this one has discovered, and the number it divides shared limits by",
		Args:  usageArgs(cobra.NoArgs),
		RunE:  printResponse(o, "/v1/nodes", o.writeNodes),
	}
	o.registerDaemonFlags(c)
	return c
}

func (o *options) writeNodes(status nodesStatus) {
	o.writeTable("NODE\tFRONT", func(w io.Writer) {
		for _, n := range status.Nodes {
			fmt.Fprintf(w, "%s\t%s\n", n.Name, n.Address)
		}
	})
	fmt.Fprintf(o.Out, "what all nodes may do together is divided by %d\n", status.Count)
}
