// Command ragwortdoord runs the processes of ragwortdoor: the router with the native
// interface, the router of an entry host on the users' platform, and dev mode.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/ragwortdoor/ragwortdoor/internal/daemon"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := daemon.Main(ctx, os.Args, entryCommand())
	stop()
	os.Exit(code)
}
