package daemon

import (
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/ragwortdoor/ragwortdoor/internal/standin"
)

// hangupInterval is the interval of a series of signals.
const hangupInterval = 5 * time.Millisecond

// hangUntilExit sends SIGHUP to a process until it has exited.
func (p *process) hangUntilExit() {
	for {
		select {
		case <-p.done:
			return
		case <-time.After(hangupInterval):
			p.signal(syscall.SIGHUP)
		}
	}
}

// Guards against requests cut by a SIGHUP that comes while the process finishes them after
// SIGTERM.
func TestHangupWhileStoppingAbortsNoRequest(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	cfg := testEngineConfig()
	cfg.TokenMS = 10
	d := deploy(t, deploymentOptions{routers: 1, engines: []standin.EngineConfig{cfg}, services: []standin.ServiceConfig{{RunMS: 600}}, set: testSet(1)})
	wantComplete(t, d.chat(0, "model-0", "first", 5), "model-0", "first", 5)
	stream := make(chan callResult, 1)
	call := make(chan callResult, 1)
	go func() { stream <- d.chat(0, "model-0", "long", 100) }()
	go func() { call <- d.callService(0, "{}") }()
	d.eventually("both run", func() bool {
		return d.cluster.Engines[0].Inventory().Running == 1 && d.cluster.Services[0].Counts().Running == 1
	})
	d.routers[0].signal(syscall.SIGTERM)
	d.routers[0].hangUntilExit()
	wantComplete(t, <-stream, "model-0", "long", 100)
	is.Equal((<-call).status, 200)
	is.Equal(d.routers[0].cmd.ProcessState.ExitCode(), ExitOK)
}

// Guards against a process that is ended by a SIGHUP while it starts: here while it waits
// for its settings, which come through a pipe.
func TestHangupWhileStarting(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	d := deploy(t, deploymentOptions{routers: 1, engines: []standin.EngineConfig{testEngineConfig()}, set: testSet(1)})
	is.Equal(d.routers[0].stop(), ExitOK)
	path := filepath.Join(d.dir, "settings.pipe")
	is.NoErr(syscall.Mkfifo(path, 0o600))
	logs, err := os.Create(filepath.Join(d.dir, "starting.log"))
	is.NoErr(err)
	d.routers[0] = startWithLog(t, "router", "starting", path, logs)
	settings, err := os.OpenFile(path, os.O_WRONLY, 0) // waits until the process reads
	is.NoErr(err)
	d.routers[0].signal(syscall.SIGHUP)
	time.Sleep(hangupInterval)
	_, err = settings.Write(encodeSettings(t, d.routerSettings[0]))
	is.NoErr(err)
	is.NoErr(settings.Close())
	d.waitReady(0)
	is.Equal(d.routers[0].stop(), ExitOK)
}

// Guards against a process that is ended by SIGPIPE because the reader of its log is gone.
func TestProcessOutlivesTheReaderOfItsLog(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	d := deploy(t, deploymentOptions{routers: 1, engines: []standin.EngineConfig{testEngineConfig()}, set: testSet(1)})
	is.Equal(d.routers[0].stop(), ExitOK)
	reader, writer, err := os.Pipe()
	is.NoErr(err)
	is.NoErr(reader.Close())
	d.routers[0] = startWithLog(t, "router", "unread", filepath.Join(d.dir, d.routers[0].name+".json"), writer)
	d.waitReady(0)
	wantComplete(t, d.chat(0, "model-0", "unread", 5), "model-0", "unread", 5)
	is.Equal(d.routers[0].stop(), ExitOK)
}
