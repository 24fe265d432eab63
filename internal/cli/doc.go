// Package cli is the command line: sub-commands, their flags, what they print and their exit codes.
package cli
