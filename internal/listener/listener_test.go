package listener

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/ragwortdoor/ragwortdoor/internal/memory"
)

// serve serves empty responses and returns the server's address.
func serve(t *testing.T, budget *memory.Budget) string {
	t.Helper()
	l, err := Listen("127.0.0.1:0", budget, nil)
	if err != nil {
		t.Fatal(err)
	}
	server := NewServer(l, http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}), nil)
	done := make(chan error, 1)
	go func() { done <- server.Serve() }()
	t.Cleanup(func() {
		_ = server.Close()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
	return l.Addr().String()
}

func waitUntil(t *testing.T, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("condition was not met")
		}
	}
}

// failingListener fails a number of times before it accepts.
type failingListener struct {
	net.Listener
	errs []error
}

func (l *failingListener) Accept() (net.Conn, error) {
	if len(l.errs) == 0 {
		return l.Listener.Accept()
	}
	err := l.errs[0]
	l.errs = l.errs[1:]
	return nil, err
}

// Guards against a listener that ends, and its process with it, because the process may open no
// further descriptor for a moment.
func TestAcceptWaitsForDescriptors(t *testing.T) {
	is := is.New(t)
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	failed := func(cause error) error {
		return &net.OpError{Op: "accept", Net: "tcp", Err: os.NewSyscallError("accept4", cause)}
	}
	l := New(&failingListener{inner, []error{failed(syscall.EMFILE), failed(syscall.ENFILE), failed(syscall.ECONNABORTED)}}, nil, nil)
	out, err := net.Dial("tcp", inner.Addr().String())
	is.NoErr(err)
	defer out.Close()
	in, err := l.Accept()
	is.NoErr(err)
	is.NoErr(in.Close())
	is.NoErr(l.Close())
	_, err = l.Accept()
	is.True(errors.Is(err, net.ErrClosed))
}

// Guards against lines of a head that net/http has read together with the request before: they count
// although no further read brings them.
func TestHeadsInTheReadBufferCount(t *testing.T) {
	is := is.New(t)
	budget := memory.NewBudget(memory.Limits{Bytes: 10 << 20})
	c, err := net.Dial("tcp", serve(t, budget))
	is.NoErr(err)
	defer c.Close()
	const lines = 500
	_, err = io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\nGET / HTTP/1.1\r\nHost: h\r\n"+strings.Repeat("a:1\r\n", lines))
	is.NoErr(err)
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	is.NoErr(err)
	is.Equal(resp.StatusCode, http.StatusOK)
	is.True(budget.Use().Bytes > lines*headerLineBytes)
}

// Guards against bytes that stay accounted for after their request or their connection is over.
func TestRequestsGiveBackWhatTheyTook(t *testing.T) {
	is := is.New(t)
	budget := memory.NewBudget(memory.Limits{Bytes: 10 << 20})
	c, err := net.Dial("tcp", serve(t, budget))
	is.NoErr(err)
	responses := bufio.NewReader(c)
	for range 50 {
		_, err = io.WriteString(c, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n"+strings.Repeat("a:1\r\n", 5000)+"\r\nxx")
		is.NoErr(err)
		resp, err := http.ReadResponse(responses, nil)
		is.NoErr(err)
		is.Equal(resp.StatusCode, http.StatusOK)
	}
	waitUntil(t, func() bool { return budget.Use().Bytes <= ConnBytes+readBufferBytes/5*(headerLineBytes+5) })
	is.NoErr(c.Close())
	waitUntil(t, func() bool { return budget.Use().Holders == 0 && budget.Use().Bytes == 0 })
}
