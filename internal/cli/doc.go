// Package cli implements the standpoint command line: its sub-commands, their flags, output and exit codes.
package cli
