// Package signals receives the signals of a daemon from before main to the exit of the
// process. No signal gets its default action back: that of SIGHUP would end the process
// together with the requests that it finishes.
package signals

import (
	"context"
	"os"
	"os/signal"
	"syscall"
)

// hangups holds the SIGHUP that was not handled yet. One is enough: a reload reads the
// settings as they are.
var hangups = make(chan os.Signal, 1)

// A SIGHUP may come while the other packages are initialized. Without a handler of SIGPIPE,
// a log line ends the process once the reader of its output is gone.
func init() {
	signal.Notify(hangups, syscall.SIGHUP)
	signal.Ignore(syscall.SIGPIPE)
}

// Hangups returns the channel that receives SIGHUP. The process has only one such channel.
func Hangups() <-chan os.Signal { return hangups }

// StopContext returns a context that is cancelled by the first SIGINT or SIGTERM. Later ones
// have no effect.
func StopContext() context.Context {
	stops := make(chan os.Signal, 1)
	signal.Notify(stops, os.Interrupt, syscall.SIGTERM)
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		<-stops
		cancel()
	}()
	return ctx
}
