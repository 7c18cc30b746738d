// Command ragwortdoord runs the processes of ragwortdoor: routers, those of the
// entry hosts on the users' platform, and the dev mode.
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
