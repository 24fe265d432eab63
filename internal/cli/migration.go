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

// The calls about migrations, and the long poll for the next change.
const (
	migrationPath        = "/v1/move"
	migrationWaitPath    = migrationPath + "?wait=1s"
	migrationHistoryPath = migrationPath + "/history"
)

var errNoMigration = errors.New("no move was ever started")

func (o *options) migrationCommand() *cobra.Command {
	c := group("move", "Move traffic between pools, a step at a time",
		`A move takes traffic from one pool to another in steps. It halts, and goes back, when the new pool is found worse
than the old one in the same windows.`)
	o.registerDaemonFlags(c)
	c.AddCommand(
		o.migrationPlanCommand(),
		o.migrationStartCommand(),
		o.migrationStatusCommand(),
		o.migrationWatchCommand(),
		o.migrationHistoryCommand(),
		o.migrationControlCommand("pause", "Take no further step; the watch goes on"),
		o.migrationControlCommand("resume", "Go on after a pause or a halt"),
		o.migrationControlCommand("undo", "Take all traffic back"),
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
	c.Flags().BoolVar(&watch, "watch", false, "go on as move watch does")
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

// startCommand returns a command with the flags of a migration's start.
func startCommand(name, short string, request *controller.StartRequest) *cobra.Command {
	c := &cobra.Command{
		Use:   name,
		Short: short,
		Example: fmt.Sprintf(`  standpoint move %s --config deploy/operator.toml --to new
  standpoint move %s --to new --steps 0.1,0.5,1 --hold 30s --note "build 118"`, name, name),
		Args: usageArgs(cobra.NoArgs),
	}
	flags := c.Flags()
	flags.StringVar(&request.From, "from", "", "the pool that traffic leaves; else the one that has most")
	flags.StringVar(&request.To, "to", "", "the pool that traffic goes to")
	flags.Float64SliceVar(&request.Steps, "steps", nil, "shares, growing, such as 0.05,0.25,0.5,1")
	flags.StringVar(&request.Hold, "hold", "", "for which each step is watched at the least, such as 30s")
	flags.StringVar(&request.Warm, "warm", "", "for which the new pool gets a trickle at the least")
	flags.Float64Var(&request.Trickle, "trickle", 0, "that trickle's share")
	flags.IntVar(&request.Samples, "samples", 0,
		"flows that must have ended in each pool before a step is passed")
	flags.Float64Var(&request.Floor, "floor", 0,
		"part of the old pool's worth in time that the new one must bring")
	flags.StringVar(&request.OnWorse, "on-worse", "", "return or stay")
	flags.StringVar(&request.ReturnEvery, "return-every", "", "between two steps back")
	flags.StringVar(&request.Note, "note", "", "why, for the history")
	onWorse := cobra.FixedCompletions([]string{migration.Return, migration.Stay}, cobra.ShellCompDirectiveNoFileComp)
	_ = c.RegisterFlagCompletionFunc("on-worse", onWorse) // fails for flags that do not exist alone
	return c
}

// postStart sends a start, or a request for its plan.
func (o *options) postStart(ctx context.Context, name string, request controller.StartRequest) (migration.Record,
	error) {
	var record migration.Record
	if request.To == "" {
		return record, exitError{InvalidUsage, errors.New("--to: the pool to move to is missing")}
	}
	if request.By == "" {
		request.By = currentUser()
	}
	err := o.call(ctx, http.MethodPost, migrationPath+"/"+name, request, &record)
	return record, err
}

// migrationControlCommand returns a command that changes the migration in progress.
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
		Short: "Show the move under way, or the last one",
		Args:  usageArgs(cobra.NoArgs),
		RunE:  printAnswer(o, migrationPath, func(s controller.Status) { writeStatus(o.Out, s) }),
	}
}

func (o *options) migrationHistoryCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "history",
		Short: "List the moves that are over, the latest first",
		Args:  usageArgs(cobra.NoArgs),
		RunE:  printAnswer(o, migrationHistoryPath, o.writeMigrationHistory),
	}
}

func (o *options) migrationWatchCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "watch",
		Short: "Follow the move until it is over",
		Long: `Follows the move until it is over. On a terminal the view is live (p pauses, r resumes, u undoes, q leaves);
elsewhere, and with -o json, a line is printed for each change. Exit code 5 says that the move went back.`,
		Args: usageArgs(cobra.NoArgs),
		RunE: func(c *cobra.Command, _ []string) error { return o.watchMigration(c.Context()) },
	}
}

// watchMigration follows the migration until it is over. The error says how it ended.
func (o *options) watchMigration(ctx context.Context) error {
	if terminal, ok := o.Out.(*os.File); ok && o.output == outputText && isTerminal(terminal) {
		return o.watchLive(ctx, terminal)
	}
	printed := ""
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
		if line != printed {
			printed = line
			if err := o.print(status, func() { fmt.Fprintln(o.Out, line) }); err != nil {
				return err
			}
		}
		if hasEnded(record) {
			return endError(record)
		}
	}
}

// hasEnded tells whether nothing follows unless an operator decides so.
func hasEnded(r *migration.Record) bool {
	return r.State.Terminal() || r.State == migration.Halted && r.Plan.OnWorse == migration.Stay
}

// endError is the error of a migration that has ended otherwise than planned.
func endError(r *migration.Record) error {
	if r.State == migration.Done {
		return nil
	}
	err := fmt.Errorf("the move is %s: %s", r.State, firstNonEmpty(r.Cause, "by the operator"))
	return exitError{MigrationReverted, err}
}
