package cli

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/spf13/cobra"

	"standpoint/internal/daemon"
)

// Environment variables that are the defaults of flags.
const (
	configVariable  = "STANDPOINT_CONFIG"
	controlVariable = "STANDPOINT_CONTROL"
)

// Streams are where a command writes.
type Streams struct {
	Out io.Writer
	Err io.Writer
}

// Main runs a command line and returns its exit code.
func Main(ctx context.Context, args []string, s Streams) int {
	root := newRoot(s)
	root.SetArgs(acceptLegacyFlags(args))
	err := root.ExecuteContext(ctx)
	if err != nil {
		fmt.Fprintln(s.Err, "standpoint:", err)
	}
	return exitCode(err)
}

// acceptLegacyFlags lets -config FILE and -config=FILE go on working beside --config.
func acceptLegacyFlags(args []string) []string {
	accepted := make([]string, len(args))
	for i, arg := range args {
		if arg == "-config" || strings.HasPrefix(arg, "-config=") {
			arg = "-" + arg
		}
		accepted[i] = arg
	}
	return accepted
}

// options are the streams and the flags that several commands have.
type options struct {
	Streams
	config    string // the operator's file
	control   string // the address of the control interface
	tokenFile string
	output    string // outputText or outputJSON
}

func newRoot(s Streams) *cobra.Command {
	o := &options{Streams: s}
	root := &cobra.Command{
		Use:   "standpoint",
		Short: "A node in front of servers that run a language model",
		Long: `standpoint takes requests, sends each to the server that should answer it best, and passes the answer on as it
comes. Without a sub-command it serves: on the platform from its variables, elsewhere from an operator's file.

Exit codes: 0 done; 1 failed; 2 the command line or a configuration is wrong; 3 no daemon answers; 4 the daemon
refused; 5 a move that was watched went back.`,
		Example: `  standpoint --config deploy/operator.toml
  standpoint check deploy/operator.toml
  standpoint move start --config deploy/operator.toml --to new`,
		Args:              usageArgs(cobra.NoArgs),
		SilenceErrors:     true,
		SilenceUsage:      true,
		PersistentPreRunE: func(*cobra.Command, []string) error { return o.validateOutput() },
		RunE:              func(*cobra.Command, []string) error { return o.serve() },
	}
	root.SetOut(s.Out)
	root.SetErr(s.Err)
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return exitError{InvalidUsage, err} })
	o.registerFlags(root)
	root.AddCommand(
		o.serveCommand(),
		o.checkCommand(),
		o.versionCommand(),
		o.migrationCommand(),
		o.poolsCommand(),
		o.endpointsCommand(),
		o.nodesCommand(),
		o.fleetCommand(),
		o.ledgerCommand(),
		o.configCommand(),
	)
	root.AddCommand(labCommands()...)
	return root
}

// registerFlags registers the flags of all commands.
func (o *options) registerFlags(root *cobra.Command) {
	flags := root.PersistentFlags()
	flags.StringVar(&o.config, "config", os.Getenv(configVariable), "an operator's file (also STANDPOINT_CONFIG)")
	flags.StringVarP(&o.output, "output", "o", outputText, "what is printed: text or json")
	completeOutput := cobra.FixedCompletions([]string{outputText, outputJSON}, cobra.ShellCompDirectiveNoFileComp)
	// Both fail for flags that do not exist alone.
	_ = root.MarkPersistentFlagFilename("config", "toml")
	_ = root.RegisterFlagCompletionFunc("output", completeOutput)
}

// group returns a command that has sub-commands, and prints its help.
func group(use, short, long string) *cobra.Command {
	return &cobra.Command{
		Use:   use,
		Short: short,
		Long:  long,
		Args:  usageArgs(cobra.NoArgs),
		RunE:  func(c *cobra.Command, _ []string) error { return c.Help() },
	}
}

func (o *options) serveCommand() *cobra.Command {
	return &cobra.Command{
		Use:     "serve",
		Short:   "Serve until SIGTERM; SIGHUP reads the configuration again",
		Example: "  standpoint serve --config deploy/operator.toml",
		Args:    usageArgs(cobra.NoArgs),
		RunE:    func(*cobra.Command, []string) error { return o.serve() },
	}
}

func (o *options) serve() error {
	err := daemon.Run(daemon.Options{ConfigFile: o.config})
	var invalid *daemon.ConfigError
	if errors.As(err, &invalid) {
		return exitError{InvalidUsage, err}
	}
	return err
}

func (o *options) versionCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "version",
		Short: "Print the version",
		Args:  usageArgs(cobra.NoArgs),
		RunE: func(*cobra.Command, []string) error {
			version := map[string]string{"version": daemon.Version}
			return o.print(version, func() { fmt.Fprintln(o.Out, "standpoint", daemon.Version) })
		},
	}
}
