package cli

import (
	"fmt"
	"io"
	"strings"

	"github.com/spf13/cobra"

	"standpoint/internal/migration/controller"
)

func (o *options) poolsCommand() *cobra.Command {
	c := &cobra.Command{
		Use:     "pools",
		Short:   "List the pools and the real servers in them",
		Example: "  standpoint pools --config deploy/operator.toml",
		Args:    usageArgs(cobra.NoArgs),
		RunE:    printAnswer(o, "/v1/pools", o.writePools),
	}
	o.registerDaemonFlags(c)
	return c
}

func (o *options) writePools(pools []controller.PoolMembers) {
	o.writeTable("POOL\tBOX\tSTATE\tWARMTH\tALSO FITS", func(w io.Writer) {
		for _, p := range pools {
			for _, b := range p.Backends {
				alsoFits := strings.Join(b.OtherPools, ", ")
				fmt.Fprintf(w, "%s\t%s\t%s\t%.0f%%\t%s\n", orNone(p.Pool), b.Name, b.State, 100*b.WarmFraction, alsoFits)
			}
			if len(p.Backends) == 0 {
				fmt.Fprintf(w, "%s\t(empty)\t\t\t\n", p.Pool)
			}
		}
	})
}

func orNone(text string) string { return firstNonEmpty(text, "(none)") }
