package cli

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/user"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"standpoint/internal/migration"
	"standpoint/internal/migration/controller"
)

func (o *options) poolsCommand() *cobra.Command {
	c := &cobra.Command{Use: "pools", Short: "List the pools and the real servers in them", Args: invalidUsageArgs(cobra.NoArgs),
		Example: "  standpoint pools --config deploy/operator.toml",
		RunE: func(c *cobra.Command, _ []string) error {
			var all []controller.Members
			if err := o.call(c.Context(), http.MethodGet, "/v1/pools", nil, &all); err != nil {
				return err
			}
			return o.print(all, func() {
				w := tabwriter.NewWriter(o.Out, 2, 8, 2, ' ', 0)
				fmt.Fprintln(w, "POOL\tBOX\tSTATE\tWARMTH\tALSO FITS")
				for _, p := range all {
					for _, b := range p.Backends {
						fmt.Fprintf(w, "%s\t%s\t%s\t%.0f%%\t%s\n", orNone(p.Pool), b.Name, b.State, 100*b.Warmth, strings.Join(b.AlsoFit, ", "))
					}
					if len(p.Backends) == 0 {
						fmt.Fprintf(w, "%s\t(empty)\t\t\t\n", p.Pool)
					}
				}
				w.Flush()
			})
		}}
	o.daemonFlags(c)
	return c
}

func orNone(s string) string {
	if s == "" {
		return "(none)"
	}
	return s
}

func (o *options) moveCommand() *cobra.Command {
	move := &cobra.Command{Use: "move", Short: "Move traffic between pools, a step at a time",
		Long: `A move takes traffic from one pool to another in steps. It halts, and goes back, when the new pool is found worse
than the old one in the same windows.`, Args: invalidUsageArgs(cobra.NoArgs),
		RunE: func(c *cobra.Command, _ []string) error { return c.Help() }}
	o.daemonFlags(move)
	move.AddCommand(o.beginCommand("plan", "Show what a move would do, without starting it"),
		o.beginCommand("start", "Start a move"), o.statusCommand(), o.watchCommand(), o.historyCommand())
	for wish, short := range map[string]string{"pause": "Take no further step; the watch goes on", "resume": "Go on after a pause or a halt",
		"undo": "Take all traffic back"} {
		move.AddCommand(&cobra.Command{Use: wish, Short: short, Args: invalidUsageArgs(cobra.NoArgs),
			RunE: func(c *cobra.Command, _ []string) error {
				var r migration.Record
				if err := o.call(c.Context(), http.MethodPost, "/v1/move/"+wish, struct{}{}, &r); err != nil {
					return err
				}
				return o.print(r, func() { writeRecord(o.Out, r, 0) })
			}})
	}
	return move
}

func (o *options) beginCommand(name, short string) *cobra.Command {
	var w controller.StartRequest
	var follow bool
	c := &cobra.Command{Use: name, Short: short, Args: invalidUsageArgs(cobra.NoArgs),
		Example: fmt.Sprintf(`  standpoint move %s --config deploy/operator.toml --to new
  standpoint move %s --to new --steps 0.1,0.5,1 --hold 30s --note "build 118"`, name, name),
		RunE: func(c *cobra.Command, _ []string) error {
			if w.To == "" {
				return exit{InvalidUsage, errors.New("--to: the pool to move to is missing")}
			}
			if w.By == "" {
				if u, err := user.Current(); err == nil {
					w.By = u.Username
				}
			}
			var r migration.Record
			if err := o.call(c.Context(), http.MethodPost, "/v1/move/"+name, w, &r); err != nil {
				return err
			}
			if follow {
				return o.watch(c.Context())
			}
			return o.print(r, func() {
				if name == "plan" {
					writePlan(o.Out, r.Plan)
				} else {
					writeRecord(o.Out, r, 0)
				}
			})
		}}
	f := c.Flags()
	f.StringVar(&w.From, "from", "", "the pool that traffic leaves; else the one that has most")
	f.StringVar(&w.To, "to", "", "the pool that traffic goes to")
	f.Float64SliceVar(&w.Steps, "steps", nil, "shares, growing, such as 0.05,0.25,0.5,1")
	f.StringVar(&w.Hold, "hold", "", "for which each step is watched at the least, such as 30s")
	f.StringVar(&w.Warm, "warm", "", "for which the new pool gets a trickle at the least")
	f.Float64Var(&w.Trickle, "trickle", 0, "that trickle's share")
	f.IntVar(&w.Samples, "samples", 0, "flows that must have ended in each pool before a step is passed")
	f.Float64Var(&w.Floor, "floor", 0, "part of the old pool's worth in time that the new one must bring")
	f.StringVar(&w.OnWorse, "on-worse", "", "return or stay")
	f.StringVar(&w.ReturnEvery, "return-every", "", "between two steps back")
	f.StringVar(&w.Note, "note", "", "why, for the history")
	if name == "start" {
		f.BoolVar(&follow, "watch", false, "go on as move watch does")
	}
	_ = c.RegisterFlagCompletionFunc("on-worse", cobra.FixedCompletions([]string{migration.Return, migration.Stay}, cobra.ShellCompDirectiveNoFileComp))
	return c
}

func (o *options) statusCommand() *cobra.Command {
	return &cobra.Command{Use: "status", Short: "Show the move under way, or the last one", Args: invalidUsageArgs(cobra.NoArgs),
		RunE: func(c *cobra.Command, _ []string) error {
			var s controller.Status
			if err := o.call(c.Context(), http.MethodGet, "/v1/move", nil, &s); err != nil {
				return err
			}
			return o.print(s, func() { writeStatus(o.Out, s) })
		}}
}

func (o *options) historyCommand() *cobra.Command {
	return &cobra.Command{Use: "history", Short: "List the moves that are over, the latest first", Args: invalidUsageArgs(cobra.NoArgs),
		RunE: func(c *cobra.Command, _ []string) error {
			var all []migration.Record
			if err := o.call(c.Context(), http.MethodGet, "/v1/move/history", nil, &all); err != nil {
				return err
			}
			return o.print(all, func() {
				w := tabwriter.NewWriter(o.Out, 2, 8, 2, ' ', 0)
				fmt.Fprintln(w, "MOVE\tFROM\tTO\tEND\tTOOK\tBY\tWHY")
				for _, r := range all {
					fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%v\t%s\t%s\n", r.ID, r.Plan.From, r.Plan.To, r.State,
						r.Changed.Sub(r.Started).Round(time.Second), r.By, firstNonEmpty(r.Cause, r.Note))
				}
				w.Flush()
			})
		}}
}

func firstNonEmpty(a, b string) string {
	if a != "" {
		return a
	}
	return b
}

func (o *options) watchCommand() *cobra.Command {
	return &cobra.Command{Use: "watch", Short: "Follow the move until it is over",
		Long: `Follows the move until it is over. On a terminal the view is live (p pauses, r resumes, u undoes, q leaves);
elsewhere, and with -o json, a line is printed for each change. Exit code 5 says that the move went back.`, Args: invalidUsageArgs(cobra.NoArgs),
		RunE: func(c *cobra.Command, _ []string) error { return o.watch(c.Context()) }}
}

// watch follows the move, and ends with its end.
func (o *options) watch(ctx context.Context) error {
	if f, ok := o.Out.(*os.File); ok && o.output == "text" && isTerminal(f) {
		return o.watchLive(ctx, f)
	}
	said := ""
	for {
		var s controller.Status
		if err := o.call(ctx, http.MethodGet, "/v1/move?wait=1s", nil, &s); err != nil {
			return err
		}
		if s.Migration == nil {
			return exit{Failed, errors.New("no move was ever started")}
		}
		line := fmt.Sprintf("%s %.1f%% %s", s.Migration.State, 100*s.Migration.CurrentShare(), s.Migration.Reason)
		if line != said {
			said = line
			if err := o.print(s, func() { fmt.Fprintln(o.Out, line) }); err != nil {
				return err
			}
		}
		if s.Migration.State.Terminal() || s.Migration.State == migration.Halted && s.Migration.Plan.OnWorse == migration.Stay {
			return exitOf(s.Migration)
		}
	}
}

// exitOf is a watched move's exit code.
func exitOf(r *migration.Record) error {
	if r.State == migration.Done {
		return nil
	}
	return exit{MigrationReverted, fmt.Errorf("the move is %s: %s", r.State, firstNonEmpty(r.Cause, "by the operator"))}
}

func writePlan(w io.Writer, p migration.Plan) {
	fmt.Fprintf(w, "from %s to %s, in %v at the least\n", p.From, p.To, p.MinimumDuration())
	fmt.Fprintf(w, "  warm up   %.1f%% for %v or more\n", 100*p.Trickle, p.Warm)
	for i, s := range p.Steps {
		fmt.Fprintf(w, "  step %d    %.1f%%, watched for %v and %d flows or more\n", i+1, 100*s, p.Hold, p.Samples)
	}
	fmt.Fprintf(w, "  worse is  under %.0f%% of the old pool's worth in time, first tokens later by %.2f, tokens slower by %.2f,\n"+
		"            or more than %.1f%% further errors; nothing shorter than %v ends the move\n", 100*p.Floor, p.FirstToken, p.Pace, 100*p.Errors, p.Stall)
	if p.OnWorse == migration.Return {
		fmt.Fprintf(w, "  then      traffic goes back in %d steps, one each %v\n", p.ReturnSteps, p.ReturnEvery)
	} else {
		fmt.Fprintln(w, "  then      the move stays halted until resume or undo")
	}
}

func writeStatus(w io.Writer, s controller.Status) {
	if s.Migration == nil {
		fmt.Fprintln(w, "no move was ever started")
		return
	}
	writeRecord(w, *s.Migration, s.Evidence)
	if len(s.Nodes) > 0 {
		for _, n := range s.Nodes {
			behind := ""
			if n.Lagging {
				behind = "  behind"
			}
			fmt.Fprintf(w, "  node %-12s version %d, heard %.1fs ago%s\n", n.Name, n.Version, n.Age, behind)
		}
	} else if !s.Leads {
		fmt.Fprintf(w, "  node %s follows version %d; %s carries moves on\n", s.Node, s.Version, orNone(s.Leader))
	}
}

func writeRecord(w io.Writer, r migration.Record, evidence float64) {
	paused := ""
	if r.Paused {
		paused = ", paused"
	}
	fmt.Fprintf(w, "%s: %s to %s, %s%s at %.1f%%\n", r.ID, r.Plan.From, r.Plan.To, r.State, paused, 100*r.CurrentShare())
	if r.Reason != "" {
		fmt.Fprintf(w, "  %s\n", r.Reason)
	}
	if !r.State.Terminal() {
		fmt.Fprintf(w, "  evidence against the new pool: %.0f%% of an alarm\n", 100*evidence)
	}
	for _, e := range r.Events {
		fmt.Fprintf(w, "  %s  %-9s %5.1f%%  %s\n", e.At.Format("15:04:05"), e.State, 100*e.Share, e.Text)
	}
}
