package cli

import (
	"errors"

	"github.com/spf13/cobra"

	"standpoint/internal/control"
)

// Exit codes of the command line. Scripts depend on their numbers.
const (
	OK                = 0 // the command succeeded
	Failed            = 1 // the command failed, for a reason without a code of its own
	InvalidUsage      = 2 // the command line or a configuration is invalid; the message names the key
	Unreachable       = 3 // no daemon responds at the control interface, or its response cannot be decoded
	Rejected          = 4 // the daemon rejected the call for another reason than an invalid plan or configuration
	MigrationReverted = 5 // a watched migration was halted or reverted
)

// exitError is an error together with the exit code that the program ends with.
type exitError struct {
	code int
	err  error
}

func (e exitError) Error() string { return e.err.Error() }
func (e exitError) Unwrap() error { return e.err }

// exitCode returns the exit code for a command's error; nil is OK, an error without a code is Failed.
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

// withExitCode adds the exit code to an error that a call to the daemon returned.
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

// usageArgs returns check with InvalidUsage as the exit code of its errors.
func usageArgs(check cobra.PositionalArgs) cobra.PositionalArgs {
	return func(c *cobra.Command, args []string) error {
		if err := check(c, args); err != nil {
			return exitError{InvalidUsage, err}
		}
		return nil
	}
}
