// Command ragwortdoor is the command-line client for operators.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/ragwortdoor/ragwortdoor/internal/operator/cli"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	os.Exit(cli.Run(ctx, os.Args, os.Stdout, os.Stderr))
}
