// Command ragwortdoord runs the processes of ragwortdoor: routers, sidecars and
// the dev mode.
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
	code := daemon.Main(ctx, os.Args)
	stop()
	os.Exit(code)
}
