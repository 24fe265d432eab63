package cli

import (
	"errors"

	"github.com/spf13/cobra"

	"standpoint/internal/control"
)

// Exit codes.
const (
	OK                = 0
	Failed            = 1 // the command could not do what it was asked
	InvalidUsage      = 2 // the command line or a configuration is wrong; the message names the key
	Unreachable       = 3 // no daemon answers at the control interface
	Rejected          = 4 // the daemon refused: not allowed, or not now
	MigrationReverted = 5 // a watched migration was halted or reverted
)

// exitError is an error with the exit code that it ends the program with.
type exitError struct {
	code int
	err  error
}

func (e exitError) Error() string { return e.err.Error() }
func (e exitError) Unwrap() error { return e.err }

// exitCode is the exit code of a command's error.
func exitCode(err error) int {
	if err == nil {
		return OK
	}
	var withCode exitError
	if errors.As(err, &withCode) {
		return withCode.code
	}
	return Failed
}

// withExitCode gives the error of a call to the daemon its exit code.
func withExitCode(err error) error {
	if err == nil {
		return nil
	}
	var rejected *control.Error
	if !errors.As(err, &rejected) {
		return exitError{Unreachable, err}
	}
	if rejected.Code == control.CodeBadPlan || rejected.Code == control.CodeBadConfig {
		return exitError{InvalidUsage, err}
	}
	return exitError{Rejected, err}
}

// usageArgs gives positional arguments that do not fit their exit code.
func usageArgs(check cobra.PositionalArgs) cobra.PositionalArgs {
	return func(c *cobra.Command, args []string) error {
		if err := check(c, args); err != nil {
			return exitError{InvalidUsage, err}
		}
		return nil
	}
}
