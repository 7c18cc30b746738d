package testaddr

import (
	"os"
	"os/exec"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// childVariable makes the test print its addresses, one a line, and wait for its input
// to end.
const childVariable = "TESTADDR_CHILD"

// Test processes that run at the same time must not be given the same address, since
// each uses its addresses only later.
func TestProcessesGetDifferentAddresses(t *testing.T) {
	const processes, perProcess = 3, 1000
	if os.Getenv(childVariable) != "" {
		var lines strings.Builder
		for range perProcess {
			lines.WriteString("address " + Free(t) + "\n")
		}
		_, _ = os.Stdout.WriteString(lines.String())
		_, _ = os.Stdin.Read(make([]byte, 1)) // until the parent has read all
		return
	}
	is := is.New(t)
	owner := make(map[string]int)
	for i := range processes {
		child := exec.Command(os.Args[0], "-test.run", "^TestProcessesGetDifferentAddresses$")
		child.Env = append(os.Environ(), childVariable+"=1")
		stdin, err := child.StdinPipe()
		is.NoErr(err)
		stdout, err := child.StdoutPipe()
		is.NoErr(err)
		is.NoErr(child.Start())
		t.Cleanup(func() { _ = stdin.Close(); _ = child.Wait() })
		buffer, read := make([]byte, 4096), ""
		for strings.Count(read, "\n") < perProcess {
			n, err := stdout.Read(buffer)
			is.NoErr(err)
			read += string(buffer[:n])
		}
		for _, line := range strings.Split(strings.TrimSpace(read), "\n") {
			_, known := owner[line]
			is.True(!known)
			owner[line] = i
		}
	}
	is.Equal(len(owner), processes*perProcess)
}
