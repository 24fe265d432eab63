package cli

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/BurntSushi/toml"
	"github.com/spf13/cobra"

	"standpoint/internal/daemon"
	"standpoint/internal/settings"
)

func (o *options) configCommand() *cobra.Command {
	c := group("config", "Read and change the configuration that all nodes share", "")
	o.registerDaemonFlags(c)
	c.AddCommand(
		o.configGetCommand(),
		o.configSetCommand(),
		o.configDiffCommand(),
		o.configApplyCommand(),
		o.configInitCommand(),
		o.configHistoryCommand(),
		o.configRollbackCommand(),
		o.configEditCommand(),
		o.configStatusCommand(),
	)
	return c
}

// latestSettings returns the latest version of the shared configuration that the daemon knows.
func (o *options) latestSettings(ctx context.Context) (daemon.SettingsStatus, error) {
	var status daemon.SettingsStatus
	err := o.call(ctx, http.MethodGet, "/v1/config", nil, &status)
	return status, err
}

// settingsVersion fetches a version by its number, which is given as a command line argument.
func (o *options) settingsVersion(ctx context.Context, number string) (settings.Version, error) {
	var version settings.Version
	if _, err := strconv.ParseUint(number, 10, 64); err != nil {
		return version, exitError{InvalidUsage,
			fmt.Errorf("version %q: not a number; config history lists the versions", number)}
	}
	err := o.call(ctx, http.MethodGet, "/v1/config/version/"+number, nil, &version)
	return version, err
}

func (o *options) configGetCommand() *cobra.Command {
	return &cobra.Command{
		Use:     "get [PATH]",
		Short:   "Print the shared configuration, or the value at a path",
		Example: "  standpoint config get class[0].worth --config deploy/operator.toml",
		Args:    usageArgs(cobra.MaximumNArgs(1)),
		RunE: func(c *cobra.Command, args []string) error {
			latest, err := o.latestSettings(c.Context())
			if err != nil {
				return err
			}
			if len(args) == 0 {
				return o.print(latest.Version, func() { fmt.Fprint(o.Out, latest.Version.Text) })
			}
			value, err := settings.Get(latest.Version.Text, args[0])
			if err != nil {
				return exitError{Failed, err}
			}
			return o.print(value, func() { o.writeTOMLValue(value) })
		},
	}
}

// writeTOMLValue writes a table as TOML, and any other value in its default format.
func (o *options) writeTOMLValue(value any) {
	if table, ok := value.(map[string]any); ok {
		_ = toml.NewEncoder(o.Out).Encode(table) // cannot fail: the table was decoded from TOML
		return
	}
	fmt.Fprintln(o.Out, value)
}

func (o *options) configDiffCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "diff FILE|VERSION [VERSION]",
		Short: "Compare a file or a version with the latest version, or two versions with each other",
		Args:  usageArgs(cobra.RangeArgs(1, 2)),
		RunE: func(c *cobra.Command, args []string) error {
			from, to, err := o.textsToCompare(c.Context(), args)
			if err != nil {
				return err
			}
			lines, err := settings.Diff(from, to)
			if err != nil {
				return exitError{InvalidUsage, err}
			}
			return o.printLines(lines)
		},
	}
}

// textsToCompare returns the two texts that the arguments of diff select: the latest version and a file, a version and
// the latest version, or two versions.
func (o *options) textsToCompare(ctx context.Context, args []string) (from, to string, err error) {
	latest, err := o.latestSettings(ctx)
	if err != nil {
		return "", "", err
	}
	if len(args) == 1 {
		if raw, err := os.ReadFile(args[0]); err == nil {
			return latest.Version.Text, string(raw), nil
		}
	}
	texts := [2]string{1: latest.Version.Text}
	for i, number := range args {
		version, err := o.settingsVersion(ctx, number)
		if err != nil {
			return "", "", err
		}
		texts[i] = version.Text
	}
	return texts[0], texts[1], nil
}

func (o *options) configHistoryCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "history",
		Short: "List the stored versions, the latest first",
		Args:  usageArgs(cobra.NoArgs),
		RunE:  printResponse(o, "/v1/config/history", o.writeSettingsHistory),
	}
}

func (o *options) writeSettingsHistory(versions []settings.Version) {
	o.writeTable("VERSION\tAT\tBY\tNOTE", func(w io.Writer) {
		for _, v := range versions {
			note := v.Note
			if v.RollbackTo != 0 {
				note = strings.TrimSpace(fmt.Sprintf("back to %d %s", v.RollbackTo, note))
			}
			fmt.Fprintf(w, "%d\t%s\t%s\t%s\n", v.Number, v.CreatedAt.Format(time.DateTime), v.Author, note)
		}
	})
}
