package cli

import (
	"fmt"
	"os"
	"path/filepath"
	"syscall"

	"github.com/spf13/cobra"
)

// labCommands run the laboratory's program, which is beside this one: the daemon does not contain it.
func labCommands() []*cobra.Command {
	return []*cobra.Command{
		{
			Use:                "lab COMMAND",
			Short:              "The laboratory: emulated boxes, experiments, measurements",
			DisableFlagParsing: true,
			RunE:               func(_ *cobra.Command, args []string) error { return execLab(args) },
		},
		{
			Use:                "load PLAN",
			Short:              "Send load as a plan says, or a recorded trace, and report what came of it",
			DisableFlagParsing: true,
			RunE: func(_ *cobra.Command,
				args []string) error {
				return execLab(append([]string{"load"}, args...))
			},
		},
	}
}

// execLab replaces the process by the laboratory's program. It returns on an error alone.
func execLab(args []string) error {
	own, err := os.Executable()
	if err != nil {
		return err
	}
	path := filepath.Join(filepath.Dir(own), "lab")
	if _, err := os.Stat(path); err != nil {
		err := fmt.Errorf("the laboratory's program is not beside this one: go build -o %s ./cmd/lab", path)
		return exitError{Failed, err}
	}
	return exitError{Failed, syscall.Exec(path, append([]string{path}, args...), os.Environ())}
}
