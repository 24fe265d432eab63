// Package daemon composes the program from its components, applies new configurations to them, and leads the process
// through its phases from start to exit.
package daemon
