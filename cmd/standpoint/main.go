// Command standpoint is a node: the load balancer, and the commands that control it. Its help describes them.
package main

import (
	"context"
	"os"

	"standpoint/internal/cli"
)

func main() {
	os.Exit(cli.Main(context.Background(), os.Args[1:], cli.Streams{Out: os.Stdout, Err: os.Stderr}))
}
