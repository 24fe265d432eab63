// Package cli is the command line: sub-commands, their flags, what they print and their exit codes.
package cli

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"

	"github.com/BurntSushi/toml"
	"github.com/spf13/cobra"

	"standpoint/internal/config"
	"standpoint/internal/control"
	"standpoint/internal/daemon"
)

// Exit codes.
const (
	OK                = 0
	Failed            = 1 // the command could not do what it was asked
	InvalidUsage      = 2 // the command line or a configuration is wrong; the message names the key
	Unreachable       = 3 // no daemon answers at the control interface
	Rejected          = 4 // the daemon refused: not allowed, or not now
	MigrationReverted = 5 // a watched move was halted or went back
)

// exit is an error with its code.
type exit struct {
	code int
	err  error
}

func (e exit) Error() string { return e.err.Error() }
func (e exit) Unwrap() error { return e.err }

// Streams are where a command reads and writes.
type Streams struct {
	Out, Err io.Writer
}

// Main runs a command line and returns its exit code.
func Main(ctx context.Context, args []string, s Streams) int {
	root := newRoot(s)
	root.SetArgs(acceptLegacyFlags(args))
	err := root.ExecuteContext(ctx)
	if err == nil {
		return OK
	}
	fmt.Fprintln(s.Err, "standpoint:", err)
	var e exit
	if errors.As(err, &e) {
		return e.code
	}
	return Failed
}

// acceptLegacyFlags lets -config FILE and -config=FILE go on working beside --config.
func acceptLegacyFlags(args []string) []string {
	out := make([]string, len(args))
	for i, a := range args {
		if a == "-config" || strings.HasPrefix(a, "-config=") {
			a = "-" + a
		}
		out[i] = a
	}
	return out
}

// options are the flags that several commands have.
type options struct {
	Streams
	config, control, tokenFile, output string
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
		Args:          invalidUsageArgs(cobra.NoArgs),
		SilenceErrors: true, SilenceUsage: true,
		RunE: func(*cobra.Command, []string) error { return o.serve() },
	}
	root.SetOut(s.Out)
	root.SetErr(s.Err)
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return exit{InvalidUsage, err} })
	root.PersistentFlags().StringVar(&o.config, "config", os.Getenv("STANDPOINT_CONFIG"), "an operator's file (also STANDPOINT_CONFIG)")
	root.PersistentFlags().StringVarP(&o.output, "output", "o", "text", "what is printed: text or json")
	_ = root.MarkPersistentFlagFilename("config", "toml")
	_ = root.RegisterFlagCompletionFunc("output", cobra.FixedCompletions([]string{"text", "json"}, cobra.ShellCompDirectiveNoFileComp))
	root.PersistentPreRunE = func(*cobra.Command, []string) error {
		if o.output != "text" && o.output != "json" {
			return exit{InvalidUsage, fmt.Errorf("--output: %q is neither text nor json", o.output)}
		}
		return nil
	}
	root.AddCommand(&cobra.Command{Use: "serve", Short: "Serve until SIGTERM; SIGHUP reads the configuration again",
		Example: "  standpoint serve --config deploy/operator.toml", Args: invalidUsageArgs(cobra.NoArgs),
		RunE: func(*cobra.Command, []string) error { return o.serve() }},
		o.checkCommand(), o.versionCommand(), o.moveCommand(), o.poolsCommand(), o.entriesCommand(), o.nodesCommand(), o.fleetCommand(), o.ledgerCommand())
	root.AddCommand(o.configCommand())
	root.AddCommand(labCommands()...)
	return root
}

// invalidUsageArgs gives arguments that do not fit their exit code.
func invalidUsageArgs(check cobra.PositionalArgs) cobra.PositionalArgs {
	return func(c *cobra.Command, args []string) error {
		if err := check(c, args); err != nil {
			return exit{InvalidUsage, err}
		}
		return nil
	}
}

func (o *options) serve() error {
	err := daemon.Run(daemon.Options{ConfigFile: o.config})
	var faulty *daemon.ConfigError
	if errors.As(err, &faulty) {
		return exit{InvalidUsage, err}
	}
	return err
}

func (o *options) versionCommand() *cobra.Command {
	return &cobra.Command{Use: "version", Short: "Print the version", Args: invalidUsageArgs(cobra.NoArgs),
		RunE: func(*cobra.Command, []string) error {
			return o.print(map[string]string{"version": daemon.Version}, func() { fmt.Fprintln(o.Out, "standpoint", daemon.Version) })
		}}
}

func (o *options) checkCommand() *cobra.Command {
	return &cobra.Command{Use: "check FILE", Short: "Check an operator's file and print the settings that hold",
		Long: `Reads and checks an operator's file as serve does, and prints it with all defaults filled in. A faulty file ends
with exit code 2 and a message that begins with the key.`,
		Example: "  standpoint check deploy/operator.toml", Args: invalidUsageArgs(cobra.ExactArgs(1)),
		RunE: func(_ *cobra.Command, args []string) error {
			cfg, err := config.ReadOperatorFile(args[0])
			if err != nil {
				return exit{InvalidUsage, err}
			}
			if o.output == "json" {
				var whole map[string]any
				var text strings.Builder
				if err := toml.NewEncoder(&text).Encode(cfg); err != nil {
					return err
				}
				if _, err := toml.Decode(text.String(), &whole); err != nil {
					return err
				}
				return o.print(whole, nil)
			}
			return toml.NewEncoder(o.Out).Encode(cfg)
		}}
}

// print writes v as JSON, or has text write it.
func (o *options) print(v any, text func()) error {
	if o.output == "json" {
		e := json.NewEncoder(o.Out)
		e.SetIndent("", "  ")
		return e.Encode(v)
	}
	text()
	return nil
}

// daemonFlags say where the daemon's control interface is.
func (o *options) daemonFlags(c *cobra.Command) {
	c.PersistentFlags().StringVar(&o.control, "control", os.Getenv("STANDPOINT_CONTROL"),
		"the control interface, host:port or unix:PATH; else control.listen of --config (also STANDPOINT_CONTROL)")
	c.PersistentFlags().StringVar(&o.tokenFile, "token-file", "", "a file with the token; else control.token_file of --config")
}

// client reaches the daemon that the flags, or the operator's file, name.
func (o *options) client() (*control.Client, error) {
	address, tokenFile := o.control, o.tokenFile
	if o.config != "" && (address == "" || tokenFile == "") {
		cfg, err := config.ReadOperatorFile(o.config)
		if err != nil {
			return nil, exit{InvalidUsage, err}
		}
		base := filepath.Dir(o.config)
		if address == "" {
			address = cfg.Control.Listen
			if path, ok := strings.CutPrefix(address, "unix:"); ok {
				address = "unix:" + cfg.ResolvePath(base, path)
			}
		}
		if tokenFile == "" {
			tokenFile = cfg.ResolvePath(base, cfg.Control.TokenFile)
		}
	}
	if address == "" {
		return nil, exit{InvalidUsage, errors.New("--control: not given, and no --config says control.listen")}
	}
	token := ""
	if tokenFile != "" {
		var err error
		if token, err = control.ReadToken(tokenFile); err != nil {
			return nil, exit{InvalidUsage, fmt.Errorf("--token-file: %w", err)}
		}
	}
	return control.NewClient(address, token), nil
}

// call asks the daemon once.
func (o *options) call(ctx context.Context, method, path string, in, out any) error {
	c, err := o.client()
	if err != nil {
		return err
	}
	defer c.Close()
	return withExitCode(c.Call(ctx, method, path, in, out))
}

// withExitCode gives a call's error its exit code.
func withExitCode(err error) error {
	var typed *control.Error
	switch {
	case err == nil:
		return nil
	case errors.As(err, &typed) && (typed.Code == control.CodeBadPlan || typed.Code == control.CodeBadConfig):
		return exit{InvalidUsage, err}
	case errors.As(err, &typed):
		return exit{Rejected, err}
	}
	return exit{Unreachable, err}
}
