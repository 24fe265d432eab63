package cli

import (
	"fmt"
	"os"
	"path/filepath"
	"syscall"

	"github.com/spf13/cobra"
)

// labCommands returns the commands that run the separate laboratory program, which must be in the same directory as
// this one. The daemon does not contain it.
func labCommands() []*cobra.Command {
	return []*cobra.Command{
		{
			Use:                "lab COMMAND",
			Short:              "Run the laboratory: emulated backends, experiments and measurements",
			DisableFlagParsing: true,
			RunE:               func(_ *cobra.Command, args []string) error { return execLab(args) },
		},
		{
			Use:                "load PLAN",
			Short:              "Send the load of a plan or a recorded trace, and report the results",
			DisableFlagParsing: true,
			RunE: func(_ *cobra.Command, args []string) error {
				return execLab(append([]string{"load"}, args...))
			},
		},
	}
}

// execLab replaces the process with the laboratory's program. It returns only on an error.
func execLab(args []string) error {
	own, err := os.Executable()
	if err != nil {
		return err
	}
	path := filepath.Join(filepath.Dir(own), "lab")
	if _, err := os.Stat(path); err != nil {
		err := fmt.Errorf("laboratory program not found; build it with go build -o %s ./cmd/lab", path)
		return exitError{Failed, err}
	}
	return exitError{Failed, syscall.Exec(path, append([]string{path}, args...), os.Environ())}
}
