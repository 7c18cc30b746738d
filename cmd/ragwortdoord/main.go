// Command ragwortdoord runs the processes of ragwortdoor: routers, sidecars, the
// dev mode, and the entry hosts of the users' platform.
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
