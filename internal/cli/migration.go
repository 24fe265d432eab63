package cli

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"

	"github.com/spf13/cobra"

	"standpoint/internal/migration"
	"standpoint/internal/migration/controller"
)

// Paths of the control interface's calls about migrations. migrationWaitPath is a long poll, which returns after the
// next change or after 1 s.
const (
	migrationPath        = "/v1/move"
	migrationWaitPath    = migrationPath + "?wait=1s"
	migrationHistoryPath = migrationPath + "/history"
)

var errNoMigration = errors.New("no move was ever started")

func (o *options) migrationCommand() *cobra.Command {
	c := group("move", "Move traffic between pools in steps",
		`A move shifts traffic from one pool to another in steps. It halts when the new pool is found worse than the old one
in the same time windows; the traffic then returns to the old pool, unless --on-worse is stay.`)
	o.registerDaemonFlags(c)
	c.AddCommand(
		o.migrationPlanCommand(),
		o.migrationStartCommand(),
		o.migrationStatusCommand(),
		o.migrationWatchCommand(),
		o.migrationHistoryCommand(),
		o.migrationControlCommand("pause", "Take no further step; the comparison of the pools continues"),
		o.migrationControlCommand("resume", "Continue after a pause or a halt"),
		o.migrationControlCommand("undo", "Return all traffic to the old pool"),
	)
	return c
}

func (o *options) migrationPlanCommand() *cobra.Command {
	var request controller.StartRequest
	c := startCommand("plan", "Show what a move would do, without starting it", &request)
	c.RunE = func(c *cobra.Command, _ []string) error {
		record, err := o.postStart(c.Context(), "plan", request)
		if err != nil {
			return err
		}
		return o.print(record, func() { writePlan(o.Out, record.Plan) })
	}
	return c
}

func (o *options) migrationStartCommand() *cobra.Command {
	var request controller.StartRequest
	var watch bool
	c := startCommand("start", "Start a move", &request)
	c.Flags().BoolVar(&watch, "watch", false, "after the start, follow the move as move watch does")
	c.RunE = func(c *cobra.Command, _ []string) error {
		record, err := o.postStart(c.Context(), "start", request)
		if err != nil {
			return err
		}
		if watch {
			return o.watchMigration(c.Context())
		}
		return o.print(record, func() { writeRecord(o.Out, record, 0) })
	}
	return c
}

// startCommand returns a command with the flags that describe a migration to start.
func startCommand(name, short string, request *controller.StartRequest) *cobra.Command {
	c := &cobra.Command{
		Use:   name,
		Short: short,
		Example: fmt.Sprintf(`  standpoint move %s --config deploy/operator.toml --to new
  standpoint move %s --to new --steps 0.1,0.5,1 --hold 30s --note "build 118"`, name, name),
		Args: usageArgs(cobra.NoArgs),
	}
	flags := c.Flags()
	flags.StringVar(&request.From, "from", "", "pool to move traffic from (default: the pool with the largest share)")
	flags.StringVar(&request.To, "to", "", "pool to move traffic to; required")
	flags.Float64SliceVar(&request.Steps, "steps", nil,
		"share of the old pool's requests to move at each step, from 0 to 1, ascending, such as 0.05,0.25,0.5,1")
	flags.StringVar(&request.Hold, "hold", "", "minimum duration of the analysis of each step, such as 30s")
	flags.StringVar(&request.Warm, "warm", "", "minimum duration of the new pool's warm-up, such as 10s")
	flags.Float64Var(&request.Trickle, "trickle", 0, "share of the requests to move during the warm-up, from 0 to 1")
	flags.IntVar(&request.Samples, "samples", 0,
		"number of requests that must have ended in each pool before a step is passed")
	flags.Float64Var(&request.Floor, "floor", 0,
		"fraction of the old pool's on-time weight that the new pool must reach, from 0 to 1")
	flags.StringVar(&request.OnWorse, "on-worse", "",
		"action when the new pool is worse: return (move traffic back) or stay (halt)")
	flags.StringVar(&request.ReturnEvery, "return-every", "", "interval between two steps back, such as 2s")
	flags.StringVar(&request.Note, "note", "", "reason for the move, recorded in the history")
	onWorse := cobra.FixedCompletions([]string{migration.Return, migration.Stay}, cobra.ShellCompDirectiveNoFileComp)
	_ = c.RegisterFlagCompletionFunc("on-worse", onWorse) // fails only for a flag that does not exist
	return c
}

// postStart sends the request for a start, or for the plan of one; name is "start" or "plan".
func (o *options) postStart(ctx context.Context, name string, request controller.StartRequest) (migration.Record,
	error) {
	var record migration.Record
	if request.To == "" {
		return record, exitError{InvalidUsage, errors.New("--to: not set; name the pool to move traffic to")}
	}
	if request.By == "" {
		request.By = currentUser()
	}
	err := o.call(ctx, http.MethodPost, migrationPath+"/"+name, request, &record)
	return record, err
}

// migrationControlCommand returns a command that pauses, resumes or undoes the migration in progress.
func (o *options) migrationControlCommand(name, short string) *cobra.Command {
	return &cobra.Command{
		Use:   name,
		Short: short,
		Args:  usageArgs(cobra.NoArgs),
		RunE: func(c *cobra.Command, _ []string) error {
			var record migration.Record
			err := o.call(c.Context(), http.MethodPost, migrationPath+"/"+name, struct{}{}, &record)
			if err != nil {
				return err
			}
			return o.print(record, func() { writeRecord(o.Out, record, 0) })
		},
	}
}

func (o *options) migrationStatusCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "status",
		Short: "Show the move in progress, or the last one",
		Args:  usageArgs(cobra.NoArgs),
		RunE:  printResponse(o, migrationPath, func(s controller.Status) { writeStatus(o.Out, s) }),
	}
}

func (o *options) migrationHistoryCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "history",
		Short: "List the finished moves, the latest first",
		Args:  usageArgs(cobra.NoArgs),
		RunE:  printResponse(o, migrationHistoryPath, o.writeMigrationHistory),
	}
}

func (o *options) migrationWatchCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "watch",
		Short: "Follow the move until it ends",
		Long: `Follows the move until it ends. On a terminal the view is live (p pauses, r resumes, u undoes, q quits);
otherwise, and with -o json, the status is printed after each change. Exit code 5 means that the move was halted or
undone.`,
		Args: usageArgs(cobra.NoArgs),
		RunE: func(c *cobra.Command, _ []string) error { return o.watchMigration(c.Context()) },
	}
}

// watchMigration follows the migration until it ends. If it ended otherwise than planned, the error says how.
func (o *options) watchMigration(ctx context.Context) error {
	if terminal, ok := o.Out.(*os.File); ok && o.output == outputText && isTerminal(terminal) {
		return o.watchLive(ctx, terminal)
	}
	lastLine := ""
	for {
		var status controller.Status
		if err := o.call(ctx, http.MethodGet, migrationWaitPath, nil, &status); err != nil {
			return err
		}
		if status.Migration == nil {
			return exitError{Failed, errNoMigration}
		}
		record := status.Migration
		line := fmt.Sprintf("%s %.1f%% %s", record.State, 100*record.CurrentShare(), record.Reason)
		if line != lastLine {
			lastLine = line
			if err := o.print(status, func() { fmt.Fprintln(o.Out, line) }); err != nil {
				return err
			}
		}
		if hasEnded(record) {
			return endError(record)
		}
	}
}

// hasEnded reports whether the migration takes no further step without an operator's command.
func hasEnded(r *migration.Record) bool {
	return r.State.Terminal() || r.State == migration.Halted && r.Plan.OnWorse == migration.Stay
}

// endError returns the error for a migration that ended otherwise than planned, or nil.
func endError(r *migration.Record) error {
	if r.State == migration.Done {
		return nil
	}
	err := fmt.Errorf("the move is %s: %s", r.State, firstNonEmpty(r.Cause, "by the operator"))
	return exitError{MigrationReverted, err}
}
