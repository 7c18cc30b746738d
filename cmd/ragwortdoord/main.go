// Command ragwortdoord runs the processes of ragwortdoor: the router with the native
// interface, the router of an entry host on the users' platform, and dev mode.
package main

import (
	"os"

	"github.com/ragwortdoor/ragwortdoor/internal/daemon"
	"github.com/ragwortdoor/ragwortdoor/internal/signals"
)

func main() {
	os.Exit(daemon.Main(signals.StopContext(), os.Args, entryCommand()))
}
