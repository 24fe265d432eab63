// Command standpoint is the node; see its help, or README.md.
package main

import (
	"context"
	"os"

	"standpoint/internal/cli"
)

func main() {
	os.Exit(cli.Main(context.Background(), os.Args[1:], cli.Streams{Out: os.Stdout, Err: os.Stderr}))
}
