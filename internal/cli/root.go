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

// Environment variables that hold the default values of flags.
const (
	configVariable  = "STANDPOINT_CONFIG"
	controlVariable = "STANDPOINT_CONTROL"
)

// Streams are the writers that a command prints to.
type Streams struct {
	Out io.Writer
	Err io.Writer
}

// Main runs the command line args and returns the exit code of the process.
func Main(ctx context.Context, args []string, s Streams) int {
	root := newRoot(s)
	root.SetArgs(acceptLegacyFlags(args))
	err := root.ExecuteContext(ctx)
	if err != nil {
		fmt.Fprintln(s.Err, "standpoint:", err)
	}
	return exitCode(err)
}

// acceptLegacyFlags rewrites the legacy forms -config FILE and -config=FILE to --config.
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

// options holds the output streams and the flags that several commands share.
type options struct {
	Streams
	config    string // the path of the operator's file
	control   string // the address of the control interface
	tokenFile string // the path of the control token; "" for none
	output    string // outputText or outputJSON
}

func newRoot(s Streams) *cobra.Command {
	o := &options{Streams: s}
	root := &cobra.Command{
		Use:   "standpoint",
		Short: "A load balancer for servers that run a language model",
		Long: `standpoint accepts requests, sends each to the backend expected to serve it best, and streams the response
back. Without a sub-command it serves, configured by an operator's file or by its platform's environment variables.

Exit codes: 0 success; 1 the command failed; 2 invalid command line or configuration; 3 the daemon is unreachable;
4 the daemon rejected the call; 5 a watched move was halted or undone.`,
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

// registerFlags registers the flags that every command accepts.
func (o *options) registerFlags(root *cobra.Command) {
	flags := root.PersistentFlags()
	flags.StringVar(&o.config, "config", os.Getenv(configVariable),
		"path of the operator's file (default: $STANDPOINT_CONFIG)")
	flags.StringVarP(&o.output, "output", "o", outputText, "output format: text or json")
	completeOutput := cobra.FixedCompletions([]string{outputText, outputJSON}, cobra.ShellCompDirectiveNoFileComp)
	// Both calls fail only for a flag that does not exist.
	_ = root.MarkPersistentFlagFilename("config", "toml")
	_ = root.RegisterFlagCompletionFunc("output", completeOutput)
}

// group returns a command that has sub-commands and, run without one, prints its help.
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
		Short:   "Serve requests until SIGTERM; SIGHUP reloads the configuration",
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
