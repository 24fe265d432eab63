package cli

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"os/user"
	"strings"

	"github.com/spf13/cobra"

	"standpoint/internal/daemon"
	"standpoint/internal/settings"
)

// defaultEditor is the editor if EDITOR is not set.
const defaultEditor = "vi"

// changeFlags holds the flags of a command that writes a version of the shared configuration.
type changeFlags struct {
	author string // recorded as the author of the version
	note   string // recorded with the version
	dryRun bool   // validate the change without writing a version
}

// changeCommand registers changeFlags on c and sets its RunE to call run with them.
func changeCommand(c *cobra.Command, run func(ctx context.Context, args []string,
	flags changeFlags) error) *cobra.Command {
	var flags changeFlags
	c.Flags().StringVar(&flags.author, "by", defaultAuthor(), "author to record with the version")
	c.Flags().StringVarP(&flags.note, "note", "m", "", "reason for the change, recorded with the version")
	c.Flags().BoolVar(&flags.dryRun, "check", false, "validate the change without writing a version")
	c.RunE = func(c *cobra.Command, args []string) error { return run(c.Context(), args, flags) }
	return c
}

func defaultAuthor() string {
	if name := os.Getenv("USER"); name != "" {
		return name
	}
	return currentUser()
}

// currentUser returns the name of the user who runs the program, or "" if it is unknown.
func currentUser() string {
	u, err := user.Current()
	if err != nil {
		return ""
	}
	return u.Username
}

// writeSettings sends text as the version after latest, unless it equals the text of latest. rollbackTo is the number
// of the earlier version that text was copied from, or 0.
func (o *options) writeSettings(
	ctx context.Context, latest daemon.SettingsStatus, text string, flags changeFlags, rollbackTo uint64,
) error {
	if settings.Equal(latest.Version.Text, text) {
		fmt.Fprintln(o.Out, "nothing differs; no version was written")
		return nil
	}
	lines, err := settings.Diff(latest.Version.Text, text)
	if err != nil {
		return exitError{InvalidUsage, err}
	}
	change := daemon.SettingsChange{
		BaseVersion: latest.Latest,
		Text:        text,
		Author:      flags.author,
		Note:        flags.note,
		RollbackTo:  rollbackTo,
		DryRun:      flags.dryRun,
	}
	var written settings.Version
	if err := o.call(ctx, http.MethodPost, "/v1/config", change, &written); err != nil {
		return err
	}
	return o.print(written, func() {
		o.writeLines(lines)
		if flags.dryRun {
			fmt.Fprintln(o.Out, "the change is valid; nothing was written")
			return
		}
		fmt.Fprintf(o.Out, "version %d\n", written.Number)
	})
}

func (o *options) configSetCommand() *cobra.Command {
	command := &cobra.Command{
		Use:     "set PATH VALUE",
		Short:   "Set one value; an empty value removes the key",
		Example: "  standpoint config set class[0].give_up 12s -m 'slow evenings' --config deploy/operator.toml",
		Args:    usageArgs(cobra.ExactArgs(2)),
	}
	return changeCommand(command, func(ctx context.Context, args []string, flags changeFlags) error {
		latest, err := o.latestSettings(ctx)
		if err != nil {
			return err
		}
		text, err := settings.Set(latest.Version.Text, args[0], args[1])
		if err != nil {
			return exitError{InvalidUsage, err}
		}
		return o.writeSettings(ctx, latest, text, flags, 0)
	})
}

func (o *options) configApplyCommand() *cobra.Command {
	command := &cobra.Command{
		Use:   "apply FILE",
		Short: "Write a file as the next version",
		Args:  usageArgs(cobra.ExactArgs(1)),
	}
	return changeCommand(command, func(ctx context.Context, args []string, flags changeFlags) error {
		raw, err := os.ReadFile(args[0])
		if err != nil {
			return exitError{InvalidUsage, err}
		}
		latest, err := o.latestSettings(ctx)
		if err != nil {
			return err
		}
		return o.writeSettings(ctx, latest, string(raw), flags, 0)
	})
}

func (o *options) configInitCommand() *cobra.Command {
	command := &cobra.Command{
		Use:   "init",
		Short: "Write the first version from the shareable part of this node's own file",
		Args:  usageArgs(cobra.NoArgs),
	}
	return changeCommand(command, func(ctx context.Context, _ []string, flags changeFlags) error {
		text, err := o.sharedSettings()
		if err != nil {
			return exitError{InvalidUsage, err}
		}
		latest, err := o.latestSettings(ctx)
		if err != nil {
			return err
		}
		if latest.Latest != 0 {
			return exitError{Rejected, fmt.Errorf("there is a version %d already", latest.Latest)}
		}
		return o.writeSettings(ctx, latest, text, flags, 0)
	})
}

// sharedSettings returns the part of the operator's file that nodes may share.
func (o *options) sharedSettings() (string, error) {
	if o.config == "" {
		return "", errors.New("--config: not set; name the operator's file to make the first version from")
	}
	raw, err := os.ReadFile(o.config)
	if err != nil {
		return "", err
	}
	return settings.ExtractShared(string(raw))
}

func (o *options) configRollbackCommand() *cobra.Command {
	command := &cobra.Command{
		Use:   "rollback VERSION",
		Short: "Write the text of an earlier version as the next version",
		Args:  usageArgs(cobra.ExactArgs(1)),
	}
	return changeCommand(command, func(ctx context.Context, args []string, flags changeFlags) error {
		version, err := o.settingsVersion(ctx, args[0])
		if err != nil {
			return err
		}
		latest, err := o.latestSettings(ctx)
		if err != nil {
			return err
		}
		return o.writeSettings(ctx, latest, version.Text, flags, version.Number)
	})
}

func (o *options) configEditCommand() *cobra.Command {
	command := &cobra.Command{
		Use:   "edit",
		Short: "Edit the shared configuration in $EDITOR",
		Args:  usageArgs(cobra.NoArgs),
	}
	return changeCommand(command, func(ctx context.Context, _ []string, flags changeFlags) error {
		latest, err := o.latestSettings(ctx)
		if err != nil {
			return err
		}
		text, err := edit(ctx, latest.Version.Text)
		if err != nil {
			return err
		}
		return o.writeSettings(ctx, latest, text, flags, 0)
	})
}

// edit opens text in the user's editor and returns the edited text.
func edit(ctx context.Context, text string) (string, error) {
	path, err := writeTemporary(text)
	if err != nil {
		return "", err
	}
	defer func() { _ = os.Remove(path) }()
	editor := firstNonEmpty(os.Getenv("EDITOR"), defaultEditor)
	commandLine := append(strings.Fields(editor), path)
	run := exec.CommandContext(ctx, commandLine[0], commandLine[1:]...)
	run.Stdin = os.Stdin
	run.Stdout = os.Stdout
	run.Stderr = os.Stderr
	if err := run.Run(); err != nil {
		return "", exitError{Failed, fmt.Errorf("%s: %w; nothing was written", editor, err)}
	}
	edited, err := os.ReadFile(path)
	return string(edited), err
}

func writeTemporary(text string) (path string, err error) {
	file, err := os.CreateTemp("", "standpoint-*.toml")
	if err != nil {
		return "", err
	}
	if _, err = file.WriteString(text); err == nil {
		err = file.Close()
	}
	if err != nil {
		_ = os.Remove(file.Name())
		return "", err
	}
	return file.Name(), nil
}
