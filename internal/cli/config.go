package cli

import (
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"os/user"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/BurntSushi/toml"
	"github.com/spf13/cobra"

	"standpoint/internal/config"
	"standpoint/internal/daemon"
	"standpoint/internal/settings"
)

func (o *options) configCommand() *cobra.Command {
	c := &cobra.Command{Use: "config", Short: "Read and change the configuration that the nodes share", Args: invalidUsageArgs(cobra.NoArgs),
		RunE: func(c *cobra.Command, _ []string) error { return c.Help() }}
	o.daemonFlags(c)
	c.AddCommand(o.configGet(), o.configSet(), o.configDiff(), o.configApply(), o.configInit(), o.configHistory(), o.configRollback(), o.configEdit(), o.configStatus())
	return c
}

// authorFlags are the flags of a command that writes.
type authorFlags struct {
	author, note string
	check        bool
}

func (b *authorFlags) register(c *cobra.Command) *cobra.Command {
	author := os.Getenv("USER")
	if u, err := user.Current(); err == nil && author == "" {
		author = u.Username
	}
	c.Flags().StringVar(&b.author, "by", author, "who changes it")
	c.Flags().StringVarP(&b.note, "note", "m", "", "why")
	c.Flags().BoolVar(&b.check, "check", false, "check it, and write nothing")
	return c
}

func (o *options) latestSettings(c *cobra.Command) (s daemon.SettingsStatus, err error) {
	err = o.call(c.Context(), http.MethodGet, "/v1/config", nil, &s)
	return s, err
}

// writeSettings sends a changed document, after it was found to differ.
func (o *options) writeSettings(c *cobra.Command, was daemon.SettingsStatus, text string, b authorFlags, back uint64) error {
	if settings.Equal(was.Version.Text, text) {
		fmt.Fprintln(o.Out, "nothing differs; no version was written")
		return nil
	}
	lines, err := settings.Diff(was.Version.Text, text)
	if err != nil {
		return exit{InvalidUsage, err}
	}
	var v settings.Version
	if err := o.call(c.Context(), http.MethodPost, "/v1/config", daemon.SettingsChange{BaseVersion: was.Latest, Text: text, Author: b.author, Note: b.note, RollbackTo: back, DryRun: b.check}, &v); err != nil {
		return err
	}
	return o.print(v, func() {
		for _, line := range lines {
			fmt.Fprintln(o.Out, line)
		}
		if b.check {
			fmt.Fprintln(o.Out, "it can be taken on; nothing was written")
		} else {
			fmt.Fprintf(o.Out, "version %d\n", v.Number)
		}
	})
}

func (o *options) configGet() *cobra.Command {
	return &cobra.Command{Use: "get [PATH]", Short: "Print the shared configuration, or what is at a path", Args: invalidUsageArgs(cobra.MaximumNArgs(1)),
		Example: "  standpoint config get class[0].worth --config deploy/operator.toml",
		RunE: func(c *cobra.Command, args []string) error {
			s, err := o.latestSettings(c)
			if err != nil {
				return err
			}
			if len(args) == 0 {
				return o.print(s.Version, func() { fmt.Fprint(o.Out, s.Version.Text) })
			}
			v, err := settings.Get(s.Version.Text, args[0])
			if err != nil {
				return exit{Failed, err}
			}
			return o.print(v, func() {
				if m, ok := v.(map[string]any); ok {
					_ = toml.NewEncoder(o.Out).Encode(m)
					return
				}
				fmt.Fprintln(o.Out, v)
			})
		}}
}

func (o *options) configSet() *cobra.Command {
	var b authorFlags
	return b.register(&cobra.Command{Use: "set PATH VALUE", Short: "Change one value; an empty one takes the key out", Args: invalidUsageArgs(cobra.ExactArgs(2)),
		Example: "  standpoint config set class[0].give_up 12s -m 'slow evenings' --config deploy/operator.toml",
		RunE: func(c *cobra.Command, args []string) error {
			s, err := o.latestSettings(c)
			if err != nil {
				return err
			}
			text, err := settings.Set(s.Version.Text, args[0], args[1])
			if err != nil {
				return exit{InvalidUsage, err}
			}
			return o.writeSettings(c, s, text, b, 0)
		}})
}

func (o *options) version(c *cobra.Command, number string) (v settings.Version, err error) {
	if _, err := strconv.ParseUint(number, 10, 64); err != nil {
		return v, exit{InvalidUsage, fmt.Errorf("%q is no version's number", number)}
	}
	err = o.call(c.Context(), http.MethodGet, "/v1/config/version/"+number, nil, &v)
	return v, err
}

func (o *options) configDiff() *cobra.Command {
	return &cobra.Command{Use: "diff FILE|VERSION [VERSION]", Short: "Say how a file or a version differs from the latest, or two versions from each other", Args: invalidUsageArgs(cobra.RangeArgs(1, 2)),
		RunE: func(c *cobra.Command, args []string) error {
			var texts [2]string
			s, err := o.latestSettings(c)
			if err != nil {
				return err
			}
			texts[1] = s.Version.Text
			for i, a := range args {
				if raw, err := os.ReadFile(a); err == nil && i == 0 && len(args) == 1 {
					texts[0], texts[1] = texts[1], string(raw)
					continue
				}
				v, err := o.version(c, a)
				if err != nil {
					return err
				}
				texts[i] = v.Text
			}
			lines, err := settings.Diff(texts[0], texts[1])
			if err != nil {
				return exit{InvalidUsage, err}
			}
			return o.print(append([]string{}, lines...), func() {
				for _, line := range lines {
					fmt.Fprintln(o.Out, line)
				}
			})
		}}
}

func (o *options) configApply() *cobra.Command {
	var b authorFlags
	return b.register(&cobra.Command{Use: "apply FILE", Short: "Make a file the next version", Args: invalidUsageArgs(cobra.ExactArgs(1)),
		RunE: func(c *cobra.Command, args []string) error {
			raw, err := os.ReadFile(args[0])
			if err != nil {
				return exit{InvalidUsage, err}
			}
			s, err := o.latestSettings(c)
			if err != nil {
				return err
			}
			return o.writeSettings(c, s, string(raw), b, 0)
		}})
}

func (o *options) configInit() *cobra.Command {
	var b authorFlags
	return b.register(&cobra.Command{Use: "init", Short: "Make the first version of what this node's own file may share", Args: invalidUsageArgs(cobra.NoArgs),
		RunE: func(c *cobra.Command, _ []string) error {
			if o.config == "" {
				return exit{InvalidUsage, errors.New("--config: not given; the first version is made of that file")}
			}
			raw, err := os.ReadFile(o.config)
			if err != nil {
				return exit{InvalidUsage, err}
			}
			text, err := settings.ExtractShared(string(raw))
			if err != nil {
				return exit{InvalidUsage, err}
			}
			s, err := o.latestSettings(c)
			if err != nil {
				return err
			}
			if s.Latest != 0 {
				return exit{Rejected, fmt.Errorf("there is a version %d already", s.Latest)}
			}
			return o.writeSettings(c, s, text, b, 0)
		}})
}

func (o *options) configHistory() *cobra.Command {
	return &cobra.Command{Use: "history", Short: "List the versions that are kept", Args: invalidUsageArgs(cobra.NoArgs),
		RunE: func(c *cobra.Command, _ []string) error {
			var all []settings.Version
			if err := o.call(c.Context(), http.MethodGet, "/v1/config/history", nil, &all); err != nil {
				return err
			}
			return o.print(all, func() {
				w := tabwriter.NewWriter(o.Out, 2, 8, 2, ' ', 0)
				fmt.Fprintln(w, "VERSION\tAT\tBY\tNOTE")
				for _, v := range all {
					note := v.Note
					if v.RollbackTo != 0 {
						note = strings.TrimSpace(fmt.Sprintf("back to %d %s", v.RollbackTo, note))
					}
					fmt.Fprintf(w, "%d\t%s\t%s\t%s\n", v.Number, v.CreatedAt.Format(time.DateTime), v.Author, note)
				}
				w.Flush()
			})
		}}
}

func (o *options) configRollback() *cobra.Command {
	var b authorFlags
	return b.register(&cobra.Command{Use: "rollback VERSION", Short: "Make an earlier version's text the next version", Args: invalidUsageArgs(cobra.ExactArgs(1)),
		RunE: func(c *cobra.Command, args []string) error {
			v, err := o.version(c, args[0])
			if err != nil {
				return err
			}
			s, err := o.latestSettings(c)
			if err != nil {
				return err
			}
			return o.writeSettings(c, s, v.Text, b, v.Number)
		}})
}

func (o *options) configEdit() *cobra.Command {
	var b authorFlags
	return b.register(&cobra.Command{Use: "edit", Short: "Change the shared configuration in $EDITOR", Args: invalidUsageArgs(cobra.NoArgs),
		RunE: func(c *cobra.Command, _ []string) error {
			s, err := o.latestSettings(c)
			if err != nil {
				return err
			}
			f, err := os.CreateTemp("", "standpoint-*.toml")
			if err != nil {
				return err
			}
			defer func() { _ = os.Remove(f.Name()) }()
			if _, err = f.WriteString(s.Version.Text); err == nil {
				err = f.Close()
			}
			if err != nil {
				return err
			}
			editor := os.Getenv("EDITOR")
			if editor == "" {
				editor = "vi"
			}
			words := append(strings.Fields(editor), f.Name())
			run := exec.CommandContext(c.Context(), words[0], words[1:]...)
			run.Stdin, run.Stdout, run.Stderr = os.Stdin, os.Stdout, os.Stderr
			if err := run.Run(); err != nil {
				return exit{Failed, fmt.Errorf("%s: %w; nothing was written", editor, err)}
			}
			raw, err := os.ReadFile(f.Name())
			if err != nil {
				return err
			}
			return o.writeSettings(c, s, string(raw), b, 0)
		}})
}

// configStatus asks every member that the file names, else the one that the flags do.
func (o *options) configStatus() *cobra.Command {
	return &cobra.Command{Use: "status", Short: "Say by which version each node serves, and why one does not take on the latest", Args: invalidUsageArgs(cobra.NoArgs),
		RunE: func(c *cobra.Command, _ []string) error {
			type line struct {
				daemon.SettingsStatus
				Error string `json:"error,omitempty"`
			}
			var all []line
			var members []config.Member
			if o.config != "" {
				cfg, err := config.ReadOperatorFile(o.config)
				if err != nil {
					return exit{InvalidUsage, err}
				}
				members = cfg.Store.Members
			}
			own, err := o.client()
			if err != nil {
				return err
			}
			defer own.Close()
			if len(members) == 0 {
				members = []config.Member{{}}
			}
			behind := false
			for _, m := range members {
				client := own
				if m.ControlAddress != "" {
					client = own.WithAddress(m.ControlAddress)
				}
				l := line{}
				l.Node = m.ID
				if err := client.Call(c.Context(), http.MethodGet, "/v1/config", nil, &l.SettingsStatus); err != nil {
					l.Error = err.Error()
				}
				l.Version.Text = ""
				behind = behind || l.Error != "" || l.Applied != l.Latest
				all = append(all, l)
			}
			if err := o.print(all, func() {
				w := tabwriter.NewWriter(o.Out, 2, 8, 2, ' ', 0)
				fmt.Fprintln(w, "NODE\tLATEST\tSERVES BY\tWHY NOT")
				for _, l := range all {
					fmt.Fprintf(w, "%s\t%d\t%d\t%s\n", l.Node, l.Latest, l.Applied, l.Rejected+l.Error)
				}
				w.Flush()
			}); err != nil {
				return err
			}
			if behind {
				return exit{Failed, errors.New("not all nodes serve by the latest version")}
			}
			return nil
		}}
}
