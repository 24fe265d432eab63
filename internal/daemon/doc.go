// Package daemon is the composition root of the program: it constructs and starts the components, applies configuration
// reloads to them, and takes the process through its phases from start to exit.
package daemon
