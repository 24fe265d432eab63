// Command lab has the lab tools: simulations in virtual time, emulated backends on sockets and measurements.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"standpoint/internal/lab/labcli"
)

func main() {
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	code := labcli.Main(ctx, os.Args[1:], os.Stdout, os.Stderr)
	cancel()
	os.Exit(code)
}
