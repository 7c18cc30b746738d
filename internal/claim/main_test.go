package claim

import (
	"flag"
	"io"
	"os"
	"testing"

	"github.com/charmbracelet/log"
	"go.uber.org/goleak"
)

func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f != nil && f.Value.String() == "0" {
		if err := flag.Set("rapid.seed", "1"); err != nil {
			os.Exit(2)
		}
	}
	goleak.VerifyTestMain(m)
}

func quietLog() *log.Logger { return log.New(io.Discard) }
